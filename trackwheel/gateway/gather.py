"""State machine of one scatter-gather query: target choice, hedging, retries and completion."""

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
    CancelSubrequest,
    GatherCommand,
    QueryAnswered,
    QueryFailed,
    QueryPlan,
    SendSubrequest,
    Snapshot,
    SubrequestResult,
)
from trackwheel.gateway.snapshots import CollectedAnswers, VersionSelector
from trackwheel.gateway.target_selector import TargetSelector

OTHER_VERSION: Final = "other_version"

_FREE_RETRY = (Outcome.LEAVING, Outcome.UNKNOWN_TARGET, Outcome.NO_OWNER, Outcome.EJECTED)
"""Outcomes without cost for any target, so that a retry is no extra load."""


class _Subrequest(NamedTuple):
    """A sub-request in flight."""

    instance: int
    target: str
    version: int | None
    sent_at: float
    hedge_at: float


class _Instance:
    """State of one instance within a query."""

    __slots__ = ("asks", "ejected", "nonces", "reason", "retry_at", "retry_wait_s", "tried")

    def __init__(self) -> None:
        self.asks = 0
        self.nonces: set[int] = set()
        self.tried: set[str] = set()
        self.ejected: set[str] = set()
        """Ejected targets that were not sent anything, since their owners refused."""
        self.reason = "not_answered"
        self.retry_at: float | None = None
        self.retry_wait_s = VERSION_RETRY_MIN_S


