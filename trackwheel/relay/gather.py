"""The decisions about one query over many shards, without I/O.

Each shard is asked of its best target. A shard that is late is asked of a second one while that
can still answer before the aim; a shard whose target failed is asked again at once. The query
ends when every shard is in, at its aim with enough of them, or as soon as enough are in
after that. It is given up at once when enough can no longer come.
"""

from typing import NamedTuple

from trackwheel.relay.board import Board, Choice, RouteKey
from trackwheel.relay.budget import RepeatBudget
from trackwheel.relay.const import HEDGE_EARLIEST_PACES, HEDGE_RESERVE_PACES
from trackwheel.relay.models import NOTHING_RAN, Outcome, Part, Target, TargetEnd


class GatherPlan(NamedTuple):
    """Say what a query needs; times are monotonic seconds.

    `answer_at` is the last moment to answer within the aim, `end_at` that to answer at all.
    With `repeat`, another box may have asked for these shards before.
    """

    route: RouteKey
    shards: tuple[str, ...]
    least_coverage: float
    max_attempts: int
    answer_at: float
    end_at: float
    repeat: bool


class SendPart(NamedTuple):
    """Command: ask a target for a shard."""

    token: int
    shard: str
    target: Target
    reason: str


class CancelPart(NamedTuple):
    """Command: take an unanswered request back."""

    token: int
    target: Target


class Gathered(NamedTuple):
    """Command: answer with these parts."""

    part_by_shard: dict[str, Part]
    missing: int
    reason: str


class GatherFailed(NamedTuple):
    """Command: tell the client that no answer comes; `ran` says whether a target may have run."""

    ran: bool
    late: bool
    reason: str


GatherCommand = SendPart | CancelPart | Gathered | GatherFailed


class _Shard:
    """Follow one shard."""

    def __init__(self) -> None:
        self.flight_by_token: dict[int, tuple[Target, float]] = {}
        self.tried: set[str] = set()
        self.not_run_at: set[str] = set()
        self.runs = 0
        self.arrivals = 0
        self.hedge_at = float("inf")
        self.exhausted = False


