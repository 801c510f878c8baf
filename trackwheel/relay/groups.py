"""The shell between gathers and peers: hands groups out, and gathers those of others."""

import time
from itertools import count

from trackwheel.http1.models import Request
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.relay.board import Board, RouteKey
from trackwheel.relay.budget import RepeatBudget
from trackwheel.relay.gather import Gather
from trackwheel.relay.gather_models import (
    CancelGroup,
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

    def __init__(self, run: GatherRun, number: int, address: str, now: float) -> None:
        self.run = run
        self.number = number
        self.address = address
        self.asked_at = now
        self.accepted = False


class _Taken:
    """A group that this box gathers for a peer."""

    def __init__(self, forward: GroupForward, report: Timer) -> None:
        self.forward = forward
        self.report = report
        self.run: GatherRun | None = None


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
        self.peer_board = PeerBoard()
        hub.register(GroupForward, self._take_forward)
        hub.register(GroupAccepted, self._take_accepted)
        hub.register(GroupParts, self._take_parts)
        hub.register(GroupCancel, self._take_cancel)
        hub.on_link_lost(self._link_lost)

    @property
    def taken(self) -> int:
        """Return how many groups this box gathers for peers."""
        return len(self._taken_by_key)

    def send_group(self, run: GatherRun, command: SendGroup) -> None:
        """Hand a group to its peer."""
        now = time.monotonic()
        address = command.group.address
        group_id = str(next(self._numbers))
        self._handed_by_id[group_id] = _Handed(run, command.number, address, now)
        self._hub.send(address, self._forward_message(group_id, run.task, command, now))

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
            top_k=task.top_k,
            max_attempts=task.gather.peer_attempts,
            aim_ms=plan.route.aim_s * MILLISECONDS,
            report_in_ms=left_ms(group.report_by),
            answer_in_ms=left_ms(plan.answer_at),
            end_in_ms=max(0.0, request.deadline - now) * MILLISECONDS,
        )

    def _take_accepted(self, sender: PeerIdentity, message: GroupAccepted) -> None:
        handed = self._handed_by_id.get(message.group_id)
        if handed is None or handed.address != sender.address or handed.accepted:
            return
        handed.accepted = True
        self.peer_board.accepted(handed.address, time.monotonic() - handed.asked_at)
        handed.run.task.gather.group_accepted(handed.number)
        handed.run.perform([])

    def _take_parts(self, sender: PeerIdentity, message: GroupParts) -> None:
        handed = self._handed_by_id.get(message.group_id)
        if handed is None or handed.address != sender.address:
            return
        if message.final:
            del self._handed_by_id[message.group_id]
        gather = handed.run.task.gather
        names = gather.plan.groups[handed.number].shards
        signature_by_shard = {
            names[place]: signature
            for place, signature in zip(message.shards, message.signatures, strict=True)
        }
        records = split_records(message.records)
        now = time.monotonic()
        handed.run.perform(
            gather.group_parts(handed.number, signature_by_shard, records, message.final, now)
        )

    def _take_forward(self, sender: PeerIdentity, message: GroupForward) -> None:
        """Gather a group for a peer."""
        now = time.monotonic()
        key = (sender.boot, message.group_id)
        if key in self._taken_by_key:
            return
        self._hub.send(sender.address, GroupAccepted(message.group_id))
        taken = _Taken(message, Timer(lambda: self._report(sender, key, False)))
        self._taken_by_key[key] = taken
        taken.run = GatherRun(
            self._task(message, now),
            self._transport,
            self,
            lambda result: self._finished(sender, key, result),
        )
        taken.report.set(now + message.report_in_ms / MILLISECONDS)
        taken.run.start()

    def _task(self, message: GroupForward, now: float) -> GatherTask:
        http = Request(message.method, message.target, tuple(message.headers), message.body, now)
        deadline = now + message.end_in_ms / MILLISECONDS
        request = CallerRequest(message.request_id, message.host, message.path, deadline, http)
        answer_at = now + message.answer_in_ms / MILLISECONDS
        plan = GatherPlan(
            route=RouteKey(message.route, message.aim_ms / MILLISECONDS),
            shards=tuple(message.shards),
            groups=(),
            least_coverage=0.0,
            max_attempts=message.max_attempts,
            answer_at=answer_at,
            end_at=answer_at,
            partial=True,
        )
        return GatherTask(request, Gather(plan, self._board, self._budget), message.top_k)

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
        signature_by_shard, records = gather.take_new_parts()
        places = [place for place, name in enumerate(forward.shards) if name in signature_by_shard]
        signatures = [signature_by_shard[forward.shards[place]] for place in places]
        merged = merge_records(records, forward.top_k)
        message = GroupParts(forward.group_id, places, signatures, merged, final)
        self._hub.send(sender.address, message)

    def _take_cancel(self, sender: PeerIdentity, message: GroupCancel) -> None:
        taken = self._taken_by_key.pop((sender.boot, message.group_id), None)
        if taken is None:
            return
        taken.report.stop()
        if taken.run is not None:
            taken.run.cancel()

    def _link_lost(self, address: str) -> None:
        now = time.monotonic()
        self.peer_board.failed(address, now)
        for group_id, handed in list(self._handed_by_id.items()):
            if handed.address == address and self._handed_by_id.pop(group_id, None) is not None:
                handed.run.perform(handed.run.task.gather.group_lost(handed.number, now))
