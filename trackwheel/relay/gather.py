"""The decisions about one query over many shards, without I/O.

Shards with a target near this box are asked directly, each of its best target. The others are
handed in groups to peers beside their targets, which answer with merged records. Shards that are
late are asked for elsewhere while that can still answer before the aim: through a peer beside
other targets, which has connections to them, or else directly. A shard whose target failed is
asked again at once; the shards of a peer that shows no life are asked around it.

The query ends when every shard is in, at its aim with enough of them, or as soon as enough are
in after that. It is given up at once when enough can no longer come.
"""

from collections.abc import Sequence
from typing import Protocol

from trackwheel.relay.attempts import NEVER, Attempts, hedge_time
from trackwheel.relay.board import Board, RouteKey
from trackwheel.relay.budget import RepeatBudget
from trackwheel.relay.const import LOGGED_SHARDS, REPORT_SLACK_S
from trackwheel.relay.gather_models import (
    CancelGroup,
    CancelPart,
    GatherCommand,
    Gathered,
    GatherFailed,
    GatherPlan,
    GroupPlan,
    PeerSilent,
    SendGroup,
    SendPart,
)
from trackwheel.relay.models import Part, TargetEnd


class Regrouping(Protocol):
    """Find peers beside other targets for shards that are late or failed."""

    def groups_elsewhere(
        self, tried_by_shard: dict[str, frozenset[str]], route: RouteKey, now: float
    ) -> tuple[GroupPlan, ...]:
        """Return groups beside targets that were not tried; no shard is in two of them."""


class _Shard:
    """Follow one shard."""

    def __init__(self, name: str, plan: GatherPlan) -> None:
        self.attempts = Attempts(name, plan.max_attempts, plan.repeat)
        self.groups: set[int] = set()
        self.hedge_at = NEVER
        self.exhausted = False
        self.last_failure = ""

    @property
    def waits(self) -> bool:
        """Return whether an answer may still come."""
        return bool(self.attempts.target_by_token or self.groups)


class _Group:
    """Follow the shards that a peer gathers."""

    def __init__(self, plan: GroupPlan) -> None:
        self.plan = plan
        self.check_at = plan.accept_by
        self.accepted = False


