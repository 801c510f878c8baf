"""The attempts of one request, or of one shard of a query, within its limits and budget."""

from collections.abc import Callable
from enum import StrEnum
from typing import Final

from trackwheel.relay.causes import Cause
from trackwheel.relay.models import (
    NOTHING_RAN,
    OPEN_GATE,
    Outcome,
    RouteKey,
    SendGate,
    SendPermission,
    Target,
)
from trackwheel.selection.budget import RetryBudget
from trackwheel.selection.const import (
    HEDGE_MIN_RESPONSE_TIMES,
    HEDGE_RESERVE_RESPONSE_TIMES,
    MAX_SENDS,
    REFUSAL_BACKOFF_RESPONSE_TIMES,
)
from trackwheel.selection.target_selector import Candidate, NoTargetReason, TargetSelector

NEVER: Final = float("inf")

_CAUSE_BY_REASON: Final = {
    NoTargetReason.UNKNOWN: Cause.NO_TARGET,
    NoTargetReason.HOMES: Cause.HOMES,
    NoTargetReason.BARRED: Cause.BARRED,
    NoTargetReason.COLD: Cause.COLD,
    NoTargetReason.TRIED: Cause.TARGETS_TRIED,
}


class Refusal(StrEnum):
    """Why no target is asked.

    `NOT_NOW`: a later attempt may be allowed. `DOWN`: all targets have just refused connections.
    `NO_MORE`: no target or no attempt is left.
    """

    NOT_NOW = "not_now"
    DOWN = "down"
    NO_MORE = "no_more"


