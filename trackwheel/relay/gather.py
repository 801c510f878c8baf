"""The decisions about one query over many shards, without I/O.

Shards with a target near this box are asked directly, each of its best target. The others are
handed in groups to peers beside their targets, which answer with merged records. A shard that is
late is asked of a second target while that can still answer before the aim; a shard whose target
failed is asked again at once; the shards of a peer that shows no life are asked directly.

The query ends when every shard is in, at its aim with enough of them, or as soon as enough are
in after that. It is given up at once when enough can no longer come.
"""

from typing import NamedTuple

from trackwheel.relay.board import Board, Choice, RouteKey
from trackwheel.relay.budget import RepeatBudget
from trackwheel.relay.const import (
    HEDGE_EARLIEST_PACES,
    HEDGE_RESERVE_PACES,
    LOGGED_SHARDS,
    MAX_SENDS,
    REPORT_SLACK_S,
)
from trackwheel.relay.models import NOTHING_RAN, Outcome, Part, Place, Target, TargetEnd

NEVER = float("inf")


class GroupPlan(NamedTuple):
    """Shards that a peer is asked for; times are monotonic seconds.

    The peer accepts before `accept_by` and reports what is in before `report_by`.
    """

    address: str
    place: Place
    shards: tuple[str, ...]
    accept_by: float
    report_by: float


class GatherPlan(NamedTuple):
    """Say what a query needs; times are monotonic seconds.

    `answer_at` is the last moment to answer within the aim, `end_at` that to answer at all.
    With `partial`, the answer is a part of a peer's: whatever is in at `answer_at` is given.
    With `repeat`, another box may have asked for these shards before.
    """

    route: RouteKey
    shards: tuple[str, ...]
    groups: tuple[GroupPlan, ...]
    least_coverage: float
    max_attempts: int
    answer_at: float
    end_at: float
    partial: bool
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


class SendGroup(NamedTuple):
    """Command: hand a group of shards to its peer."""

    number: int
    group: GroupPlan


class CancelGroup(NamedTuple):
    """Command: tell a peer that its shards are not awaited any more."""

    number: int
    address: str


class PeerSilent(NamedTuple):
    """Command: note that a peer showed no life in time."""

    address: str
    accepted: bool


class Gathered(NamedTuple):
    """Command: answer with these signatures and the greatest of these records."""

    signature_by_shard: dict[str, bytes]
    record_lists: list[list[bytes]]
    missing: int
    reason: str
    lacking: str = ""


class GatherFailed(NamedTuple):
    """Command: tell the client that no answer comes; `ran` says whether a target may have run."""

    ran: bool
    late: bool
    reason: str
    lacking: str = ""


GatherCommand = (
    SendPart | CancelPart | SendGroup | CancelGroup | PeerSilent | Gathered | GatherFailed
)


class _Shard:
    """Follow one shard."""

    def __init__(self) -> None:
        self.target_by_token: dict[int, Target] = {}
        self.group: int | None = None
        self.tried: set[str] = set()
        self.not_run_at: set[str] = set()
        self.counted = False
        self.sends = 0
        self.runs = 0
        self.arrivals = 0
        self.hedge_at = NEVER
        self.exhausted = False
        self.last = ""

    @property
    def waits(self) -> bool:
        """Return whether an answer may still come."""
        return bool(self.target_by_token) or self.group is not None


class _Group:
    """Follow the shards that a peer gathers."""

    def __init__(self, plan: GroupPlan) -> None:
        self.plan = plan
        self.check_at = plan.accept_by
        self.accepted = False


