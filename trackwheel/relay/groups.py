"""The shell between gathers and peers: hands groups out, and gathers those of others."""

import time
from collections import deque
from collections.abc import Iterable
from itertools import count

from trackwheel.http1.models import Request
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.relay.board import Board, RouteKey
from trackwheel.relay.budget import RepeatBudget
from trackwheel.relay.const import LOGGED_SHARDS, REPORT_MARGIN_S
from trackwheel.relay.gather import Gather
from trackwheel.relay.gather_models import (
    CancelGroup,
    Declined,
    Gathered,
    GatherFailed,
    GatherPlan,
    PeerSilent,
    SendGroup,
)
from trackwheel.relay.merge import merge_records, split_records
from trackwheel.relay.models import CallerRequest, Wire
from trackwheel.relay.peers import (
    GroupAccepted,
    GroupCancel,
    GroupDeclined,
    GroupForward,
    GroupParts,
    PeerBoard,
)
from trackwheel.relay.runs import GatherRun, GatherTask
from trackwheel.relay.timer import Timer
from trackwheel.relay.transport import TargetTransport
from trackwheel.telemetry.events import EventLog
from trackwheel.units import MILLISECONDS


class _Handed:
    """A group that a peer gathers for a query of this box."""

    def __init__(self, run: GatherRun, command: SendGroup, now: float) -> None:
        self.run = run
        self.number = command.number
        self.address = command.group.address
        self.shards = command.group.shards
        self.asked_at = now
        self.accepted = False

    def names_at(self, places: list[int]) -> list[str] | None:
        """Return the shards at some places of the request; None when one is out of range."""
        if not all(0 <= place < len(self.shards) for place in places):
            return None
        return [self.shards[place] for place in places]


class _Taken:
    """A group that this box gathers for a peer."""

    def __init__(self, sender: str, forward: GroupForward, report: Timer) -> None:
        self.sender = sender
        self.forward = forward
        self.report = report
        self.run: GatherRun | None = None
        self.at_once = forward.repeat
        """Whether each part is sent as it comes, not with others in a report."""


