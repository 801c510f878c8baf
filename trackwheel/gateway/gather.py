"""The decisions of one query: whom to ask, when to hedge, what to answer, when to give up."""

from typing import Final, NamedTuple

from trackwheel.dispatch.models import Outcome
from trackwheel.gateway.budget import RetryBudget
from trackwheel.gateway.const import (
    MAX_ATTEMPTS_PER_TARGET,
    MAX_VERSION_RETRIES,
    MIN_RETRY_AFTER_S,
    VERSION_RETRY_MAX_S,
    VERSION_RETRY_MIN_S,
)
from trackwheel.gateway.models import (
    Answered,
    AskTarget,
    GatherCommand,
    GivenUp,
    Plan,
    ShardAnswer,
    Snapshot,
    WithdrawAsk,
)
from trackwheel.gateway.snapshots import Collected, VersionChoice
from trackwheel.gateway.target_selector import TargetSelector

OTHER_VERSION: Final = "other_version"

_FREE_RETRY = (Outcome.LEAVING, Outcome.UNKNOWN_TARGET, Outcome.NO_OWNER, Outcome.EJECTED)
"""Outcomes that cost no target anything, so that asking another one is no extra load."""


class _Ask(NamedTuple):
    """Follow one sub-request that is under way."""

    instance: int
    target: str
    version: int | None
    asked_at: float
    hedge_at: float


class _Instance:
    """Hold what one query knows of one instance."""

    __slots__ = ("asks", "ejected", "nonces", "reason", "retry_at", "retry_wait_s", "tried")

    def __init__(self) -> None:
        self.asks = 0
        self.nonces: set[int] = set()
        self.tried: set[str] = set()
        self.ejected: set[str] = set()
        """Targets to which nothing was sent since their owners have ejected them."""
        self.reason = "not_answered"
        self.retry_at: float | None = None
        self.retry_wait_s = VERSION_RETRY_MIN_S


