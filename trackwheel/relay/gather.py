"""The decisions about one query over many shards, without I/O.

Shards with a target near this box are asked directly, each of its best target. The others are
handed in groups to peers beside their targets, which answer with merged records. Shards that are
late are asked for elsewhere while that can still answer before the aim: through a peer beside
other targets, which has connections to them, or else directly. A shard whose target failed is
asked again at once; the shards of a peer that shows no life are asked around it. A shard that all
its targets have refused, or for which no repeat is allowed now, is held back and tried again soon;
part of the allowance is kept for shards without which the answer fails.

The query ends when every shard is in, at its aim with enough of them, or as soon as enough are
in after that. It is given up at once when enough can no longer come.
"""

from collections.abc import Sequence
from typing import Final

from trackwheel.relay.budget import RetryBudget
from trackwheel.relay.closings import Closings
from trackwheel.relay.const import DECLINE_RESPONSE_TIMES, MAX_LOGGED_SHARDS
from trackwheel.relay.gather_models import (
    CancelGroup,
    Declined,
    GatherCommand,
    GatherFailed,
    GatherPlan,
    PeerSilent,
    Regrouping,
)
from trackwheel.relay.group_delegator import GroupDelegator
from trackwheel.relay.handed import HandedGroups
from trackwheel.relay.models import Outcome, Part, Passage, TargetEnd
from trackwheel.relay.parts import PartsIn
from trackwheel.relay.shard_requester import DECLINED, ShardRequester
from trackwheel.relay.shards import ShardBook
from trackwheel.relay.target_selector import TargetSelector

ENDS_TARGETS: Final = "targets end under it"
"""Why a query is given up that is held."""