class PeerGroups:
    """Carry groups of shards between boxes."""

    def __init__(
        self,
        hub: Hub,
        wire: Wire,
        board: Board,
        budget: RepeatBudget,
        transport: TargetTransport,
        log: EventLog,
    ) -> None:
        self._hub = hub
        self._wire = wire
        self._board = board
        self._budget = budget
        self._transport = transport
        self._log = log
        self._numbers = count()
        self._handed_by_id: dict[str, _Handed] = {}
        self._taken_by_key: dict[tuple[str, str], _Taken] = {}
        self.peer_board = PeerBoard(hub.is_linked)
        hub.register(GroupForward, self._take_forward)
        hub.register(GroupAccepted, self._take_accepted)
        hub.register(GroupDeclined, self._take_declined)
        hub.register(GroupParts, self._take_parts)
        hub.register(GroupCancel, self._take_cancel)
        hub.on_link_lost(self._link_lost)

    def open_links(self, addresses: Iterable[str]) -> None:
        """Open links to peers before there is work for them."""
        for address in addresses:
            self._hub.open(address)

    @property
    def taken(self) -> int:
        """Return how many groups this box gathers for peers."""
        return len(self._taken_by_key)

    def send_group(self, run: GatherRun, command: SendGroup) -> None:
        """Hand a group to its peer."""
        now = time.monotonic()
        group_id = str(next(self._numbers))
        self._handed_by_id[group_id] = _Handed(run, command, now)
        self._hub.send(
            command.group.address, self._forward_message(group_id, run.task, command, now)
        )

    def cancel_group(self, run: GatherRun, command: CancelGroup) -> None:
        """Take a group back."""
        for group_id, handed in list(self._handed_by_id.items()):
            if handed.run is run and handed.number == command.number:
                del self._handed_by_id[group_id]
                self._hub.send(handed.address, GroupCancel(group_id))

    def peer_silent(self, command: PeerSilent) -> None:
        """Note a peer that showed no life."""
        if not command.accepted:
            self.peer_board.failed(command.address, time.monotonic())
        self._log.write("peer_silent", peer=command.address, accepted=command.accepted)

    def forget(self, run: GatherRun) -> None:
        """Drop the groups of a query that ended."""
        for group_id in [key for key, handed in self._handed_by_id.items() if handed.run is run]:
            del self._handed_by_id[group_id]

    def _forward_message(
        self, group_id: str, task: GatherTask, command: SendGroup, now: float
    ) -> GroupForward:
        plan, request, group = task.gather.plan, task.request, command.group
        ways_s = self.peer_board.round_trip_s(group.address)

        def left_ms(until: float) -> float:
            return max(0.0, until - now - ways_s) * MILLISECONDS

        return GroupForward(
            group_id=group_id,
            request_id=request.request_id,
            host=request.host,
            path=request.path,
            method=request.http.method,
            target=request.http.target,
            headers=list(self._wire.forwarded_headers(request.http)),
            body=request.http.body,
            route=plan.route.name,
            shards=list(group.shards),
            top_k=plan.top_k,
            max_attempts=1 if group.repeat else task.gather.peer_attempts,
            aim_ms=plan.route.aim_s * MILLISECONDS,
            report_in_ms=left_ms(group.report_by),
            answer_in_ms=left_ms(plan.answer_at - REPORT_MARGIN_S),
            end_in_ms=max(0.0, request.deadline - now) * MILLISECONDS,
            repeat=group.repeat,
            floor=command.floor,
        )

    def _take_accepted(self, sender: PeerIdentity, message: GroupAccepted) -> None:
        handed = self._handed_by_id.get(message.group_id)
        if handed is None or handed.address != sender.address or handed.accepted:
            return
        handed.accepted = True
        self.peer_board.accepted(handed.address, time.monotonic() - handed.asked_at)
        handed.run.task.gather.group_accepted(handed.number)
        handed.run.perform([])

    def _take_declined(self, sender: PeerIdentity, message: GroupDeclined) -> None:
        handed = self._handed_by_id.get(message.group_id)
        if handed is None or handed.address != sender.address:
            return
        names = handed.names_at(message.shards)
        if names is None:
            self._reject(sender, message)
            return
        task = handed.run.task
        self._log.write(
            "group_declined", id=task.request.request_id, peer=sender.box_id, shards=len(names)
        )
        gather = task.gather
        handed.run.perform(gather.group_declined(handed.number, names, time.monotonic()))

    def _take_parts(self, sender: PeerIdentity, message: GroupParts) -> None:
        handed = self._handed_by_id.get(message.group_id)
        if handed is None or handed.address != sender.address:
            return
        names = handed.names_at(message.shards)
        if names is None or len(names) != len(message.signatures):
            self._reject(sender, message)
            return
        if message.final:
            del self._handed_by_id[message.group_id]
        gather = handed.run.task.gather
        signature_by_shard = dict(zip(names, message.signatures, strict=True))
        records = split_records(message.records)
        now = time.monotonic()
        handed.run.perform(
            gather.group_parts(
                handed.number, signature_by_shard, records, message.final, message.ran, now
            )
        )

    def _reject(self, sender: PeerIdentity, message: GroupDeclined | GroupParts) -> None:
        """Pass over what names shards that were not asked for; the group goes on as if unsaid."""
        self._log.write(
            "peer_message_rejected",
            peer=sender.box_id,
            message=type(message).__name__,
            shards=str(message.shards[:LOGGED_SHARDS]),
        )

    def _take_forward(self, sender: PeerIdentity, message: GroupForward) -> None:
        """Gather a group for a peer."""
        now = time.monotonic()
        key = (sender.boot, message.group_id)
        if key in self._taken_by_key:
            return
        self._hub.send(sender.address, GroupAccepted(message.group_id))
        reports = deque(sorted((message.report_in_ms, message.answer_in_ms)))
        taken = _Taken(
            sender.address, message, Timer(lambda: self._report_in_time(sender, key, now, reports))
        )
        self._taken_by_key[key] = taken
        taken.run = GatherRun(
            self._task(message, now),
            self._transport,
            self,
            lambda result: self._finished(sender, key, result),
            lambda: self._part_came(sender, key),
            lambda command: self._send_declined(sender, message, command),
        )
        if not taken.at_once:
            taken.report.set(now + reports[0] / MILLISECONDS)
        taken.run.start()

    def _send_declined(
        self, sender: PeerIdentity, forward: GroupForward, command: Declined
    ) -> None:
        places = [place for place, name in enumerate(forward.shards) if name in command.shards]
        self._hub.send(sender.address, GroupDeclined(forward.group_id, places))

    def _report_in_time(
        self, sender: PeerIdentity, key: tuple[str, str], taken_at: float, reports: deque[float]
    ) -> None:
        """Report what is in; after the last report, tell of each part as it comes."""
        taken = self._taken_by_key.get(key)
        if taken is None:
            return
        reports.popleft()
        if reports:
            taken.report.set(taken_at + reports[0] / MILLISECONDS)
        else:
            taken.at_once = True
        self._report(sender, key, False)

    def _part_came(self, sender: PeerIdentity, key: tuple[str, str]) -> None:
        taken = self._taken_by_key.get(key)
        if taken is not None and taken.at_once:
            self._report(sender, key, False)

    def _task(self, message: GroupForward, now: float) -> GatherTask:
        http = Request(message.method, message.target, tuple(message.headers), message.body, now)
        deadline = now + message.end_in_ms / MILLISECONDS
        request = CallerRequest(message.request_id, message.host, message.path, deadline, http)
        answer_at = now + message.answer_in_ms / MILLISECONDS
        plan = GatherPlan(
            route=RouteKey(message.route, message.aim_ms / MILLISECONDS),
            shards=tuple(message.shards),
            top_k=message.top_k,
            groups=(),
            least_coverage=0.0,
            max_attempts=message.max_attempts,
            answer_at=answer_at,
            end_at=deadline,
            partial=True,
            repeat=message.repeat,
        )
        return GatherTask(request, Gather(plan, self._board, self._budget))

    def _finished(
        self, sender: PeerIdentity, key: tuple[str, str], result: Gathered | GatherFailed
    ) -> None:
        taken = self._taken_by_key.get(key)
        if taken is None:
            return
        missing = result.missing if isinstance(result, Gathered) else len(taken.forward.shards)
        self._log.write(
            "group_end",
            id=taken.forward.request_id,
            route=taken.forward.route,
            peer=sender.box_id,
            shards=len(taken.forward.shards),
            missing=missing,
        )
        self._report(sender, key, True)
        taken.report.stop()
        del self._taken_by_key[key]

    def _report(self, sender: PeerIdentity, key: tuple[str, str], final: bool) -> None:
        """Send the parts that are in and were not sent before."""
        taken = self._taken_by_key.get(key)
        if taken is None or taken.run is None:
            return
        gather, forward = taken.run.task.gather, taken.forward
        signature_by_shard, records = gather.parts.take_unreported()
        if forward.repeat:
            # The shards were asked elsewhere too: the sender takes whichever part comes first.
            for (name, signature), part in zip(signature_by_shard.items(), records, strict=True):
                self._send_parts(sender, taken, {name: signature}, [part], False)
            signature_by_shard, records = {}, []
        if final or signature_by_shard or not taken.at_once:
            self._send_parts(sender, taken, signature_by_shard, records, final)

    def _send_parts(
        self,
        sender: PeerIdentity,
        taken: _Taken,
        signature_by_shard: dict[str, bytes],
        records: list[list[bytes]],
        final: bool,
    ) -> None:
        assert taken.run is not None
        forward = taken.forward
        places = [place for place, name in enumerate(forward.shards) if name in signature_by_shard]
        signatures = [signature_by_shard[forward.shards[place]] for place in places]
        merged = merge_records(records, forward.top_k, forward.floor)
        ran = taken.run.task.gather.may_have_run
        message = GroupParts(forward.group_id, places, signatures, merged, final, ran)
        self._hub.send(sender.address, message)

    def _take_cancel(self, sender: PeerIdentity, message: GroupCancel) -> None:
        self._drop((sender.boot, message.group_id))

    def _drop(self, key: tuple[str, str]) -> None:
        """Stop gathering a group for which nobody waits any more."""
        taken = self._taken_by_key.pop(key, None)
        if taken is None:
            return
        taken.report.stop()
        if taken.run is not None:
            taken.run.cancel()

    def _link_lost(self, address: str) -> None:
        now = time.monotonic()
        self.peer_board.failed(address, now)
        for key in [key for key, taken in self._taken_by_key.items() if taken.sender == address]:
            self._drop(key)
        for group_id, handed in list(self._handed_by_id.items()):
            if handed.address == address and self._handed_by_id.pop(group_id, None) is not None:
                handed.run.perform(handed.run.task.gather.group_lost(handed.number, now))
