"""Decision logic of one scatter-gather query over many shards, without I/O.

Shards with a target in this box's failure domain are requested directly, each from its best target.
The others are delegated in groups to peers in the failure domains of their targets, which answer
with merged records. Late shards are requested a second time while the answer can still meet the
target latency: through a peer in the failure domain of other targets, which has connections to
them, or else directly. A shard whose target failed is retried at once; the shards of a silent peer
are requested without it. A shard that all its targets have refused, or for which the retry budget
is exhausted, is held back and retried soon; part of the budget is reserved for shards without which
the answer fails.

The query ends when every shard was received, at the target latency if coverage is sufficient, or
as soon after that as coverage is sufficient. It fails at once when sufficient coverage can no
longer be reached.
"""

from collections.abc import Sequence
from typing import Final

from trackwheel.gathering.closings import ClosedConnections
from trackwheel.gathering.const import DECLINE_RESPONSE_TIMES, MAX_LOGGED_SHARDS
from trackwheel.gathering.delegated import DelegatedGroups
from trackwheel.gathering.gather_models import (
    CancelGroup,
    Declined,
    GatherCommand,
    GatherFailed,
    GatherPlan,
    PeerSilent,
    Regrouper,
)
from trackwheel.gathering.group_delegator import GroupDelegator
from trackwheel.gathering.parts import ReceivedParts
from trackwheel.gathering.shard_requester import DECLINED, ShardRequester
from trackwheel.gathering.shards import ShardTracker
from trackwheel.relay.causes import Cause
from trackwheel.relay.models import Outcome, Part, SendPermission, TargetResult
from trackwheel.selection.budget import RetryBudget
from trackwheel.selection.target_selector import TargetSelector
from trackwheel.stop_deadline import STOPPING

CRASHES_TARGETS: Final = "targets end under it"
"""Failure reason of a quarantined query."""


