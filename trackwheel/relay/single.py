"""The decisions about one request to one target, without I/O.

A repeatable request is sent again, within the budget, when its target failed or is late. One
that may run only once goes to a second target only when the first certainly did not run it.
"""

from typing import NamedTuple

from trackwheel.http1.models import Response
from trackwheel.relay.board import Board, RouteKey
from trackwheel.relay.budget import RepeatBudget
from trackwheel.relay.const import HEDGE_EARLIEST_PACES, HEDGE_RESERVE_PACES, MAX_SENDS
from trackwheel.relay.models import NOTHING_RAN, Outcome, Target, TargetEnd


class SinglePlan(NamedTuple):
    """Say what a request needs; times are monotonic seconds."""

    route: RouteKey
    service: str
    repeatable: bool
    max_attempts: int
    answer_at: float
    end_at: float


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

    def __init__(self, plan: SinglePlan, board: Board, budget: RepeatBudget) -> None:
        self.plan = plan
        self._board = board
        self._budget = budget
        self._target_by_token: dict[int, Target] = {}
        self._tried: set[str] = set()
        self._not_run_at: set[str] = set()
        self._next_token = 0
        self._runs = 0
        self._arrivals = 0
        self._ran = False
        self._failure: Response | None = None
        self._hedge_at = float("inf")
        self._commands: list[SingleCommand] = []
        self.ended = False

    def start(self, now: float) -> list[SingleCommand]:
        """Send the request to the best target."""
        if not self._ask("first", now):
            self._fail("no target is known", False, now)
        return self._take_commands()

    def target_ended(self, token: int, end: TargetEnd, now: float) -> list[SingleCommand]:
        """Take the end of the request at one target."""
        target = self._target_by_token.pop(token, None)
        if self.ended or target is None:
            return []
        if end.outcome is Outcome.OK and end.answer is not None:
            self._answer(end.answer, now)
            return self._take_commands()
        self._note_failure(target, end)
        may_repeat = self.plan.repeatable or not self._ran
        if may_repeat and self._ask(end.outcome.value, now):
            return self._take_commands()
        if not self._target_by_token:
            self._give_up(end, now)
        return self._take_commands()

    def tick(self, now: float) -> list[SingleCommand]:
        """Ask a second target when that is due; end the request when its time is up."""
        if self.ended:
            return []
        if now >= self.plan.end_at:
            self._fail("time is up", True, now)
        elif now >= self._hedge_at:
            self._hedge_at = float("inf")
            self._ask("hedge", now)
        return self._take_commands()

    def cancel(self, now: float) -> list[SingleCommand]:
        """Take everything back since nobody waits for the answer any more."""
        if not self.ended:
            self._end()
        return self._take_commands()

    def next_wake(self) -> float:
        """Return when `tick` is next needed (monotonic seconds)."""
        return min(self._hedge_at, self.plan.end_at)

    def _note_failure(self, target: Target, end: TargetEnd) -> None:
        if end.outcome in NOTHING_RAN:
            self._runs -= 1
            if end.outcome is not Outcome.ELSEWHERE:
                self._not_run_at.add(target.instance)
            if end.outcome is Outcome.NOT_SENT:
                self._arrivals -= 1
            return
        self._ran = True
        if end.answer is not None and end.outcome is Outcome.FAILED:
            self._failure = end.answer

    def _ask(self, reason: str, now: float) -> bool:
        """Send the request to one more target; return False when it may not or there is none."""
        if self._runs >= self.plan.max_attempts or self._next_token >= MAX_SENDS:
            return False
        if now >= self.plan.end_at:
            return False
        choices = self._board.rank(self.plan.service, self.plan.route, now, frozenset(self._tried))
        if not choices and not self._target_by_token:
            ran = frozenset(self._tried - self._not_run_at)
            choices = self._board.rank(self.plan.service, self.plan.route, now, ran)
        if not choices or not self._pay(now):
            return False
        best = choices[0]
        token = self._next_token
        self._next_token += 1
        self._target_by_token[token] = best.target
        self._tried.add(best.target.instance)
        self._runs += 1
        self._arrivals += 1
        if self.plan.repeatable and len(choices) > 1 and token == 0:
            earliest = now + HEDGE_EARLIEST_PACES * best.usual_s
            reserve_s = HEDGE_RESERVE_PACES * choices[1].expected_s
            self._hedge_at = max(earliest, self.plan.answer_at - reserve_s)
        self._commands.append(SendSingle(token, best.target, reason))
        return True

    def _pay(self, now: float) -> bool:
        if self._next_token == 0:
            self._budget.first(self.plan.service, now)
            return True
        # What could not be sent did not arrive, so that another target is not a repeat yet.
        return self._arrivals == 0 or self._budget.take(self.plan.service, now)

    def _give_up(self, end: TargetEnd, now: float) -> None:
        """End with a target's own failure where there is one."""
        if self._failure is not None:
            self._answer(self._failure, now)
            return
        self._fail(end.detail or end.outcome.value, False, now)

    def _answer(self, answer: Response, now: float) -> None:
        self._end()
        self._commands.append(SingleAnswered(answer))

    def _fail(self, reason: str, late: bool, now: float) -> None:
        ran = self._ran or bool(self._target_by_token)
        self._end()
        self._commands.append(SingleFailed(ran, late, reason))

    def _end(self) -> None:
        self.ended = True
        for token, target in self._target_by_token.items():
            self._commands.append(CancelSingle(token, target))
        self._target_by_token.clear()

    def _take_commands(self) -> list[SingleCommand]:
        commands, self._commands = self._commands, []
        return commands