class Gather:
    """Decide, from events and the time, how one query goes on."""

    def __init__(
        self, plan: Plan, selector: TargetSelector, budget: RetryBudget, now: float
    ) -> None:
        self.plan = plan
        self._selector = selector
        self._budget = budget
        self._started = now
        self._deadline = now + plan.policy.deadline_s
        self._limit = now + plan.policy.wait_s
        self._instances = [_Instance() for _ in plan.targets_by_instance]
        self._versions = VersionChoice(plan.targets_by_instance, plan.version_hint)
        self._collected = Collected()
        self._ask_by_nonce: dict[int, _Ask] = {}
        self._exhausted: set[int] = set()
        self._past_deadline = False
        self._next_nonce = 0
        self._shed = False
        self._retry_after_s = 0.0
        self._commands: list[GatherCommand] = []
        self.ended = False

    @property
    def limit(self) -> float:
        """Return when the query is over at the latest."""
        return self._limit

    def start(self, now: float) -> list[GatherCommand]:
        """Ask every instance."""
        self._budget.record_first_attempts(len(self._instances))
        for number in range(len(self._instances)):
            self._ask_next(number, now, "first")
        return self._finish_or_go_on(now)

    def answered(self, event: ShardAnswer, now: float) -> list[GatherCommand]:
        """Take the end of a sub-request; one that is not under way is passed over."""
        ask = self._ask_by_nonce.pop(event.nonce, None)
        if ask is None or self.ended:
            return []
        instance = self._instances[ask.instance]
        instance.nonces.discard(event.nonce)
        self._selector.subrequest_ended(ask.target)
        if event.outcome is Outcome.OK and event.snapshot is not None:
            self._take_answer(ask, event, now)
        elif event.outcome is Outcome.WRONG_VERSION:
            self._take_wrong_version(ask, event, now)
        else:
            instance.reason = event.outcome
            self._take_failure(ask, event, now)
        return self._finish_or_go_on(now)

    def tick(self, now: float) -> list[GatherCommand]:
        """Hedge, ask again or end, whatever is due."""
        if self.ended:
            return []
        for nonce, ask in list(self._ask_by_nonce.items()):
            if now >= ask.hedge_at:
                self._hedge(nonce, ask, now)
        for number, instance in enumerate(self._instances):
            if instance.retry_at is not None and now >= instance.retry_at:
                instance.retry_at = None
                self._ask_version(number, now)
        return self._finish_or_go_on(now)

    def abandon(self) -> None:
        """Forget the query of a caller that has gone."""
        self.ended = True
        for ask in self._ask_by_nonce.values():
            self._selector.subrequest_ended(ask.target)
        self._ask_by_nonce.clear()

    def next_wake(self) -> float:
        """Return when `tick` is next needed (seconds)."""
        times = [self._deadline if not self._past_deadline else self._limit]
        times.extend(ask.hedge_at for ask in self._ask_by_nonce.values())
        retries = (instance.retry_at for instance in self._instances)
        times.extend(at for at in retries if at is not None)
        return min(times)

    def _take_answer(self, ask: _Ask, event: ShardAnswer, now: float) -> None:
        assert event.snapshot is not None
        service = self.plan.service
        self._selector.record_latency(service, ask.target, now - ask.asked_at, now)
        if ask.version is not None and event.snapshot.version != ask.version:
            self._instances[ask.instance].reason = "contract_broken"
            self._retry(ask.instance, now)
            return
        self._versions.learn(ask.target, [event.snapshot.version], exact=False)
        self._collected.add(ask.instance, event.snapshot, event.items_by_shard)
        self._withdraw_others(ask.instance, event.snapshot.version, now)
        if event.snapshot.version != self._versions.version:
            self._reconsider(now)

    def _take_wrong_version(self, ask: _Ask, event: ShardAnswer, now: float) -> None:
        self._versions.learn(ask.target, event.holds, exact=True)
        instance = self._instances[ask.instance]
        instance.reason = OTHER_VERSION
        if not self._reconsider(now):
            self._await_version(ask.instance, now)

    def _reconsider(self, now: float) -> bool:
        """Choose the version anew and ask whoever has not answered at it."""
        changed = self._versions.reconsider(self._collected)
        version = self._versions.version
        if changed:
            self._withdraw_except(version)
        answered = self._collected.answered(version)
        for number in range(len(self._instances)):
            if number in answered or self._failed(number):
                continue
            nonces = self._instances[number].nonces
            if any(self._ask_by_nonce[nonce].version in (None, version) for nonce in nonces):
                continue
            if changed or self._collected_elsewhere(number):
                self._ask_version(number, now)
        return changed

    def _failed(self, number: int) -> bool:
        """Return whether an instance is exhausted for another reason than its version."""
        return number in self._exhausted and self._instances[number].reason != OTHER_VERSION

    def _withdraw_except(self, version: int | None) -> None:
        """Take back what asks for a version that will not be answered from."""
        for nonce, ask in list(self._ask_by_nonce.items()):
            if ask.version not in (None, version):
                del self._ask_by_nonce[nonce]
                self._instances[ask.instance].nonces.discard(nonce)
                self._withdraw(nonce, ask.target)

    def _collected_elsewhere(self, number: int) -> bool:
        """Return whether an instance has answered, but at another version, and is not due."""
        instance = self._instances[number]
        if instance.retry_at is not None or number in self._exhausted:
            return False
        versions = self._collected.versions()
        return any(number in self._collected.answered(version) for version in versions)

    def _ask_version(self, number: int, now: float) -> None:
        """Ask an instance for the chosen version, at a target that may hold it."""
        targets = self.plan.targets_by_instance[number]
        lacks = self._lacking_targets(number)
        available = self._selector.choose(targets, lacks, now) is not None
        self._instances[number].tried = lacks if available else set()
        self._retry(number, now, mandatory=True)

    def _lacking_targets(self, number: int) -> set[str]:
        """Return the targets of an instance that do not hold the chosen version yet."""
        version = self._versions.version
        targets = self.plan.targets_by_instance[number]
        return {target for target in targets if self._versions.holds(target, version) is False}

    def _await_version(self, number: int, now: float) -> None:
        """Ask again soon: the version is on its way to the instance, or another target has it."""
        targets = self.plan.targets_by_instance[number]
        if self._selector.choose(targets, self._lacking_targets(number), now) is not None:
            self._ask_version(number, now)
            return
        self._ask_later(number, now)

    def _ask_later(self, number: int, now: float) -> None:
        instance = self._instances[number]
        instance.retry_at = now + instance.retry_wait_s
        instance.retry_wait_s = min(VERSION_RETRY_MAX_S, instance.retry_wait_s * 2)

    def _may_wait(self, number: int, now: float) -> bool:
        """Return whether a target that lags may get the chosen version soon."""
        lagging = tuple(sorted(self._lacking_targets(number)))
        if self._instances[number].asks >= self._most_asks(number) + MAX_VERSION_RETRIES:
            return False
        return self._selector.choose(lagging, set(), now) is not None

    def _most_asks(self, number: int) -> int:
        return MAX_ATTEMPTS_PER_TARGET * len(self.plan.targets_by_instance[number]) + 1

    def _take_failure(self, ask: _Ask, event: ShardAnswer, now: float) -> None:
        if event.outcome is Outcome.EJECTED:
            self._selector.mark_ejected(ask.target, now)
            self._instances[ask.instance].ejected.add(ask.target)
        elif event.outcome is Outcome.LEAVING:
            self._selector.mark_leaving(ask.target, now)
        elif event.outcome in (Outcome.SHED, Outcome.LATE):
            self._shed = True
        elif event.outcome is Outcome.NO_OWNER:
            # The target was not reached; its next owner may reach it.
            self._instances[ask.instance].tried.discard(ask.target)
        self._retry_after_s = max(self._retry_after_s, event.retry_after_s)
        if not self._instances[ask.instance].nonces:
            self._retry(ask.instance, now, free=event.outcome in _FREE_RETRY)

    def _retry(self, number: int, now: float, free: bool = False, mandatory: bool = False) -> None:
        """Ask an instance's next target, if the budget allows."""
        instance = self._instances[number]
        most = self._most_asks(number)
        if instance.reason == OTHER_VERSION:
            most += MAX_VERSION_RETRIES
        possible = instance.asks < most and self._any_target(number, now)
        if possible and (free or self._budget.try_spend(mandatory)):
            self._ask_next(number, now, "retry")
        elif self._may_wait(number, now):
            self._ask_later(number, now)
        else:
            self._exhausted.add(number)

    def _any_target(self, number: int, now: float) -> bool:
        targets = self.plan.targets_by_instance[number]
        if self._selector.choose(targets, self._instances[number].tried, now) is not None:
            return True
        return self._last_resort(number, now) is not None

    def _last_resort(self, number: int, now: float) -> str | None:
        """Return an ejected target that has had no chance to answer this query yet."""
        instance = self._instances[number]
        targets = tuple(
            target
            for target in self.plan.targets_by_instance[number]
            if target not in instance.tried or target in instance.ejected
        )
        return self._selector.choose_last_resort(targets, now)

    def _ask_next(self, number: int, now: float, reason: str) -> None:
        targets = self.plan.targets_by_instance[number]
        instance = self._instances[number]
        target = self._selector.choose(targets, instance.tried, now)
        if target is not None:
            self._ask(number, target, now, False, reason)
            return
        fallback = self._last_resort(number, now)
        if fallback is None:
            instance.reason = Outcome.LEAVING
            self._exhausted.add(number)
            return
        instance.ejected.discard(fallback)
        self._ask(number, fallback, now, True, "last_resort")

    def _ask(self, number: int, target: str, now: float, last_resort: bool, reason: str) -> None:
        instance = self._instances[number]
        instance.asks += 1
        instance.tried.add(target)
        nonce = self._next_nonce
        self._next_nonce += 1
        hedge_at = now + self._selector.hedge_delay(self.plan.service, now)
        ask = _Ask(number, target, self._versions.version, now, hedge_at)
        self._ask_by_nonce[nonce] = ask
        self._selector.subrequest_sent(target)
        instance.nonces.add(nonce)
        self._exhausted.discard(number)
        command = AskTarget(nonce, number, target, ask.version, last_resort, reason)
        self._commands.append(command)

    def _hedge(self, nonce: int, ask: _Ask, now: float) -> None:
        """Ask another target of the instance as well, once, if the budget allows."""
        self._ask_by_nonce[nonce] = ask._replace(hedge_at=float("inf"))
        instance = self._instances[ask.instance]
        targets = self.plan.targets_by_instance[ask.instance]
        target = self._selector.choose(targets, instance.tried, now)
        if len(instance.nonces) > 1 or target is None:
            return
        if self._budget.try_spend():
            self._ask(ask.instance, target, now, False, "hedge")

    def _withdraw_others(self, number: int, version: int, now: float) -> None:
        """Take back what is under way to an instance that has answered at a version."""
        nonces = self._instances[number].nonces
        for nonce in sorted(nonces):
            ask = self._ask_by_nonce[nonce]
            if ask.version not in (None, version):
                continue
            del self._ask_by_nonce[nonce]
            nonces.discard(nonce)
            self._selector.record_min_latency(ask.target, now - ask.asked_at, now)
            self._withdraw(nonce, ask.target)

    def _withdraw(self, nonce: int, target: str) -> None:
        self._selector.subrequest_ended(target)
        self._commands.append(WithdrawAsk(nonce, target))

    def _finish_or_go_on(self, now: float) -> list[GatherCommand]:
        if not self.ended:
            self._finish(now)
        commands, self._commands = self._commands, []
        return commands

    def _finish(self, now: float) -> None:
        """End the query when its answer is whole, its time is up, or nothing more can come."""
        snapshot = self._collected.whole()
        if snapshot is not None:
            self._end(snapshot, now)
            return
        least = self.plan.policy.least_coverage
        best = self._collected.best()
        nothing_more = not self._ask_by_nonce and all(
            instance.retry_at is None for instance in self._instances
        )
        if nothing_more or now >= self._limit or self._hopeless(least):
            self._end(best, now)
            return
        if now >= self._deadline:
            self._past_deadline = True
            if self._coverage(best) >= least:
                self._end(best, now)

    def _hopeless(self, least: float) -> bool:
        """Return whether too many instances are exhausted for the least coverage.

        While shards move between instances, another instance may hold what one lacks.
        """
        if not self._exhausted or self._collected.repartitioned(len(self._instances)):
            return False
        lost = self._exhausted - self._collected.answered(self._versions.version)
        return bool(lost) and 1 - len(lost) / len(self._instances) < least

    def _reason(self, instance: _Instance, now: float) -> str:
        """Return why an instance lacks an answer when the query ends."""
        if not instance.nonces:
            return instance.reason
        return "late" if now >= self._deadline else "not_awaited"

    def _coverage(self, snapshot: Snapshot | None) -> float:
        return self._collected.answer(snapshot, {}, len(self._instances)).coverage

    def _end(self, snapshot: Snapshot | None, now: float) -> None:
        self.ended = True
        for nonce, ask in self._ask_by_nonce.items():
            self._selector.record_min_latency(ask.target, now - ask.asked_at, now)
            self._withdraw(nonce, ask.target)
        reasons = {
            number: self._reason(instance, now) for number, instance in enumerate(self._instances)
        }
        self._ask_by_nonce.clear()
        answer = self._collected.answer(snapshot, reasons, len(self._instances))
        if snapshot is not None:
            self._selector.record_version(self.plan.service, snapshot.version)
        if answer.coverage >= self.plan.policy.least_coverage and snapshot is not None:
            self._commands.append(Answered(answer))
            return
        retry_s = max(MIN_RETRY_AFTER_S, self._retry_after_s)
        self._commands.append(GivenUp(answer, self._shed, retry_s))
