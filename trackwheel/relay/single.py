"""Decision logic of one request to a single target, without I/O.

A repeatable request is retried or hedged, within the budget, when its target fails or is late.
One that may run at most once goes to a second target only if the first certainly did not run it.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from trackwheel.http1.models import Response
from trackwheel.relay.causes import Cause
from trackwheel.relay.models import OPEN_GATE, Outcome, RouteKey, SendGate, Target, TargetResult
from trackwheel.selection.attempts import NEVER, Attempts, Refusal, hedge_time
from trackwheel.selection.budget import RetryBudget
from trackwheel.selection.target_selector import Candidate, TargetSelector
from trackwheel.stop_deadline import NO_STOP, STOPPING, StopDeadline


class SinglePlan(NamedTuple):
    """Parameters of one request; times are monotonic seconds.

    `gate` decides whether it may be sent to targets at all; after a stop signal, it is sent only to
    targets that can answer before `stop`.
    """

    route: RouteKey
    service: str
    repeatable: bool
    max_attempts: int
    answer_at: float
    end_at: float
    gate: SendGate = OPEN_GATE
    stop: StopDeadline = NO_STOP


class SendSingle(NamedTuple):
    """Command: send the request to a target."""

    token: int
    target: Target
    reason: str


class CancelSingle(NamedTuple):
    """Command: cancel an outstanding request."""

    token: int
    target: Target


class SingleAnswered(NamedTuple):
    """Command: answer the client with a target's answer."""

    answer: Response


class SingleFailed(NamedTuple):
    """Command: fail the request; `ran` tells whether a target may have run it."""

    ran: bool
    late: bool
    reason: str
    cause: Cause | None = None


SingleCommand = SendSingle | CancelSingle | SingleAnswered | SingleFailed


class Single:
    """State machine of one request: takes events and the time, returns commands."""

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
        if not self._ask("first", now) and not self._wait_for_backoff(now):
            self._fail(self._lack(now), False)
        return self._take_commands()

    def target_ended(self, token: int, result: TargetResult, now: float) -> list[SingleCommand]:
        """Handle the end of the request at one target."""
        if self.ended or token not in self._attempts.target_by_token:
            return []
        if result.outcome is Outcome.OK and result.answer is not None:
            self._attempts.mark_succeeded(token)
            self._answer(result.answer)
            return self._take_commands()
        self._attempts.mark_failed(token, result.outcome, now)
        if result.outcome is Outcome.FAILED:
            self._failure = result.answer
        may_repeat = self.plan.repeatable or not self._attempts.ran
        if may_repeat and self._ask(result.outcome.value, now):
            return self._take_commands()
        if not self._attempts.target_by_token and not (may_repeat and self._wait_for_backoff(now)):
            self._give_up(result)
        return self._take_commands()

    def tick(self, now: float) -> list[SingleCommand]:
        """Do what is due: hedge, retry after a backoff, or fail at the deadline."""
        if self.ended:
            return []
        if now >= self.plan.end_at:
            self._fail("time is up", True)
        elif now >= self._hedge_at:
            self._hedge_at = NEVER
            self._ask("hedge", now)
        elif now >= self._retry_at:
            self._retry_at = NEVER
            if not self._ask("not_sent", now) and not self._wait_for_backoff(now):
                self._fail("all targets refuse connections", False)
        return self._take_commands()

    def stop(self, unsent: Iterable[int], now: float) -> list[SingleCommand]:
        """Fail the request because this box stops; no target has received the `unsent` tokens."""
        if self.ended:
            return []
        for token in unsent:
            self._commands.append(CancelSingle(token, self._attempts.target_by_token[token]))
            self._attempts.mark_failed(token, Outcome.NOT_SENT, now)
        self._fail(STOPPING, False, Cause.STOPPING)
        return self._take_commands()

    def cancel(self) -> list[SingleCommand]:
        """Cancel all outstanding requests: the client is gone."""
        if not self.ended:
            self._end()
        return self._take_commands()

    def next_wake(self) -> float:
        """Return when `tick` is due next (monotonic seconds)."""
        return min(self._hedge_at, self._retry_at, self.plan.end_at)

    @property
    def waits_for(self) -> Cause | None:
        """Return why there is no answer yet."""
        if self._attempts.target_by_token:
            return Cause.TARGET_SILENT
        if self._attempts.ran and not self.plan.repeatable:
            return Cause.MAY_HAVE_RUN
        return self._attempts.cause

    def _wait_for_backoff(self, now: float) -> bool:
        """Schedule a retry at the end of the connection backoff, if that is in time."""
        backoff_until = self._attempts.backoff_until
        if not now < backoff_until < self.plan.answer_at:
            return False
        self._retry_at = backoff_until
        return True

    def _ask(self, reason: str, now: float) -> bool:
        """Send the request to one more target; return False if none may be asked."""
        if now >= self.plan.end_at:
            return False
        choices = self._attempts.choose(
            self._selector,
            self._budget,
            self.plan.route,
            now,
            fits=self._fit_check(now) if self.plan.stop.is_set else None,
        )
        if isinstance(choices, Refusal):
            return False
        token = self._next_token
        self._next_token += 1
        target = choices[0].target
        self._attempts.mark_sent(token, target)
        if self.plan.repeatable and token == 0:
            self._hedge_at = hedge_time(choices, self.plan.answer_at, now)
        self._commands.append(SendSingle(token, target, reason))
        return True

    def _fit_check(self, now: float) -> Callable[[Candidate], bool]:
        """Return a check whether a target can answer before this box stops.

        A request that may run only once needs more certainty: if it is cut off, its client can
        neither know whether it ran nor send it again.
        """

        def fits(choice: Candidate) -> bool:
            needed_s = choice.expected_s
            if not self.plan.repeatable:
                needed_s = max(needed_s, choice.high_s)
            return self.plan.stop.leaves_time(needed_s, now)

        return fits

    def _lack(self, now: float) -> str:
        """Return why no target was asked."""
        if self._attempts.cause is Cause.STOPPING:
            return STOPPING
        return self._selector.no_target_reason(self.plan.service, self.plan.route, now).value

    def _give_up(self, result: TargetResult) -> None:
        """End with a target's error response, or else fail."""
        if self._failure is not None:
            self._answer(self._failure)
            return
        self._fail(result.detail or result.outcome.value, False)

    def _answer(self, answer: Response) -> None:
        self._end()
        self._commands.append(SingleAnswered(answer))

    def _fail(self, reason: str, late: bool, cause: Cause | None = None) -> None:
        ran = self._attempts.ran or bool(self._attempts.target_by_token)
        cause = cause or self.waits_for
        self._end()
        self._commands.append(SingleFailed(ran, late, reason, cause))

    def _end(self) -> None:
        self.ended = True
        for token, target in self._attempts.target_by_token.items():
            self._commands.append(CancelSingle(token, target))
        self._attempts.target_by_token.clear()

    def _take_commands(self) -> list[SingleCommand]:
        commands, self._commands = self._commands, []
        return commands