class Gather:
    """Decide, from events and the time, what one query sends and when it ends."""

    def __init__(
        self,
        plan: GatherPlan,
        selector: TargetSelector,
        budget: RetryBudget,
        regrouping: Regrouping | None = None,
    ) -> None:
        self.plan = plan
        self._selector = selector
        self._shards = ShardBook(plan)
        self._groups = HandedGroups()
        self.parts = PartsIn(plan.shards, plan.top_k)
        self._delegator = GroupDelegator(
            plan, selector, self._shards, self._groups, self.parts, regrouping
        )
        self._requester = ShardRequester(plan, selector, budget, self._shards, self._groups)
        self._peers_ran = False
        self._closings = Closings()
        self._commands: list[GatherCommand] = []
        self.ended = False

    def start(self, now: float) -> list[GatherCommand]:
        """Hand the groups to their peers and ask the best target of each other shard."""
        for group in self.plan.groups:
            self._commands.append(self._delegator.delegate(group))
        own = self._shards.without_group()
        reason = "repeat" if self.plan.repeat else "first"
        left_to_others = self._leave_to_others(own, now)
        for name in own:
            if name not in left_to_others:
                self._ask(name, reason, now)
        if self.plan.repeat:
            self._return_unasked(own)
        return self._finish_or_go_on(now)

    def _return_unasked(self, names: Sequence[str]) -> None:
        """Give back the shards for which no target may be asked here: they are not tried yet."""
        unasked = tuple(name for name in names if not self._shards[name].waits)
        if unasked:
            self._commands.append(Declined(unasked))

    def _leave_to_others(self, names: Sequence[str], now: float) -> set[str]:
        """Leave shards to other boxes whose best target is not beside this one; return which."""
        if self.plan.repeat:
            return set()
        better = [name for name in names if self._is_better_elsewhere(name, now)]
        if not self.plan.partial:
            return self._hand_past_own(better, now)
        self._shards.lose(better)
        if better:
            self._commands.append(Declined(tuple(better)))
        return set(better)

    def _hand_past_own(self, names: Sequence[str], now: float) -> set[str]:
        """Hand shards to peers beside targets of other failure domains; return which were."""
        for name in names:
            beside = {
                t.instance for t in self._selector.targets(name) if self._selector.is_local(t)
            }
            self._shards[name].attempts.pass_over(beside)
        handed = self._hand_elsewhere(names, False, now)
        for name in names:
            if name not in handed:
                self._shards[name].attempts.forget_tried()
        return handed

    def _is_better_elsewhere(self, name: str, now: float) -> bool:
        """Return whether the targets beside this box are worse than others, and worse than usual.

        Where all are slow, as under too much load, shards stay: others would send theirs here.
        """
        for choice in self._selector.rank(name, self.plan.route, now, own_domain_only=True):
            if not choice.last_resort and choice.cost_s < DECLINE_RESPONSE_TIMES * choice.usual_s:
                return False
        choices = self._selector.rank(name, self.plan.route, now)
        return bool(choices) and not self._selector.is_local(choices[0].target)

    def part_ended(
        self, token: int, end: TargetEnd, part: Part | None, now: float
    ) -> list[GatherCommand]:
        """Take the end of one request; `part` is there when it brought the shard's records."""
        name = self._requester.pop_ended(token)
        if self.ended or name is None:
            return []
        shard = self._shards[name]
        if part is not None:
            shard.attempts.succeed(token)
            self.parts.take(name, part)
            self._came_in(name)
            return self._finish_or_go_on(now)
        where = shard.attempts.target_by_token[token].instance
        shard.last_failure = f"{end.outcome.value} at {where}"
        shard.attempts.fail(token, end.outcome, now)
        if end.outcome is Outcome.CLOSED:
            self._closings.own += 1
        if self._is_doubtful():
            self._requester.hold_back(name, now)
        else:
            self._ask(name, end.outcome.value, now)
        return self._finish_or_go_on(now)

    def group_accepted(self, number: int) -> None:
        """Take that a peer works on its shards."""
        group = self._groups.get(number)
        if group is not None:
            group.accept()

    def group_parts(
        self,
        number: int,
        signature_by_shard: dict[str, bytes],
        records: list[bytes],
        final: bool,
        ran: bool,
        now: float,
        closed: int = 0,
    ) -> list[GatherCommand]:
        """Take parts that a peer merged; after the final ones it sends no more.

        `ran` says whether targets may have run any of its shards, `closed` how many targets ended
        the connection under one so far.
        """
        group = self._groups.get(number)
        if self.ended or group is None:
            return []
        group.report()
        self._closings.by_group[number] = closed
        self._peers_ran |= ran
        for name in self.parts.take_merged(group.plan.shards, signature_by_shard, records):
            self._came_in(name)
        if final:
            self._release(number, "lacking", now)
        elif not group.plan.repeat:
            self._ask_elsewhere(self._delegator.pending_shards(number), "hedge", now)
        return self._finish_or_go_on(now)

    def group_declined(self, number: int, shards: Sequence[str], now: float) -> list[GatherCommand]:
        """Take that a peer has asked no target for shards and leaves them to others."""
        if self.ended or number not in self._groups:
            return []
        repeat = self._groups[number].plan.repeat
        declined = [name for name in self._delegator.pending_shards(number) if name in shards]
        for name in declined:
            self._shards[name].groups.discard(number)
            if repeat:
                self._shards[name].attempts.return_loan()
            else:
                self._shards[name].attempts.take_back()
        handed = self._hand_elsewhere(declined, repeat, now)
        for name in declined:
            if name not in handed:
                self._ask_after_all_declined(name, repeat, now)
        return self._finish_or_go_on(now)

    def _ask_after_all_declined(self, name: str, repeat: bool, now: float) -> None:
        """Ask any target for a shard that nobody else asks for, or ask the peers again later."""
        shard = self._shards[name]
        if not repeat:
            shard.attempts.forget_tried()
        elif not shard.groups:
            shard.attempts.forget_lent()
        self._ask(name, DECLINED, now)

    def group_lost(self, number: int, now: float) -> list[GatherCommand]:
        """Take that the link to a peer broke, or that it cannot gather."""
        if self.ended or number not in self._groups:
            return []
        self._lose(number, "peer lost", now)
        return self._finish_or_go_on(now)

    def tick(self, now: float) -> list[GatherCommand]:
        """Do what is due: second targets, a look at peers, the end of the query."""
        if self.ended:
            return []
        for number in self._groups.take_silent(now):
            self._doubt(number, now)
        self._ask_elsewhere(self._shards.take_late(now), "hedge", now)
        self._retry(now)
        return self._finish_or_go_on(now)

    def cancel(self) -> list[GatherCommand]:
        """Take everything back since nobody waits for the answer any more."""
        if not self.ended:
            self._end()
        commands, self._commands = self._commands, []
        return commands

    def next_wake(self) -> float:
        """Return when `tick` is next needed (monotonic seconds)."""
        times = [self.plan.end_at, self._groups.next_check()]
        times += [self._shards.next_hedge(), self._shards.next_retry()]
        if self._enough() and not self.plan.partial:
            times.append(self.plan.answer_at)
        return min(times)

    @property
    def may_have_run(self) -> bool:
        """Return whether a target may have run any shard, here or at a peer."""
        return self._peers_ran or any(
            shard.waits or shard.attempts.ran for shard in self._shards.all
        )

    def _doubt(self, number: int, now: float) -> None:
        """Go around a peer that did not accept, or did not report in time."""
        group = self._groups[number]
        self._commands.append(PeerSilent(group.plan.address, group.accepted))
        if not group.accepted:
            self._commands.append(CancelGroup(number, group.plan.address))
            self._lose(number, "peer silent", now)
            return
        # Its parts still count when they come.
        self._ask_elsewhere(self._delegator.pending_shards(number), "peer late", now)

    def _lose(self, number: int, reason: str, now: float) -> None:
        """Await nothing more of a peer that told nothing; its targets may be asked again."""
        # It may have asked them all the same.
        self._peers_ran = True
        for name in self._delegator.pending_shards(number):
            self._shards[name].attempts.forget_tried()
        self._release(number, reason, now)

    def _release(self, number: int, reason: str, now: float) -> None:
        """Await nothing more of a peer; ask elsewhere for what it did not bring."""
        shards = self._delegator.pending_shards(number)
        self._groups.pop(number)
        for name in shards:
            self._shards[name].groups.discard(number)
        self._ask_elsewhere([name for name in shards if not self._shards[name].waits], reason, now)

    def _ask_elsewhere(self, names: Sequence[str], reason: str, now: float) -> None:
        """Ask once more for shards that are not in: through peers beside other targets, or not."""
        lacking = [name for name in names if name not in self.parts]
        if self._is_doubtful():
            for name in lacking:
                self._requester.hold_back(name, now)
            return
        handed = self._hand_elsewhere(lacking, True, now)
        for name in lacking:
            if name not in handed:
                self._ask(name, reason, now)

    def _hand_elsewhere(self, names: Sequence[str], repeat: bool, now: float) -> set[str]:
        """Hand shards to peers beside targets that were not tried; return which were handed."""
        sent = self._delegator.delegate_elsewhere(names, repeat, now)
        self._commands += sent
        return {name for command in sent for name in command.group.shards}

    def _is_doubtful(self) -> bool:
        """Return whether this query may be what ends targets, and more will be known soon.

        Targets have ended the connection under it, none has answered yet, and answers are still
        awaited. Asking the second target of each shard meanwhile would lose those too: 40 targets
        and not 20 in an incident. Where others fail it costs half of the usual time of an answer.
        """
        return self._closings.any and not len(self.parts) and self._shards.awaits_answers

    @property
    def closed(self) -> int:
        """Return how many targets ended the connection under the query, here or at peers."""
        return self._closings.total

    def _retry(self, now: float) -> None:
        """Ask for the shards that were held back, if they may be asked for now."""
        due = self._shards.due_retries(now)
        if self.plan.partial and not self._is_doubtful():
            for name in due:
                self._ask(name, "held_back", now)
            return
        self._ask_elsewhere(due, "held_back", now)

    def _ask(self, name: str, reason: str, now: float) -> None:
        """Ask a target for a shard, now or soon, or take it as lost."""
        sent = self._requester.ask_or_hold_back(name, reason, now)
        if sent is not None:
            self._commands.append(sent)

    def _enough(self) -> bool:
        found = len(self.parts)
        return found > 0 and len(self.plan.shards) - found <= self._shards.spare

    def _hopeless(self) -> bool:
        """Return whether too many shards can no longer come."""
        lost = self._shards.lost
        return lost > self._shards.spare or lost == len(self.plan.shards)

    def _finish_or_go_on(self, now: float) -> list[GatherCommand]:
        if not self.ended:
            self._finish(now)
        commands, self._commands = self._commands, []
        return commands

    def _finish(self, now: float) -> None:
        shut = self.plan.gate.passage(now) is Passage.SHUT
        waits = self._shards.waits and not shut
        if len(self.parts) == len(self.plan.shards):
            self._answer("whole")
        elif self.plan.partial:
            if now >= self.plan.end_at or not waits:
                self._answer("time is up" if waits else "nothing more can come")
        elif shut:
            self._fail(ENDS_TARGETS, False)
        elif self._hopeless():
            self._fail("too few shards can answer", False)
        elif self._enough() and (now >= self.plan.answer_at or not waits):
            self._answer("aim" if waits else "nothing more can come")
        elif now >= self.plan.end_at:
            self._fail("time is up", True)

    def _answer(self, reason: str) -> None:
        lacking = self._lacking()
        gathered = self.parts.gathered()._replace(reason=reason, lacking=lacking)
        self._end()
        self._commands.append(gathered)

    def _fail(self, reason: str, late: bool) -> None:
        ran = self.may_have_run
        lacking = self._lacking()
        self._end()
        self._commands.append(GatherFailed(ran, late, reason, lacking))

    def _lacking(self) -> str:
        """Return which shards are not in and why, for the log."""
        return self._shards.lacking(MAX_LOGGED_SHARDS, self._groups.address)

    def _end(self) -> None:
        self.ended = True
        for shard in self._shards.all:
            self._commands += self._requester.withdraw(shard)
        for number, group in self._groups.take_all().items():
            if any(name not in self.parts for name in group.plan.shards):
                self._commands.append(CancelGroup(number, group.plan.address))

    def _came_in(self, name: str) -> None:
        """Await nothing more for a shard."""
        self._commands += self._requester.withdraw(self._shards[name])
        self._shards.came_in(name)