class Gather:
    """Decide, from events and the time, what one query sends and when it ends."""

    def __init__(self, plan: GatherPlan, board: Board, budget: RepeatBudget) -> None:
        self.plan = plan
        self._board = board
        self._budget = budget
        self._shard_by_name = {name: _Shard() for name in plan.shards}
        self._part_by_shard: dict[str, Part] = {}
        self._shard_name_by_token: dict[int, str] = {}
        self._next_token = 0
        self._ran = False
        self._commands: list[GatherCommand] = []
        self.ended = False

    def start(self, now: float) -> list[GatherCommand]:
        """Ask the best target of each shard."""
        for name in self.plan.shards:
            self._ask(name, "first", now)
        return self._finish_or_go_on(now)

    def part_ended(
        self, token: int, end: TargetEnd, part: Part | None, now: float
    ) -> list[GatherCommand]:
        """Take the end of one request; `part` is there when it brought the shard's records."""
        name = self._shard_name_by_token.pop(token, None)
        if self.ended or name is None:
            return []
        shard = self._shard_by_name[name]
        target, _ = shard.flight_by_token.pop(token)
        if part is not None:
            self._take_part(name, shard, part, now)
            return self._finish_or_go_on(now)
        self._note_failure(shard, target, end.outcome)
        if not self._ask(name, end.outcome.value, now) and not shard.flight_by_token:
            shard.exhausted = True
        return self._finish_or_go_on(now)

    def tick(self, now: float) -> list[GatherCommand]:
        """Ask second targets that are due and end the query when its time has come."""
        if self.ended:
            return []
        for name in self.plan.shards:
            shard = self._shard_by_name[name]
            if name in self._part_by_shard or shard.hedge_at > now:
                continue
            shard.hedge_at = float("inf")
            self._ask(name, "hedge", now)
        return self._finish_or_go_on(now)

    def cancel(self, now: float) -> list[GatherCommand]:
        """Take everything back since nobody waits for the answer any more."""
        if not self.ended:
            self._end(now)
        commands, self._commands = self._commands, []
        return commands

    def next_wake(self) -> float:
        """Return when `tick` is next needed (monotonic seconds)."""
        waiting = [
            shard.hedge_at
            for name, shard in self._shard_by_name.items()
            if name not in self._part_by_shard
        ]
        if self._enough():
            waiting.append(self.plan.answer_at)
        return min(waiting, default=self.plan.end_at) if waiting else self.plan.end_at

    def _take_part(self, name: str, shard: _Shard, part: Part, now: float) -> None:
        self._part_by_shard[name] = part
        self._ran = True
        self._withdraw(shard, now)

    def _note_failure(self, shard: _Shard, target: Target, outcome: Outcome) -> None:
        if outcome in NOTHING_RAN:
            shard.not_run_at.add(target.instance)
            shard.runs -= 1
            if outcome is Outcome.NOT_SENT:
                shard.arrivals -= 1
            return
        self._ran = True

    def _ask(self, name: str, reason: str, now: float) -> bool:
        """Send a shard to one more target; return False when there is none or it may not."""
        shard = self._shard_by_name[name]
        if shard.runs >= self.plan.max_attempts or now >= self.plan.end_at:
            return False
        choices = self._choices(name, shard, now)
        if not choices:
            return False
        if not self._pay(name, shard, now):
            return False
        best = choices[0]
        token = self._next_token
        self._next_token += 1
        shard.flight_by_token[token] = (best.target, now)
        shard.tried.add(best.target.instance)
        shard.runs += 1
        shard.arrivals += 1
        self._shard_name_by_token[token] = name
        if len(shard.flight_by_token) == 1:
            shard.hedge_at = self._hedge_time(best, choices[1:], now)
        self._commands.append(SendPart(token, name, best.target, reason))
        return True

    def _choices(self, name: str, shard: _Shard, now: float) -> list[Choice]:
        """Return targets to ask: those that were not tried, then those that did not run it."""
        fresh = self._board.rank(name, self.plan.route, now, frozenset(shard.tried))
        if fresh or shard.flight_by_token:
            return fresh
        ran = frozenset(shard.tried - shard.not_run_at)
        return self._board.rank(name, self.plan.route, now, ran) if shard.arrivals else []

    def _pay(self, name: str, shard: _Shard, now: float) -> bool:
        if shard.arrivals == 0 and not self.plan.repeat:
            self._budget.first(name, now)
            return True
        return self._budget.take(name, now)

    def _hedge_time(self, first: Choice, others: list[Choice], now: float) -> float:
        """Return when a second target is asked: late enough to be rare, early enough to help."""
        if not others or self.plan.max_attempts < 2:
            return float("inf")
        earliest = now + HEDGE_EARLIEST_PACES * first.expected_s
        latest = self.plan.answer_at - HEDGE_RESERVE_PACES * others[0].expected_s
        return max(earliest, latest)

    def _enough(self) -> bool:
        return self._coverage() >= self.plan.least_coverage and bool(self._part_by_shard)

    def _coverage(self) -> float:
        return len(self._part_by_shard) / len(self.plan.shards)

    def _hopeless(self) -> bool:
        """Return whether too many shards can no longer come."""
        lost = sum(shard.exhausted for shard in self._shard_by_name.values())
        total = len(self.plan.shards)
        return (total - lost) / total < self.plan.least_coverage or lost == total

    def _finish_or_go_on(self, now: float) -> list[GatherCommand]:
        if not self.ended:
            self._finish(now)
        commands, self._commands = self._commands, []
        return commands

    def _finish(self, now: float) -> None:
        waits = any(shard.flight_by_token for shard in self._shard_by_name.values())
        if len(self._part_by_shard) == len(self.plan.shards):
            self._answer("whole", now)
        elif self._hopeless():
            self._fail("too few shards can answer", False, now)
        elif self._enough() and (now >= self.plan.answer_at or not waits):
            self._answer("aim" if waits else "nothing more can come", now)
        elif now >= self.plan.end_at:
            self._fail("time is up", True, now)

    def _answer(self, reason: str, now: float) -> None:
        missing = len(self.plan.shards) - len(self._part_by_shard)
        self._end(now)
        self._commands.append(Gathered(self._part_by_shard, missing, reason))

    def _fail(self, reason: str, late: bool, now: float) -> None:
        waits = any(shard.flight_by_token for shard in self._shard_by_name.values())
        self._end(now)
        self._commands.append(GatherFailed(self._ran or waits, late, reason))

    def _end(self, now: float) -> None:
        self.ended = True
        for shard in self._shard_by_name.values():
            self._withdraw(shard, now)

    def _withdraw(self, shard: _Shard, now: float) -> None:
        for token, (target, _) in shard.flight_by_token.items():
            self._shard_name_by_token.pop(token, None)
            self._commands.append(CancelPart(token, target))
        shard.flight_by_token.clear()