class Gather:
    """Turn events and time into commands for one query; does no I/O."""

    def __init__(
        self, plan: QueryPlan, selector: TargetSelector, budget: RetryBudget, now: float
    ) -> None:
        self.plan = plan
        self._selector = selector
        self._budget = budget
        self._started = now
        self._deadline = now + plan.policy.deadline_s
        self._hard_deadline = now + plan.policy.wait_s
        self._instances = [_Instance() for _ in plan.targets_by_instance]
        self._version_selector = VersionSelector(plan.targets_by_instance, plan.version_hint)
        self._collected = CollectedAnswers()
        self._subrequest_by_nonce: dict[int, _Subrequest] = {}
        self._exhausted: set[int] = set()
        self._past_deadline = False
        self._next_nonce = 0
        self._shed = False
        self._retry_after_s = 0.0
        self._commands: list[GatherCommand] = []
        self.ended = False

    @property
    def hard_deadline(self) -> float:
        """Return the time at which the query ends at the latest."""
        return self._hard_deadline

    def start(self, now: float) -> list[GatherCommand]:
        """Send a first sub-request to every instance."""
        self._budget.record_first_attempts(len(self._instances))
        for number in range(len(self._instances)):
            self._send_next(number, now, "first")
        return self._advance(now)

    def handle_result(self, event: SubrequestResult, now: float) -> list[GatherCommand]:
        """Process the result of a sub-request; ignore results of unknown or cancelled ones."""
        subrequest = self._subrequest_by_nonce.pop(event.nonce, None)
        if subrequest is None or self.ended:
            return []
        instance = self._instances[subrequest.instance]
        instance.nonces.discard(event.nonce)
        self._selector.subrequest_ended(subrequest.target)
        if event.outcome is Outcome.OK and event.snapshot is not None:
            self._handle_answer(subrequest, event, now)
        elif event.outcome is Outcome.WRONG_VERSION:
            self._handle_wrong_version(subrequest, event, now)
        else:
            instance.reason = event.outcome
            self._handle_failure(subrequest, event, now)
        return self._advance(now)

    def tick(self, now: float) -> list[GatherCommand]:
        """Send due hedges and retries, and end the query if it is due."""
        if self.ended:
            return []
        for nonce, subrequest in list(self._subrequest_by_nonce.items()):
            if now >= subrequest.hedge_at:
                self._hedge(nonce, subrequest, now)
        for number, instance in enumerate(self._instances):
            if instance.retry_at is not None and now >= instance.retry_at:
                instance.retry_at = None
                self._resend_at_version(number, now)
        return self._advance(now)

    def stop(self, now: float) -> list[GatherCommand]:
        """End the query with what it has, because this box stops."""
        self._hard_deadline = min(self._hard_deadline, now)
        return self._advance(now)

    def cancel(self) -> None:
        """End the query after its caller has disconnected."""
        self.ended = True
        for subrequest in self._subrequest_by_nonce.values():
            self._selector.subrequest_ended(subrequest.target)
        self._subrequest_by_nonce.clear()

    def next_wake(self) -> float:
        """Return the time of the next `tick` (seconds)."""
        times = [self._deadline if not self._past_deadline else self._hard_deadline]
        times.extend(subrequest.hedge_at for subrequest in self._subrequest_by_nonce.values())
        retries = (instance.retry_at for instance in self._instances)
        times.extend(at for at in retries if at is not None)
        return min(times)

    def _handle_answer(self, subrequest: _Subrequest, event: SubrequestResult, now: float) -> None:
        assert event.snapshot is not None
        service = self.plan.service
        self._selector.record_latency(service, subrequest.target, now - subrequest.sent_at, now)
        if subrequest.version is not None and event.snapshot.version != subrequest.version:
            self._instances[subrequest.instance].reason = "contract_broken"
            self._retry(subrequest.instance, now)
            return
        self._version_selector.update(subrequest.target, [event.snapshot.version], exact=False)
        self._collected.add(subrequest.instance, event.snapshot, event.items_by_shard)
        self._cancel_obsolete(subrequest.instance, event.snapshot.version, now)
        if event.snapshot.version != self._version_selector.version:
            self._reselect_version(now)

    def _handle_wrong_version(
        self, subrequest: _Subrequest, event: SubrequestResult, now: float
    ) -> None:
        self._version_selector.update(subrequest.target, event.held_versions, exact=True)
        instance = self._instances[subrequest.instance]
        instance.reason = OTHER_VERSION
        if not self._reselect_version(now):
            self._await_version(subrequest.instance, now)

    def _reselect_version(self, now: float) -> bool:
        """Reselect the version and resend to the instances that have not answered at it."""
        changed = self._version_selector.reselect(self._collected)
        version = self._version_selector.version
        if changed:
            self._cancel_other_versions(version)
        answered = self._collected.instances_at(version)
        for number in range(len(self._instances)):
            if number in answered or self._exhausted_by_failure(number):
                continue
            nonces = self._instances[number].nonces
            if any(self._subrequest_by_nonce[nonce].version in (None, version) for nonce in nonces):
                continue
            if changed or self._answered_other_version(number):
                self._resend_at_version(number, now)
        return changed

    def _exhausted_by_failure(self, number: int) -> bool:
        """Return whether an instance is exhausted for a reason other than its version."""
        return number in self._exhausted and self._instances[number].reason != OTHER_VERSION

    def _cancel_other_versions(self, version: int | None) -> None:
        """Cancel sub-requests for versions other than the selected one."""
        for nonce, subrequest in list(self._subrequest_by_nonce.items()):
            if subrequest.version not in (None, version):
                del self._subrequest_by_nonce[nonce]
                self._instances[subrequest.instance].nonces.discard(nonce)
                self._cancel(nonce, subrequest.target)

    def _answered_other_version(self, number: int) -> bool:
        """Return whether an instance answered only at another version and has no retry pending."""
        instance = self._instances[number]
        if instance.retry_at is not None or number in self._exhausted:
            return False
        versions = self._collected.versions()
        return any(number in self._collected.instances_at(version) for version in versions)

    def _resend_at_version(self, number: int, now: float) -> None:
        """Resend to an instance, preferring targets that may hold the selected version."""
        targets = self.plan.targets_by_instance[number]
        without_version = self._targets_without_version(number)
        available = self._selector.choose(targets, without_version, now) is not None
        self._instances[number].tried = without_version if available else set()
        self._retry(number, now, mandatory=True)

    def _targets_without_version(self, number: int) -> set[str]:
        """Return the targets of an instance that do not hold the selected version yet."""
        version = self._version_selector.version
        targets = self.plan.targets_by_instance[number]
        return {
            target for target in targets if self._version_selector.holds(target, version) is False
        }

    def _await_version(self, number: int, now: float) -> None:
        """Resend to another target that may hold the version, else retry after a back-off."""
        targets = self.plan.targets_by_instance[number]
        if self._selector.choose(targets, self._targets_without_version(number), now) is not None:
            self._resend_at_version(number, now)
            return
        self._schedule_retry(number, now)

    def _schedule_retry(self, number: int, now: float) -> None:
        instance = self._instances[number]
        instance.retry_at = now + instance.retry_wait_s
        instance.retry_wait_s = min(VERSION_RETRY_MAX_S, instance.retry_wait_s * 2)

    def _can_await_version(self, number: int, now: float) -> bool:
        """Return whether a lagging target may get the selected version soon."""
        lagging = tuple(sorted(self._targets_without_version(number)))
        if self._instances[number].asks >= self._max_attempts(number) + MAX_VERSION_RETRIES:
            return False
        return self._selector.choose(lagging, set(), now) is not None

    def _max_attempts(self, number: int) -> int:
        return MAX_ATTEMPTS_PER_TARGET * len(self.plan.targets_by_instance[number]) + 1

    def _handle_failure(self, subrequest: _Subrequest, event: SubrequestResult, now: float) -> None:
        if event.outcome is Outcome.EJECTED:
            self._selector.mark_ejected(subrequest.target, now)
            self._instances[subrequest.instance].ejected.add(subrequest.target)
        elif event.outcome is Outcome.LEAVING:
            self._selector.mark_leaving(subrequest.target, now)
        elif event.outcome in (Outcome.SHED, Outcome.LATE):
            self._shed = True
        elif event.outcome is Outcome.NO_OWNER:
            # The request did not reach the target; the next owner may reach it.
            self._instances[subrequest.instance].tried.discard(subrequest.target)
        self._retry_after_s = max(self._retry_after_s, event.retry_after_s)
        if not self._instances[subrequest.instance].nonces:
            self._retry(subrequest.instance, now, free=event.outcome in _FREE_RETRY)

    def _retry(self, number: int, now: float, free: bool = False, mandatory: bool = False) -> None:
        """Send to the next target of an instance if the budget allows."""
        instance = self._instances[number]
        most = self._max_attempts(number)
        if instance.reason == OTHER_VERSION:
            most += MAX_VERSION_RETRIES
        possible = instance.asks < most and self._any_target(number, now)
        if possible and (free or self._budget.try_spend(mandatory)):
            self._send_next(number, now, "retry")
        elif self._can_await_version(number, now):
            self._schedule_retry(number, now)
        else:
            self._exhausted.add(number)

    def _any_target(self, number: int, now: float) -> bool:
        targets = self.plan.targets_by_instance[number]
        if self._selector.choose(targets, self._instances[number].tried, now) is not None:
            return True
        return self._last_resort(number, now) is not None

    def _last_resort(self, number: int, now: float) -> str | None:
        """Return the best target that this query has not been sent to, including ejected ones."""
        instance = self._instances[number]
        targets = tuple(
            target
            for target in self.plan.targets_by_instance[number]
            if target not in instance.tried or target in instance.ejected
        )
        return self._selector.choose_last_resort(targets, now)

    def _send_next(self, number: int, now: float, reason: str) -> None:
        targets = self.plan.targets_by_instance[number]
        instance = self._instances[number]
        target = self._selector.choose(targets, instance.tried, now)
        if target is not None:
            self._send(number, target, now, False, reason)
            return
        fallback = self._last_resort(number, now)
        if fallback is None:
            instance.reason = Outcome.LEAVING
            self._exhausted.add(number)
            return
        instance.ejected.discard(fallback)
        self._send(number, fallback, now, True, "last_resort")

    def _send(self, number: int, target: str, now: float, last_resort: bool, reason: str) -> None:
        instance = self._instances[number]
        instance.asks += 1
        instance.tried.add(target)
        nonce = self._next_nonce
        self._next_nonce += 1
        hedge_at = now + self._selector.hedge_delay(self.plan.service, now)
        subrequest = _Subrequest(number, target, self._version_selector.version, now, hedge_at)
        self._subrequest_by_nonce[nonce] = subrequest
        self._selector.subrequest_sent(target)
        instance.nonces.add(nonce)
        self._exhausted.discard(number)
        command = SendSubrequest(nonce, number, target, subrequest.version, last_resort, reason)
        self._commands.append(command)

    def _hedge(self, nonce: int, subrequest: _Subrequest, now: float) -> None:
        """Send one hedge to another target of the instance if the budget allows."""
        self._subrequest_by_nonce[nonce] = subrequest._replace(hedge_at=float("inf"))
        instance = self._instances[subrequest.instance]
        targets = self.plan.targets_by_instance[subrequest.instance]
        target = self._selector.choose(targets, instance.tried, now)
        if len(instance.nonces) > 1 or target is None:
            return
        if self._budget.try_spend():
            self._send(subrequest.instance, target, now, False, "hedge")

    def _cancel_obsolete(self, number: int, version: int, now: float) -> None:
        """Cancel other sub-requests to an instance that has answered at a version."""
        nonces = self._instances[number].nonces
        for nonce in sorted(nonces):
            subrequest = self._subrequest_by_nonce[nonce]
            if subrequest.version not in (None, version):
                continue
            del self._subrequest_by_nonce[nonce]
            nonces.discard(nonce)
            self._selector.record_min_latency(subrequest.target, now - subrequest.sent_at, now)
            self._cancel(nonce, subrequest.target)

    def _cancel(self, nonce: int, target: str) -> None:
        self._selector.subrequest_ended(target)
        self._commands.append(CancelSubrequest(nonce, target))

    def _advance(self, now: float) -> list[GatherCommand]:
        if not self.ended:
            self._end_if_due(now)
        commands, self._commands = self._commands, []
        return commands

    def _end_if_due(self, now: float) -> None:
        """End the query if it is complete, out of time, or can make no more progress."""
        snapshot = self._collected.complete_snapshot()
        if snapshot is not None:
            self._end(snapshot, now)
            return
        least = self.plan.policy.least_coverage
        best = self._collected.best_snapshot()
        nothing_more = not self._subrequest_by_nonce and all(
            instance.retry_at is None for instance in self._instances
        )
        if nothing_more or now >= self._hard_deadline or self._coverage_unreachable(least):
            self._end(best, now)
            return
        if now >= self._deadline:
            self._past_deadline = True
            if self._coverage(best) >= least:
                self._end(best, now)

    def _coverage_unreachable(self, least: float) -> bool:
        """Return whether too many instances are exhausted to reach the required coverage.

        During a repartition another instance may hold the missing shards.
        """
        if not self._exhausted or self._collected.repartitioned(len(self._instances)):
            return False
        lost = self._exhausted - self._collected.instances_at(self._version_selector.version)
        return bool(lost) and 1 - len(lost) / len(self._instances) < least

    def _reason(self, instance: _Instance, now: float) -> str:
        """Return why an instance has no answer at the end of the query."""
        if not instance.nonces:
            return instance.reason
        return "late" if now >= self._deadline else "not_awaited"

    def _coverage(self, snapshot: Snapshot | None) -> float:
        return self._collected.build_answer(snapshot, {}, len(self._instances)).coverage

    def _end(self, snapshot: Snapshot | None, now: float) -> None:
        self.ended = True
        for nonce, subrequest in self._subrequest_by_nonce.items():
            self._selector.record_min_latency(subrequest.target, now - subrequest.sent_at, now)
            self._cancel(nonce, subrequest.target)
        reasons = {
            number: self._reason(instance, now) for number, instance in enumerate(self._instances)
        }
        self._subrequest_by_nonce.clear()
        answer = self._collected.build_answer(snapshot, reasons, len(self._instances))
        if snapshot is not None:
            self._selector.record_version(self.plan.service, snapshot.version)
        if answer.coverage >= self.plan.policy.least_coverage and snapshot is not None:
            self._commands.append(QueryAnswered(answer))
            return
        retry_s = max(MIN_RETRY_AFTER_S, self._retry_after_s)
        self._commands.append(QueryFailed(answer, self._shed, retry_s))