class Gather:
    """State machine of one query: takes events and the time, returns commands."""

    def __init__(
        self,
        plan: GatherPlan,
        selector: TargetSelector,
        budget: RetryBudget,
        regrouper: Regrouper | None = None,
    ) -> None:
        self.plan = plan
        self._selector = selector
        self._shards = ShardTracker(plan)
        self._groups = DelegatedGroups()
        self.parts = ReceivedParts(plan.shards, plan.top_k)
        self._delegator = GroupDelegator(
            plan, selector, self._shards, self._groups, self.parts, regrouper
        )
        self._requester = ShardRequester(plan, selector, budget, self._shards, self._groups)
        self._peers_ran = False
        self._ran_before_end = False
        self._cause_at_aim: Cause | None = None
        """The cause of the shards that were missing at the target latency."""
        self._closed_connections = ClosedConnections()
        self._commands: list[GatherCommand] = []
        self.ended = False

    def start(self, now: float) -> list[GatherCommand]:
        """Delegate the groups to their peers and request each other shard from its best target."""
        for group in self.plan.groups:
            self._commands.append(self._delegator.delegate(group))
        ungrouped = self._shards.ungrouped()
        reason = "repeat" if self.plan.repeat else "first"
        delegated = self._delegate_or_decline(ungrouped, now)
        for name in ungrouped:
            if name not in delegated:
                self._ask(name, reason, now)
        if self.plan.repeat:
            self._decline_unasked(ungrouped)
        return self._finish_if_done(now)

    def _decline_unasked(self, names: Sequence[str]) -> None:
        """Decline the shards for which this box may ask no target: they count as not tried."""
        unasked = tuple(name for name in names if not self._shards[name].is_pending)
        if unasked:
            self._commands.append(Declined(unasked))

    def _delegate_or_decline(self, names: Sequence[str], now: float) -> set[str]:
        """Delegate or decline shards whose best target is in another domain; return their names."""
        if self.plan.repeat:
            return set()
        better = [name for name in names if self._is_better_elsewhere(name, now)]
        if not self.plan.partial:
            return self._delegate_outside_domain(better, now)
        self._shards.give_up(better)
        if better:
            self._commands.append(Declined(tuple(better)))
        return set(better)

    def _delegate_outside_domain(self, names: Sequence[str], now: float) -> set[str]:
        """Delegate shards to peers in other failure domains; return those that were delegated."""
        for name in names:
            local = {t.instance for t in self._selector.targets(name) if self._selector.is_local(t)}
            self._shards[name].attempts.exclude(local)
        delegated = self._delegate_elsewhere(names, False, now)
        for name in names:
            if name not in delegated:
                self._shards[name].attempts.clear_tried()
        return delegated

    def _is_better_elsewhere(self, name: str, now: float) -> bool:
        """Return whether this domain's targets are slower than others and than usual.

        Where all targets are slow, as under overload, shards stay here: otherwise boxes would pass
        them to each other.
        """
        for choice in self._selector.rank(name, self.plan.route, now, own_domain_only=True):
            if not choice.last_resort and choice.cost_s < DECLINE_RESPONSE_TIMES * choice.usual_s:
                return False
        choices = self._selector.rank(name, self.plan.route, now)
        return bool(choices) and not self._selector.is_local(choices[0].target)

    def part_ended(
        self, token: int, result: TargetResult, part: Part | None, now: float
    ) -> list[GatherCommand]:
        """Handle the end of one request; `part` holds the shard's records if it succeeded."""
        name = self._requester.pop_ended(token)
        if self.ended or name is None:
            return []
        self._note_cause_at_aim(now)
        shard = self._shards[name]
        if part is not None:
            shard.attempts.mark_succeeded(token)
            self.parts.add(name, part)
            self._mark_received(name)
            return self._finish_if_done(now)
        instance = shard.attempts.target_by_token[token].instance
        shard.last_failure = f"{result.outcome.value} at {instance}"
        shard.attempts.mark_failed(token, result.outcome, now)
        if result.outcome is Outcome.CLOSED:
            self._closed_connections.own_count += 1
        if self._suspects_own_query():
            self._requester.hold_back(name, now)
        else:
            self._ask(name, result.outcome.value, now)
        return self._finish_if_done(now)

    def group_accepted(self, number: int) -> None:
        """Handle a peer's acceptance of a group."""
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
        not_run: Sequence[str] = (),
    ) -> list[GatherCommand]:
        """Handle parts that a peer merged; `final` marks its last message for the group.

        `ran` tells whether targets may have run any of the group's shards, `closed` how many
        targets have closed the connection during such a request so far. At the peer, no target may
        have run the shards `not_run` of the last message.
        """
        group = self._groups.get(number)
        if self.ended or group is None:
            return []
        self._note_cause_at_aim(now)
        group.report()
        self._closed_connections.count_by_group[number] = closed
        self._peers_ran |= ran
        for name in self.parts.add_merged(group.plan.shards, signature_by_shard, records):
            self._mark_received(name)
        if final:
            self._delegator.refund(number, not_run)
            self._close_group(number, "lacking", now)
        elif not group.plan.repeat:
            self._ask_elsewhere(self._delegator.pending_shards(number), "hedge", now)
        return self._finish_if_done(now)

    def group_declined(self, number: int, shards: Sequence[str], now: float) -> list[GatherCommand]:
        """Handle a peer's refusal of shards for which it has asked no target."""
        if self.ended or number not in self._groups:
            return []
        repeat = self._groups[number].plan.repeat
        declined = [name for name in self._delegator.pending_shards(number) if name in shards]
        for name in declined:
            self._shards[name].groups.discard(number)
            if repeat:
                self._shards[name].attempts.undo_repeat()
            else:
                self._shards[name].attempts.undo_delegation()
        delegated = self._delegate_elsewhere(declined, repeat, now)
        for name in declined:
            if name not in delegated:
                self._ask_after_decline(name, repeat, now)
        return self._finish_if_done(now)

    def _ask_after_decline(self, name: str, repeat: bool, now: float) -> None:
        """Ask any target for a shard that peers declined, or allow the peers to be asked again."""
        shard = self._shards[name]
        if not repeat:
            shard.attempts.clear_tried()
        elif not shard.groups:
            shard.attempts.release_delegated_targets()
        self._ask(name, DECLINED, now)

    def group_lost(self, number: int, now: float) -> list[GatherCommand]:
        """Handle the loss of the link to a peer, or a peer that cannot gather."""
        if self.ended or number not in self._groups:
            return []
        self._abandon_group(number, "peer lost", now)
        return self._finish_if_done(now)

    def tick(self, now: float) -> list[GatherCommand]:
        """Do what is due: hedged requests, checks of peers, retries, the end of the query."""
        if self.ended:
            return []
        self._note_cause_at_aim(now)
        for number in self._groups.pop_overdue(now):
            self._handle_overdue_peer(number, now)
        self._ask_elsewhere(self._shards.pop_late(now), "hedge", now)
        self._retry(now)
        return self._finish_if_done(now)

    def stop(self, now: float) -> list[GatherCommand]:
        """End with what was received, because this box stops."""
        if not self.ended:
            self._note_cause_at_aim(now)
            if self.plan.partial or self._is_coverage_reached():
                self._answer(STOPPING)
            else:
                self._fail(STOPPING, False, Cause.STOPPING)
        return self._take_commands()

    def cancel(self) -> list[GatherCommand]:
        """Cancel all outstanding requests: the client is gone."""
        if not self.ended:
            self._end()
        return self._take_commands()

    def next_wake(self) -> float:
        """Return when `tick` is due next (monotonic seconds)."""
        times = [self.plan.end_at, self._groups.next_check_at()]
        times += [self._shards.next_hedge(), self._shards.next_retry()]
        if self._is_coverage_reached() and not self.plan.partial:
            times.append(self.plan.answer_at)
        return min(times)

    @property
    def may_have_run(self) -> bool:
        """Return whether a target may have run any shard, asked by this box or a peer."""
        return (
            self._ran_before_end
            or self._peers_ran
            or any(shard.is_pending or shard.attempts.ran for shard in self._shards.all)
        )

    def _handle_overdue_peer(self, number: int, now: float) -> None:
        """Request the shards of a peer elsewhere that did not accept or report in time."""
        group = self._groups[number]
        self._commands.append(PeerSilent(group.plan.address, group.accepted))
        if not group.accepted:
            self._commands.append(CancelGroup(number, group.plan.address))
            self._abandon_group(number, "peer silent", now)
            return
        # The group stays open: its parts still count if they arrive.
        self._ask_elsewhere(self._delegator.pending_shards(number), "peer late", now)

    def _abandon_group(self, number: int, reason: str, now: float) -> None:
        """Close a group whose peer reported nothing; its targets may be asked again."""
        # The peer may have asked targets without reporting it.
        self._peers_ran = True
        for name in self._delegator.pending_shards(number):
            self._shards[name].attempts.clear_tried()
        self._close_group(number, reason, now)

    def _close_group(self, number: int, reason: str, now: float) -> None:
        """Close a group and request the shards elsewhere that its peer did not deliver."""
        shards = self._delegator.pending_shards(number)
        self._groups.pop(number)
        for name in shards:
            self._shards[name].groups.discard(number)
        self._ask_elsewhere(
            [name for name in shards if not self._shards[name].is_pending], reason, now
        )

    def _ask_elsewhere(self, names: Sequence[str], reason: str, now: float) -> None:
        """Request missing shards once more, through peers near other targets or else directly."""
        missing = [name for name in names if name not in self.parts]
        if self._suspects_own_query():
            for name in missing:
                self._requester.hold_back(name, now)
            return
        delegated = self._delegate_elsewhere(missing, True, now)
        for name in missing:
            if name not in delegated:
                self._ask(name, reason, now)

    def _delegate_elsewhere(self, names: Sequence[str], repeat: bool, now: float) -> set[str]:
        """Delegate shards to peers near untried targets; return those that were delegated."""
        sent = self._delegator.delegate_elsewhere(names, repeat, now)
        self._commands += sent
        return {name for command in sent for name in command.group.shards}

    def _suspects_own_query(self) -> bool:
        """Return whether this query may be crashing its targets and pending answers will tell.

        Targets have closed the connection during it, none has answered yet, and answers are still
        outstanding. Asking the second target of each shard now could crash those as well. If the
        targets failed for another reason, the wait costs half of the usual response time.
        """
        return (
            self._closed_connections.has_any and not len(self.parts) and self._shards.awaits_answer
        )

    def _note_cause_at_aim(self, now: float) -> None:
        """Keep what was missing when the target latency passed."""
        if now >= self.plan.answer_at and self._cause_at_aim is None:
            self._cause_at_aim = self._shards.cause_of_missing()

    @property
    def waits_for(self) -> Cause | None:
        """Return why the answer is not complete, None if no shard is missing."""
        return self._shards.cause_of_missing()

    @property
    def closed(self) -> int:
        """Return how many targets closed the connection during the query, here or at peers."""
        return self._closed_connections.total

    def _retry(self, now: float) -> None:
        """Request the shards whose retry is due."""
        due = self._shards.due_retries(now)
        if self.plan.partial and not self._suspects_own_query():
            for name in due:
                self._ask(name, "held_back", now)
            return
        self._ask_elsewhere(due, "held_back", now)

    def _ask(self, name: str, reason: str, now: float) -> None:
        """Request a shard from a target now, or hold it back, or give it up."""
        sent = self._requester.ask_or_hold_back(name, reason, now)
        if sent is not None:
            self._commands.append(sent)

    def _is_coverage_reached(self) -> bool:
        received = len(self.parts)
        return received > 0 and len(self.plan.shards) - received <= self._shards.max_missing

    def _cannot_succeed(self) -> bool:
        """Return whether too many shards were given up for a sufficient answer."""
        given_up = self._shards.given_up_count
        return given_up > self._shards.max_missing or given_up == len(self.plan.shards)

    def _finish_if_done(self, now: float) -> list[GatherCommand]:
        if not self.ended:
            self._check_end(now)
        return self._take_commands()

    def _take_commands(self) -> list[GatherCommand]:
        commands, self._commands = self._commands, []
        return commands

    def _check_end(self, now: float) -> None:
        shut = self.plan.gate.permission(now) is SendPermission.SHUT
        pending = self._shards.can_receive_more and not shut
        if len(self.parts) == len(self.plan.shards):
            self._answer("whole")
        elif self.plan.partial:
            if now >= self.plan.end_at or not pending:
                self._answer("time is up" if pending else "no more shards expected")
        elif shut:
            self._fail(CRASHES_TARGETS, False, Cause.HELD)
        elif self._cannot_succeed():
            cause = self._shards.cause_of_given_up()
            self._fail("too few shards can answer", False, cause)
        elif self._is_coverage_reached() and (now >= self.plan.answer_at or not pending):
            self._answer("aim" if pending else "no more shards expected")
        elif now >= self.plan.end_at:
            self._fail("time is up", True)

    def _answer(self, reason: str) -> None:
        cause = self._shards.cause_of_missing() or self._cause_at_aim
        gathered = self.parts.gathered()._replace(
            reason=reason, lacking=self._lacking(), cause=cause, not_run=self._shards.not_run()
        )
        self._end()
        self._commands.append(gathered)

    def _fail(self, reason: str, late: bool, cause: Cause | None = None) -> None:
        ran = self.may_have_run
        lacking = self._lacking()
        cause = cause or self._shards.cause_of_missing()
        self._end()
        self._commands.append(GatherFailed(ran, late, reason, lacking, cause))

    def _lacking(self) -> str:
        """Return which shards are missing and why, for the log."""
        return self._shards.describe_missing(MAX_LOGGED_SHARDS, self._groups.address)

    def _end(self) -> None:
        # Withdrawing the pending requests forgets that targets had them.
        self._ran_before_end = self.may_have_run
        self.ended = True
        for shard in self._shards.all:
            self._commands += self._requester.withdraw(shard)
        for number, group in self._groups.pop_all().items():
            if any(name not in self.parts for name in group.plan.shards):
                self._commands.append(CancelGroup(number, group.plan.address))

    def _mark_received(self, name: str) -> None:
        """Record a received shard and cancel its other requests."""
        self._commands += self._requester.withdraw(self._shards[name])
        self._shards.mark_received(name)