class Gather:
    """Decide, from events and the time, what one query sends and when it ends."""

    def __init__(
        self,
        plan: GatherPlan,
        board: Board,
        budget: RepeatBudget,
        regrouping: Regrouping | None = None,
    ) -> None:
        self.plan = plan
        self._board = board
        self._budget = budget
        self._regrouping = regrouping
        self._shard_by_name = {name: _Shard(name, plan) for name in plan.shards}
        self._group_by_number: dict[int, _Group] = {}
        self._next_group = 0
        self._part_by_shard: dict[str, Part] = {}
        self._merged_signature_by_shard: dict[str, bytes] = {}
        self._merged_records: list[list[bytes]] = []
        self._shard_name_by_token: dict[int, str] = {}
        self._taken: set[str] = set()
        self._next_token = 0
        self._peers_ran = False
        self._commands: list[GatherCommand] = []
        self.ended = False

    def start(self, now: float) -> list[GatherCommand]:
        """Hand the groups to their peers and ask the best target of each other shard."""
        for group in self.plan.groups:
            self._hand_over(group)
        reason = "repeat" if self.plan.repeat else "first"
        for name, shard in self._shard_by_name.items():
            if not shard.groups:
                self._ask_or_exhaust(name, reason, now)
        return self._finish_or_go_on(now)

    def part_ended(
        self, token: int, end: TargetEnd, part: Part | None, now: float
    ) -> list[GatherCommand]:
        """Take the end of one request; `part` is there when it brought the shard's records."""
        name = self._shard_name_by_token.pop(token, None)
        if self.ended or name is None:
            return []
        shard = self._shard_by_name[name]
        if part is not None:
            shard.attempts.succeed(token)
            self._part_by_shard[name] = part
            self._withdraw(shard)
            return self._finish_or_go_on(now)
        where = shard.attempts.target_by_token[token].instance
        shard.last_failure = f"{end.outcome.value} at {where}"
        shard.attempts.fail(token, end.outcome)
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
        ran: bool,
        now: float,
    ) -> list[GatherCommand]:
        """Take parts that a peer merged; after the final ones it sends no more.

        `ran` says whether targets may have run any of its shards.
        """
        group = self._group_by_number.get(number)
        if self.ended or group is None:
            return []
        group.accepted = True
        group.check_at = NEVER
        self._peers_ran |= ran
        self._take_merged(group.plan.shards, signature_by_shard, records)
        if final:
            self._release(number, "lacking", now)
        elif not group.plan.repeat:
            self._ask_elsewhere(group.plan.shards, "hedge", now)
        return self._finish_or_go_on(now)

    def group_lost(self, number: int, now: float) -> list[GatherCommand]:
        """Take that the link to a peer broke, or that it cannot gather."""
        if self.ended or number not in self._group_by_number:
            return []
        self._lose(number, "peer lost", now)
        return self._finish_or_go_on(now)

    def tick(self, now: float) -> list[GatherCommand]:
        """Do what is due: second targets, a look at peers, the end of the query."""
        if self.ended:
            return []
        for number, group in list(self._group_by_number.items()):
            if group.check_at <= now:
                self._doubt(number, group, now)
        due = [name for name, shard in self._shard_by_name.items() if shard.hedge_at <= now]
        for name in due:
            self._shard_by_name[name].hedge_at = NEVER
        self._ask_elsewhere(due, "hedge", now)
        return self._finish_or_go_on(now)

    def cancel(self) -> list[GatherCommand]:
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
        if self._enough() and not self.plan.partial:
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
        waited = [target.instance for target in shard.attempts.target_by_token.values()]
        waited += [f"peer {self._group_by_number[n].plan.address}" for n in sorted(shard.groups)]
        states = [shard.last_failure] if shard.last_failure else []
        if waited:
            states.append(f"awaited of {', '.join(waited)}")
        return ", ".join(states) or "no target, or no repeat, is left"

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

    @property
    def may_have_run(self) -> bool:
        """Return whether a target may have run any shard, here or at a peer."""
        shards = self._shard_by_name.values()
        return self._peers_ran or any(shard.waits or shard.attempts.ran for shard in shards)

    def _hand_over(self, group: GroupPlan) -> None:
        """Leave a group to a peer: a first one with all attempts but one, a repeat with one."""
        number = self._next_group
        self._next_group += 1
        self._group_by_number[number] = _Group(group)
        self._commands.append(SendGroup(number, group))
        for name in group.shards:
            shard = self._shard_by_name[name]
            shard.groups.add(number)
            beside = {t.instance for t in self._board.targets(name) if t.place == group.place}
            if group.repeat:
                shard.attempts.lend(beside)
            else:
                shard.attempts.give_away(self.peer_attempts, beside)

    def _has(self, name: str) -> bool:
        return name in self._part_by_shard or name in self._merged_signature_by_shard

    def _take_merged(
        self, asked: tuple[str, ...], signature_by_shard: dict[str, bytes], records: list[bytes]
    ) -> None:
        """Take merged parts instead of those of the same shards that came by themselves."""
        known = signature_by_shard.keys() & set(asked)
        if known != signature_by_shard.keys() or known & self._merged_signature_by_shard.keys():
            # Merged records cannot be taken apart; with a foreign shard among them none count.
            return
        if len(known) == 1:
            self._take_part(signature_by_shard, records)
        elif known:
            self._merged_signature_by_shard |= signature_by_shard
            self._merged_records.append(records)
        for name in known:
            if name in self._merged_signature_by_shard:
                self._part_by_shard.pop(name, None)
            self._withdraw(self._shard_by_name[name])

    def _take_part(self, signature_by_shard: dict[str, bytes], records: list[bytes]) -> None:
        """Take a peer's part of one shard, which can give way to merged ones later."""
        for name, signature in signature_by_shard.items():
            self._part_by_shard.setdefault(name, Part(signature, records))

    def _doubt(self, number: int, group: _Group, now: float) -> None:
        """Go around a peer that did not accept, or did not report in time."""
        group.check_at = NEVER
        self._commands.append(PeerSilent(group.plan.address, group.accepted))
        if not group.accepted:
            self._commands.append(CancelGroup(number, group.plan.address))
            self._lose(number, "peer silent", now)
            return
        # Its parts still count when they come.
        self._ask_elsewhere(group.plan.shards, "peer late", now)

    def _lose(self, number: int, reason: str, now: float) -> None:
        """Await nothing more of a peer that told nothing; its targets may be asked again."""
        # It may have asked them all the same.
        self._peers_ran = True
        for name in self._group_by_number[number].plan.shards:
            self._shard_by_name[name].attempts.peer_lost()
        self._release(number, reason, now)

    def _release(self, number: int, reason: str, now: float) -> None:
        """Await nothing more of a peer; ask elsewhere for what it did not bring."""
        shards = self._group_by_number.pop(number).plan.shards
        for name in shards:
            self._shard_by_name[name].groups.discard(number)
        self._ask_elsewhere(
            [name for name in shards if not self._shard_by_name[name].waits], reason, now
        )

    def _ask_elsewhere(self, names: Sequence[str], reason: str, now: float) -> None:
        """Ask once more for shards that are not in: through peers beside other targets, or not."""
        lacking = [name for name in names if not self._has(name)]
        handed = self._hand_elsewhere(lacking, now)
        for name in lacking:
            if name not in handed:
                self._ask_or_exhaust(name, reason, now)

    def _hand_elsewhere(self, names: Sequence[str], now: float) -> set[str]:
        """Hand shards to peers beside targets that were not tried; return which were handed."""
        tried_by_shard = {
            name: self._shard_by_name[name].attempts.tried
            for name in names
            if self._shard_by_name[name].attempts.may_run
        }
        if self._regrouping is None or not tried_by_shard or now >= self.plan.end_at:
            return set()
        groups = self._regrouping.groups_elsewhere(tried_by_shard, self.plan.route, now)
        for group in groups:
            self._hand_over(group)
        return {name for group in groups for name in group.shards}

    def _ask_or_exhaust(self, name: str, reason: str, now: float) -> None:
        shard = self._shard_by_name[name]
        if not self._ask(name, reason, now) and not shard.waits:
            shard.exhausted = True

    def _ask(self, name: str, reason: str, now: float) -> bool:
        """Send a shard to one more target; return False when there is none or it may not."""
        shard = self._shard_by_name[name]
        if now >= self.plan.end_at:
            return False
        choices = shard.attempts.choose(self._board, self._budget, self.plan.route, now)
        if not choices:
            return False
        token = self._next_token
        self._next_token += 1
        target = choices[0].target
        shard.attempts.begin(token, target)
        self._shard_name_by_token[token] = name
        if len(shard.attempts.target_by_token) == 1:
            shard.hedge_at = hedge_time(choices, self.plan.answer_at, now)
        self._commands.append(SendPart(token, name, target, reason))
        return True

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
            if now >= self.plan.end_at or not waits:
                self._answer("time is up" if waits else "nothing more can come")
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
        ran = self.may_have_run
        lacking = self.lacking(LOGGED_SHARDS)
        self._end()
        self._commands.append(GatherFailed(ran, late, reason, lacking))

    def _end(self) -> None:
        self.ended = True
        for shard in self._shard_by_name.values():
            self._withdraw(shard)
        for number, group in self._group_by_number.items():
            if any(not self._has(name) for name in group.plan.shards):
                self._commands.append(CancelGroup(number, group.plan.address))
        self._group_by_number.clear()

    def _withdraw(self, shard: _Shard) -> None:
        for token, target in shard.attempts.target_by_token.items():
            self._shard_name_by_token.pop(token, None)
            self._commands.append(CancelPart(token, target))
        shard.attempts.target_by_token.clear()
