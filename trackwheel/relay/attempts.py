"""The sends of one request, or of one shard of a query, within its limits and its budget."""

from enum import StrEnum
from typing import Final

from trackwheel.relay.budget import RetryBudget
from trackwheel.relay.const import (
    HEDGE_MIN_RESPONSE_TIMES,
    HEDGE_RESERVE_RESPONSE_TIMES,
    MAX_SENDS,
    REFUSAL_BACKOFF_RESPONSE_TIMES,
)
from trackwheel.relay.models import (
    NOTHING_RAN,
    OPEN_GATE,
    Outcome,
    Passage,
    RouteKey,
    SendGate,
    Target,
)
from trackwheel.relay.target_selector import Candidate, TargetSelector

NEVER: Final = float("inf")


class Refusal(StrEnum):
    """Say why no target is asked: it may be tried again soon, or nothing is left to try.

    `DOWN` says that all targets have refused connections a moment ago.
    """

    NOT_NOW = "not_now"
    DOWN = "down"
    NO_MORE = "no_more"


class Attempts:
    """Follow which targets were asked, how many may have run it, and what it has cost."""

    def __init__(
        self,
        service: str,
        max_attempts: int,
        repeat: bool = False,
        gate: SendGate = OPEN_GATE,
    ) -> None:
        """Begin; with `repeat`, it was asked before and only targets beside this box are asked.

        `gate` knows whether the request may go to targets at all.
        """
        self._service = service
        self._gate = gate
        self._max_attempts = max_attempts
        self._only_beside = repeat
        self._tried: set[str] = set()
        self._not_run_at: set[str] = set()
        self._lent: set[str] = set()
        self._counted = repeat
        self._sends = 0
        self._runs = 0
        self._arrivals = int(repeat)
        self._given = 0
        self._refusals = 0
        self._refused_at = 0.0
        self.rests_until = 0.0
        """When a target that rests after refused connections may be asked (monotonic seconds)."""
        self.target_by_token: dict[int, Target] = {}
        self.ran = False
        """Whether a target that has answered or broken off may have run it."""

    def give_away(self, attempts: int, targets: set[str]) -> None:
        """Leave some attempts, and the targets that they will meet, to a peer."""
        self._counted = True
        self._arrivals += 1
        self._runs += attempts
        self._given = attempts
        self._tried |= targets

    def take_back(self) -> None:
        """Take that a peer has asked no target and leaves that to others."""
        self._arrivals -= 1
        self._runs -= self._given
        self._given = 0
        self._counted = self._arrivals > 0

    @property
    def tried(self) -> frozenset[str]:
        """Return the targets that it went to, or that a peer may have asked."""
        return frozenset(self._tried)

    @property
    def may_run(self) -> bool:
        """Return whether one more target may run it."""
        return self._runs < self._max_attempts and self._sends < MAX_SENDS

    def lend(self, targets: set[str]) -> None:
        """Leave one more attempt, and the targets that it will meet, to a peer."""
        self._lent |= targets - self._tried
        self._tried |= targets
        self._runs += 1
        self._arrivals += 1

    def return_loan(self) -> None:
        """Take that the peer that was lent an attempt has asked no target."""
        self._runs -= 1
        self._arrivals -= 1

    def forget_lent(self) -> None:
        """Take that the targets left to peers may be asked again: the peers asked none of them."""
        self._tried -= self._lent
        self._lent.clear()

    def pass_over(self, targets: set[str]) -> None:
        """Leave some targets out of the choice, as if they had been tried."""
        self._tried |= targets

    def forget_tried(self) -> None:
        """Take that the targets tried so far may be asked again: nobody knows that they were."""
        self._tried.clear()

    def choose(
        self,
        selector: TargetSelector,
        budget: RetryBudget,
        route: RouteKey,
        now: float,
        needed: bool = True,
    ) -> list[Candidate] | Refusal:
        """Return the target to ask now, paid for, and those after it; or why there is none.

        `needed` says that the answer fails without this.
        """
        passage = self._gate.passage(now)
        if passage is Passage.WAIT:
            return Refusal.NOT_NOW
        # What may go to one target first has been to some already: the next attempt tries it.
        if passage is not Passage.OPEN or not self.may_run:
            return Refusal.NO_MORE
        choices = self._rank(selector, route, now)
        if not choices and selector.may_ask_soon(self._service, route, now):
            return Refusal.NOT_NOW
        if not choices:
            return Refusal.NO_MORE
        awake = [choice for choice in choices if choice.rests_until <= now]
        if not awake:
            self.rests_until = min(choice.rests_until for choice in choices)
            return Refusal.DOWN
        choices = awake
        if self._rests(choices, now):
            return Refusal.NOT_NOW
        if not self._pay(budget, now, needed):
            return Refusal.NOT_NOW if budget.allows_any else Refusal.NO_MORE
        return choices

    def _rests(self, choices: list[Candidate], now: float) -> bool:
        """Return whether all targets refused it a moment ago."""
        if choices[0].target.instance not in self._tried or self._refusals < len(choices):
            return False
        doublings = self._refusals - len(choices)
        rest_s = choices[0].usual_s * REFUSAL_BACKOFF_RESPONSE_TIMES * 2.0**doublings
        return now < self._refused_at + rest_s

    def begin(self, token: int, target: Target) -> None:
        """Take that it goes to a target."""
        self.target_by_token[token] = target
        self._tried.add(target.instance)
        self._sends += 1
        self._runs += 1
        self._arrivals += 1

    def succeed(self, token: int) -> None:
        """Take that a target answered well."""
        del self.target_by_token[token]
        self.ran = True

    def fail(self, token: int, outcome: Outcome, now: float) -> None:
        """Take how it failed at a target."""
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
            self._arrivals -= 1

    def _rank(self, selector: TargetSelector, route: RouteKey, now: float) -> list[Candidate]:
        """Return targets to ask: those that were not tried, then those that did not run it."""
        fresh = selector.rank(self._service, route, now, self.tried, self._only_beside)
        if fresh or self.target_by_token:
            return fresh
        ran = frozenset(self._tried - self._not_run_at)
        return selector.rank(self._service, route, now, ran, self._only_beside)

    def _pay(self, budget: RetryBudget, now: float, needed: bool) -> bool:
        if not self._counted:
            self._counted = True
            budget.count_first(self._service, now)
            return True
        # What could not be sent did not arrive, so that another target is not a repeat yet.
        return self._arrivals == 0 or budget.try_spend(self._service, now, needed)


def hedge_time(choices: list[Candidate], answer_at: float, now: float) -> float:
    """Return when a second target is asked: late enough to be rare, early enough to help."""
    if len(choices) < 2:
        return NEVER
    earliest = now + HEDGE_MIN_RESPONSE_TIMES * choices[0].usual_s
    latest = answer_at - HEDGE_RESERVE_RESPONSE_TIMES * choices[1].expected_s
    return max(earliest, latest)
