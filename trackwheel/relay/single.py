"""The decisions about one request to one target, without I/O.

A repeatable request is sent again, within the budget, when its target failed or is late. One
that may run only once goes to a second target only when the first certainly did not run it.
"""

from typing import NamedTuple

from trackwheel.http1.models import Response
from trackwheel.relay.attempts import NEVER, Attempts, Refusal, hedge_time
from trackwheel.relay.budget import RetryBudget
from trackwheel.relay.models import OPEN_GATE, Outcome, RouteKey, SendGate, Target, TargetEnd
from trackwheel.relay.target_selector import TargetSelector


class SinglePlan(NamedTuple):
    """Say what a request needs; times are monotonic seconds.

    `gate` knows whether it may go to targets at all.
    """

    route: RouteKey
    service: str
    repeatable: bool
    max_attempts: int
    answer_at: float
    end_at: float
    gate: SendGate = OPEN_GATE


class SendSingle(NamedTuple):
    """Command: send the request to a target."""

    token: int
    target: Target
    reason: str


class CancelSingle(NamedTuple):
    """Command: take an unanswered request back."""

    token: int
    target: Target


class SingleAnswered(NamedTuple):
    """Command: give the client this answer of a target."""

    answer: Response


class SingleFailed(NamedTuple):
    """Command: tell the client that no answer comes; `ran` says whether a target may have run."""

    ran: bool
    late: bool
    reason: str


SingleCommand = SendSingle | CancelSingle | SingleAnswered | SingleFailed


class Single:
    """Decide, from events and the time, where one request goes and how it ends."""

    def __init__(self, plan: SinglePlan, selector: TargetSelector, budget: RetryBudget) -> None:
        self.plan = plan
        self._selector = selector
        self._budget = budget
        self._attempts = Attempts(plan.service, plan.max_attempts, gate=plan.gate)
        self._next_token = 0
        self._failure: Response | None = None
        self._hedge_at = NEVER
        self._retry_at = NEVER
        self._commands: list[SingleCommand] = []
        self.ended = False

    def start(self, now: float) -> list[SingleCommand]:
        """Send the request to the best target."""
        if not self._ask("first", now) and not self._wait_for_rest(now):
            lack = self._selector.no_target_reason(self.plan.service, self.plan.route, now)
            self._fail(lack.value, False)
        return self._take_commands()

    def target_ended(self, token: int, end: TargetEnd, now: float) -> list[SingleCommand]:
        """Take the end of the request at one target."""
        if self.ended or token not in self._attempts.target_by_token:
            return []
        if end.outcome is Outcome.OK and end.answer is not None:
            self._attempts.succeed(token)
            self._answer(end.answer)
            return self._take_commands()
        self._attempts.fail(token, end.outcome, now)
        if end.outcome is Outcome.FAILED:
            self._failure = end.answer
        may_repeat = self.plan.repeatable or not self._attempts.ran
        if may_repeat and self._ask(end.outcome.value, now):
            return self._take_commands()
        if not self._attempts.target_by_token and not (may_repeat and self._wait_for_rest(now)):
            self._give_up(end)
        return self._take_commands()

    def tick(self, now: float) -> list[SingleCommand]:
        """Ask a second target when that is due; end the request when its time is up."""
        if self.ended:
            return []
        if now >= self.plan.end_at:
            self._fail("time is up", True)
        elif now >= self._hedge_at:
            self._hedge_at = NEVER
            self._ask("hedge", now)
        elif now >= self._retry_at:
            self._retry_at = NEVER
            if not self._ask("not_sent", now) and not self._wait_for_rest(now):
                self._fail("all targets refuse connections", False)
        return self._take_commands()

    def cancel(self) -> list[SingleCommand]:
        """Take everything back since nobody waits for the answer any more."""
        if not self.ended:
            self._end()
        return self._take_commands()

    def next_wake(self) -> float:
        """Return when `tick` is next needed (monotonic seconds)."""
        return min(self._hedge_at, self._retry_at, self.plan.end_at)

    def _wait_for_rest(self, now: float) -> bool:
        """Wait for the first target that rests after refused connections, if that is in time."""
        rests_until = self._attempts.rests_until
        if not now < rests_until < self.plan.answer_at:
            return False
        self._retry_at = rests_until
        return True

    def _ask(self, reason: str, now: float) -> bool:
        """Send the request to one more target; return False when it may not or there is none."""
        if now >= self.plan.end_at:
            return False
        choices = self._attempts.choose(self._selector, self._budget, self.plan.route, now)
        if isinstance(choices, Refusal):
            return False
        token = self._next_token
        self._next_token += 1
        target = choices[0].target
        self._attempts.begin(token, target)
        if self.plan.repeatable and token == 0:
            self._hedge_at = hedge_time(choices, self.plan.answer_at, now)
        self._commands.append(SendSingle(token, target, reason))
        return True

    def _give_up(self, end: TargetEnd) -> None:
        """End with a target's own failure where there is one."""
        if self._failure is not None:
            self._answer(self._failure)
            return
        self._fail(end.detail or end.outcome.value, False)

    def _answer(self, answer: Response) -> None:
        self._end()
        self._commands.append(SingleAnswered(answer))

    def _fail(self, reason: str, late: bool) -> None:
        ran = self._attempts.ran or bool(self._attempts.target_by_token)
        self._end()
        self._commands.append(SingleFailed(ran, late, reason))

    def _end(self) -> None:
        self.ended = True
        for token, target in self._attempts.target_by_token.items():
            self._commands.append(CancelSingle(token, target))
        self._attempts.target_by_token.clear()

    def _take_commands(self) -> list[SingleCommand]:
        commands, self._commands = self._commands, []
        return commands