class Gather:
    """Decide, from events and the time, what one query sends and when it ends."""

    def __init__(self, plan: GatherPlan, board: Board, budget: RepeatBudget) -> None:
        self.plan = plan
        self._board = board
        self._budget = budget
        self._shard_by_name = {name: _Shard() for name in plan.shards}
        self._group_by_number: dict[int, _Group] = {}
        self._part_by_shard: dict[str, Part] = {}
        self._merged_signature_by_shard: dict[str, bytes] = {}
        self._merged_records: list[list[bytes]] = []
        self._shard_name_by_token: dict[int, str] = {}
        self._taken: set[str] = set()
        self._next_token = 0
        self._ran = False
        self._commands: list[GatherCommand] = []
        self.ended = False

    def start(self, now: float) -> list[GatherCommand]:
        """Hand the groups to their peers and ask the best target of each other shard."""
        for number, group in enumerate(self.plan.groups):
            self._group_by_number[number] = _Group(group)
            self._commands.append(SendGroup(number, group))
            for name in group.shards:
                self._give_away(name, number, group)
        for name, shard in self._shard_by_name.items():
            if shard.group is None:
                self._ask_or_exhaust(name, "first", now)
        return self._finish_or_go_on(now)

    def part_ended(
        self, token: int, end: TargetEnd, part: Part | None, now: float
    ) -> list[GatherCommand]:
        """Take the end of one request; `part` is there when it brought the shard's records."""
        name = self._shard_name_by_token.pop(token, None)
        if self.ended or name is None:
            return []
        shard = self._shard_by_name[name]
        target = shard.target_by_token.pop(token)
        if part is not None:
            self._ran = True
            self._part_by_shard[name] = part
            self._withdraw(shard)
            return self._finish_or_go_on(now)
        shard.last = f"{end.outcome.value} at {target.instance}"
        self._note_failure(shard, target, end.outcome)
        self._ask_or_exhaust(name, end.outcome.value, now)
        return self._finish_or_go_on(now)

    def group_accepted(self, number: int) -> None:
        """Take that a peer works on its shards."""
        group = self._group_by_number.get(number)
        if group is not None and not group.accepted:
            group.accepted = True
            group.check_at = group.plan.report_by + REPORT_SLACK_S

    def group_parts(
        self,
        number: int,
        signature_by_shard: dict[str, bytes],
        records: list[bytes],
        final: bool,
        now: float,
    ) -> list[GatherCommand]:
        """Take parts that a peer merged; after the final ones it sends no more."""
        group = self._group_by_number.get(number)
        if self.ended or group is None:
            return []
        group.accepted = True
        group.check_at = NEVER
        self._take_merged(group.plan.shards, signature_by_shard, records)
        if final:
            self._release(number, "lacking", now)
        else:
            self._ask_rest(group, "hedge", now)
        return self._finish_or_go_on(now)

    def group_lost(self, number: int, now: float) -> list[GatherCommand]:
        """Take that the link to a peer broke, or that it cannot gather."""
        if self.ended or number not in self._group_by_number:
            return []
        self._release(number, "peer lost", now)
        return self._finish_or_go_on(now)

    def tick(self, now: float) -> list[GatherCommand]:
        """Do what is due: second targets, a look at peers, the end of the query."""
        if self.ended:
            return []
        for number, group in list(self._group_by_number.items()):
            if group.check_at <= now:
                self._doubt(number, group, now)
        for name, shard in self._shard_by_name.items():
            if not self._has(name) and shard.hedge_at <= now:
                shard.hedge_at = NEVER
                self._ask(name, "hedge", now)
        return self._finish_or_go_on(now)

    def cancel(self, now: float) -> list[GatherCommand]:
        """Take everything back since nobody waits for the answer any more."""
        if not self.ended:
            self._end()
        commands, self._commands = self._commands, []
        return commands

    def next_wake(self) -> float:
        """Return when `tick` is next needed (monotonic seconds)."""
        times = [self.plan.end_at]
        times += [
            shard.hedge_at for name, shard in self._shard_by_name.items() if not self._has(name)
        ]
        times += [group.check_at for group in self._group_by_number.values()]
        if self._enough() or self.plan.partial:
            times.append(self.plan.answer_at)
        return min(times)

    def parts(self) -> Gathered:
        """Return what is in so far."""
        signature_by_shard = dict(self._merged_signature_by_shard)
        signature_by_shard |= {name: part.signature for name, part in self._part_by_shard.items()}
        record_lists = [*self._merged_records]
        record_lists += [part.records for part in self._part_by_shard.values()]
        missing = len(self.plan.shards) - len(signature_by_shard)
        return Gathered(signature_by_shard, record_lists, missing, "")

    def lacking(self, limit: int) -> str:
        """Return which shards are not in and why, for the log; no more than a number of them."""
        names = [name for name in self.plan.shards if not self._has(name)]
        return "; ".join(f"{name}: {self._state(name)}" for name in names[:limit])

    def _state(self, name: str) -> str:
        shard = self._shard_by_name[name]
        waited = [target.instance for target in shard.target_by_token.values()]
        group = self._group_by_number.get(-1 if shard.group is None else shard.group)
        if group is not None:
            waited.append(f"peer {group.plan.address}")
        states = [shard.last] if shard.last else []
        if waited:
            states.append(f"awaited of {', '.join(waited)}")
        return ", ".join(states) or "no target"

    def take_new_parts(self) -> tuple[dict[str, bytes], list[list[bytes]]]:
        """Return signatures and records of the parts that were not taken before."""
        new = {name: part for name, part in self._part_by_shard.items() if name not in self._taken}
        self._taken |= new.keys()
        signature_by_shard = {name: part.signature for name, part in new.items()}
        return signature_by_shard, [part.records for part in new.values()]

    @property
    def peer_attempts(self) -> int:
        """Return how many targets a peer may run a shard on; what is left is this box's own."""
        return max(1, self.plan.max_attempts - 1)

    def _give_away(self, name: str, number: int, group: GroupPlan) -> None:
        """Leave a shard to a peer, with all attempts but one, and the targets beside it."""
        shard = self._shard_by_name[name]
        shard.group = number
        shard.counted = True
        shard.arrivals = 1
        shard.runs = self.peer_attempts
        beside = {t.instance for t in self._board.targets(name) if t.place == group.place}
        shard.tried = beside

    def _has(self, name: str) -> bool:
        return name in self._part_by_shard or name in self._merged_signature_by_shard

    def _take_merged(
        self, asked: tuple[str, ...], signature_by_shard: dict[str, bytes], records: list[bytes]
    ) -> None:
        """Take merged parts instead of those of the same shards that came directly."""
        known = signature_by_shard.keys() & set(asked)
        if known != signature_by_shard.keys() or known & self._merged_signature_by_shard.keys():
            # Merged records cannot be taken apart; with a foreign shard among them none count.
            return
        self._ran = True
        self._merged_signature_by_shard |= signature_by_shard
        self._merged_records.append(records)
        for name in known:
            self._part_by_shard.pop(name, None)
            self._withdraw(self._shard_by_name[name])

    def _doubt(self, number: int, group: _Group, now: float) -> None:
        """Go around a peer that did not accept, or did not report in time."""
        group.check_at = NEVER
        self._commands.append(PeerSilent(group.plan.address, group.accepted))
        if not group.accepted:
            self._commands.append(CancelGroup(number, group.plan.address))
            self._release(number, "peer silent", now)
            return
        # Its parts still count when they come.
        self._ask_rest(group, "peer late", now)

    def _ask_rest(self, group: _Group, reason: str, now: float) -> None:
        """Ask other targets for what a peer has not brought yet."""
        for name in group.plan.shards:
            if not self._has(name):
                self._ask(name, reason, now)

    def _release(self, number: int, reason: str, now: float) -> None:
        """Await nothing more of a peer; ask directly for what it did not bring."""
        group = self._group_by_number.pop(number)
        for name in group.plan.shards:
            shard = self._shard_by_name[name]
            shard.group = None
            if not self._has(name) and not shard.target_by_token:
                self._ask_or_exhaust(name, reason, now)

    def _note_failure(self, shard: _Shard, target: Target, outcome: Outcome) -> None:
        if outcome in NOTHING_RAN:
            shard.runs -= 1
            if outcome is not Outcome.ELSEWHERE:
                shard.not_run_at.add(target.instance)
            if outcome is Outcome.NOT_SENT:
                shard.arrivals -= 1
            return
        self._ran = True

    def _ask_or_exhaust(self, name: str, reason: str, now: float) -> None:
        shard = self._shard_by_name[name]
        if not self._ask(name, reason, now) and not shard.waits:
            shard.exhausted = True

    def _ask(self, name: str, reason: str, now: float) -> bool:
        """Send a shard to one more target; return False when there is none or it may not."""
        shard = self._shard_by_name[name]
        if shard.runs >= self.plan.max_attempts or shard.sends >= MAX_SENDS:
            return False
        if now >= self.plan.end_at:
            return False
        choices = self._choices(name, shard, now)
        if not choices or not self._pay(name, shard, now):
            return False
        best = choices[0]
        token = self._next_token
        self._next_token += 1
        shard.target_by_token[token] = best.target
        shard.tried.add(best.target.instance)
        shard.sends += 1
        shard.runs += 1
        shard.arrivals += 1
        self._shard_name_by_token[token] = name
        if len(shard.target_by_token) == 1:
            shard.hedge_at = self._hedge_time(best, choices[1:], now)
        self._commands.append(SendPart(token, name, best.target, reason))
        return True

    def _choices(self, name: str, shard: _Shard, now: float) -> list[Choice]:
        """Return targets to ask: those that were not tried, then those that did not run it."""
        fresh = self._board.rank(name, self.plan.route, now, frozenset(shard.tried))
        if fresh or shard.target_by_token or not shard.tried:
            return fresh
        ran = frozenset(shard.tried - shard.not_run_at)
        return self._board.rank(name, self.plan.route, now, ran)

    def _pay(self, name: str, shard: _Shard, now: float) -> bool:
        if not shard.counted and not self.plan.repeat:
            shard.counted = True
            self._budget.first(name, now)
            return True
        # What could not be sent did not arrive, so that another target is not a repeat yet.
        return shard.arrivals == 0 or self._budget.take(name, now)

    def _hedge_time(self, first: Choice, others: list[Choice], now: float) -> float:
        """Return when a second target is asked: late enough to be rare, early enough to help."""
        if not others or self.plan.max_attempts < 2:
            return NEVER
        earliest = now + HEDGE_EARLIEST_PACES * first.usual_s
        latest = self.plan.answer_at - HEDGE_RESERVE_PACES * others[0].expected_s
        return max(earliest, latest)

    def _in(self) -> int:
        return len(self._part_by_shard) + len(self._merged_signature_by_shard)

    def _enough(self) -> bool:
        found = self._in()
        return found > 0 and found / len(self.plan.shards) >= self.plan.least_coverage

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
        waits = any(
            shard.waits for name, shard in self._shard_by_name.items() if not self._has(name)
        )
        if self._in() == len(self.plan.shards):
            self._answer("whole")
        elif self.plan.partial:
            if now >= self.plan.answer_at or not waits:
                self._answer("aim" if waits else "nothing more can come")
        elif self._hopeless():
            self._fail("too few shards can answer", False)
        elif self._enough() and (now >= self.plan.answer_at or not waits):
            self._answer("aim" if waits else "nothing more can come")
        elif now >= self.plan.end_at:
            self._fail("time is up", True)

    def _answer(self, reason: str) -> None:
        lacking = self.lacking(LOGGED_SHARDS)
        gathered = self.parts()._replace(reason=reason, lacking=lacking)
        self._end()
        self._commands.append(gathered)

    def _fail(self, reason: str, late: bool) -> None:
        waits = any(shard.waits for shard in self._shard_by_name.values())
        lacking = self.lacking(LOGGED_SHARDS)
        self._end()
        self._commands.append(GatherFailed(self._ran or waits, late, reason, lacking))

    def _end(self) -> None:
        self.ended = True
        for shard in self._shard_by_name.values():
            self._withdraw(shard)
        for number, group in self._group_by_number.items():
            if any(not self._has(name) for name in group.plan.shards):
                self._commands.append(CancelGroup(number, group.plan.address))
        self._group_by_number.clear()

    def _withdraw(self, shard: _Shard) -> None:
        for token, target in shard.target_by_token.items():
            self._shard_name_by_token.pop(token, None)
            self._commands.append(CancelPart(token, target))
        shard.target_by_token.clear()