class Attempts:
    """Tracks which targets were asked, how many may have run it, and the repeats spent."""

    def __init__(
        self,
        service: str,
        max_attempts: int,
        repeat: bool = False,
        gate: SendGate = OPEN_GATE,
    ) -> None:
        """Initialize; with `repeat`, others have asked before and only the own domain is asked.

        `gate` decides whether the request may be sent to targets at all.
        """
        self._service = service
        self._gate = gate
        self._max_attempts = max_attempts
        self._own_domain_only = repeat
        self._tried: set[str] = set()
        self._not_run_at: set[str] = set()
        self._delegated_targets: set[str] = set()
        self._first_counted = repeat
        self._sends = 0
        self._runs = 0
        self._deliveries = int(repeat)
        self._delegated_runs = 0
        self._refusals = 0
        self._refused_at = 0.0
        self.backoff_until = 0.0
        """End of the backoff after refused connections (monotonic seconds)."""
        self.cause: Cause | None = None
        """Why the last choice returned no target; None if it returned one."""
        self.target_by_token: dict[int, Target] = {}
        self.ran = False
        """Whether a target whose request has ended may have run it."""

    def delegate(self, attempts: int, targets: set[str]) -> None:
        """Delegate the first attempts to a peer, which will use some of the given targets."""
        self._first_counted = True
        self._deliveries += 1
        self._runs += attempts
        self._delegated_runs = attempts
        self._tried |= targets

    def undo_delegation(self) -> None:
        """Revert `delegate`: the peer declined without asking a target."""
        self._deliveries -= 1
        self._runs -= self._delegated_runs
        self._delegated_runs = 0
        self._first_counted = self._deliveries > 0

    @property
    def tried(self) -> frozenset[str]:
        """Return the targets that were asked here, or that a peer may have asked."""
        return frozenset(self._tried)

    @property
    def may_run_again(self) -> bool:
        """Return whether the limits allow one more target to run it."""
        return self._runs < self._max_attempts and self._sends < MAX_SENDS

    def delegate_repeat(self, targets: set[str]) -> None:
        """Delegate one repeat to a peer, which will use one of the given targets."""
        self._delegated_targets |= targets - self._tried
        self._tried |= targets
        self._runs += 1
        self._deliveries += 1

    def undo_repeat(self) -> None:
        """Revert `delegate_repeat`: the peer declined without asking a target."""
        self._runs -= 1
        self._deliveries -= 1

    def refund_delegation(self, targets: set[str], repeat: bool) -> None:
        """Give back the attempts of a peer that has ended without a target that may have run it."""
        self._runs -= 1 if repeat else self._delegated_runs
        if not repeat:
            self._delegated_runs = 0
        self._not_run_at |= targets & self._tried

    def release_delegated_targets(self) -> None:
        """Allow the targets of delegated repeats again: no peer has asked one of them."""
        self._tried -= self._delegated_targets
        self._delegated_targets.clear()

    def exclude(self, targets: set[str]) -> None:
        """Exclude targets from the choice, as if they had been tried."""
        self._tried |= targets

    def clear_tried(self) -> None:
        """Allow all targets again, since it is not known that they were asked."""
        self._tried.clear()

    def choose(
        self,
        selector: TargetSelector,
        budget: RetryBudget,
        route: RouteKey,
        now: float,
        needed: bool = True,
        fits: Callable[[Candidate], bool] | None = None,
    ) -> list[Candidate] | Refusal:
        """Return the ranked targets, the first of which is charged to the budget, or a refusal.

        `needed` tells that the answer fails without this attempt; `fits`, if given, whether a
        target can answer before this box stops.
        """
        self.cause = None
        permission = self._gate.permission(now)
        if permission is SendPermission.WAIT:
            return self._refuse(Refusal.NOT_NOW, Cause.SUSPECTED)
        # ONE: targets have already ended during it; the client's next attempt will be the trial.
        if permission is not SendPermission.OPEN:
            return self._refuse(Refusal.NO_MORE, Cause.HELD)
        if not self.may_run_again:
            spent = Cause.SENDS if self._sends >= MAX_SENDS else Cause.ATTEMPTS
            return self._refuse(Refusal.NO_MORE, spent)
        choices = self._rank(selector, route, now)
        if not choices:
            return self._refuse_without_target(selector, route, now)
        reachable = [choice for choice in choices if choice.rests_until <= now]
        if not reachable:
            self.backoff_until = min(choice.rests_until for choice in choices)
            return self._refuse(Refusal.DOWN, Cause.UNREACHABLE)
        choices = reachable if fits is None else [choice for choice in reachable if fits(choice)]
        if not choices:
            return self._refuse(Refusal.NO_MORE, Cause.STOPPING)
        if self._is_in_refusal_backoff(choices, now):
            return self._refuse(Refusal.NOT_NOW, Cause.SHED)
        if not self._spend_budget(budget, now, needed):
            refusal = Refusal.NOT_NOW if budget.allows_any else Refusal.NO_MORE
            return self._refuse(refusal, Cause.RETRY_BUDGET)
        return choices

    def _refuse_without_target(
        self, selector: TargetSelector, route: RouteKey, now: float
    ) -> Refusal:
        """Return the refusal where no target may be asked."""
        if selector.may_ask_soon(self._service, route, now):
            return self._refuse(Refusal.NOT_NOW, Cause.COLD)
        reason = selector.no_target_reason(self._service, route, now)
        return self._refuse(Refusal.NO_MORE, _CAUSE_BY_REASON[reason])

    def _refuse(self, refusal: Refusal, cause: Cause) -> Refusal:
        self.cause = cause
        return refusal

    def _is_in_refusal_backoff(self, choices: list[Candidate], now: float) -> bool:
        """Return whether all targets have refused it so recently that it should wait."""
        if choices[0].target.instance not in self._tried or self._refusals < len(choices):
            return False
        doublings = self._refusals - len(choices)
        backoff_s = choices[0].usual_s * REFUSAL_BACKOFF_RESPONSE_TIMES * 2.0**doublings
        return now < self._refused_at + backoff_s

    def mark_sent(self, token: int, target: Target) -> None:
        """Record that it is sent to a target."""
        self.target_by_token[token] = target
        self._tried.add(target.instance)
        self._sends += 1
        self._runs += 1
        self._deliveries += 1

    def mark_succeeded(self, token: int) -> None:
        """Record a successful answer."""
        del self.target_by_token[token]
        self.ran = True

    def mark_failed(self, token: int, outcome: Outcome, now: float) -> None:
        """Record a failure at a target."""
        target = self.target_by_token.pop(token)
        if outcome not in NOTHING_RAN:
            self.ran = True
            return
        self._runs -= 1
        if outcome is Outcome.NOT_RUN:
            self._refusals += 1
            self._refused_at = now
        if outcome is not Outcome.ELSEWHERE:
            self._not_run_at.add(target.instance)
        if outcome is Outcome.NOT_SENT:
            self._deliveries -= 1

    def _rank(self, selector: TargetSelector, route: RouteKey, now: float) -> list[Candidate]:
        """Return the untried targets, or if there are none those that did not run it."""
        untried = selector.rank(self._service, route, now, self.tried, self._own_domain_only)
        if untried or self.target_by_token:
            return untried
        ran = frozenset(self._tried - self._not_run_at)
        return selector.rank(self._service, route, now, ran, self._own_domain_only)

    def _spend_budget(self, budget: RetryBudget, now: float, needed: bool) -> bool:
        if not self._first_counted:
            self._first_counted = True
            budget.count_first(self._service, now)
            return True
        # A request that no target has received yet is not a repeat at another target.
        return self._deliveries == 0 or budget.try_spend(self._service, now, needed)


def hedge_time(choices: list[Candidate], answer_at: float, now: float) -> float:
    """Return when to hedge: late enough to be rare, early enough to meet the target latency."""
    if len(choices) < 2:
        return NEVER
    earliest = now + HEDGE_MIN_RESPONSE_TIMES * choices[0].usual_s
    latest = answer_at - HEDGE_RESERVE_RESPONSE_TIMES * choices[1].expected_s
    return max(earliest, latest)
