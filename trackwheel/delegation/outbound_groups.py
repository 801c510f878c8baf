"""Groups of shards that peers gather for this box, and the messages about them."""

from collections.abc import Iterable
from itertools import count

from trackwheel.clock import steady_now
from trackwheel.delegation.const import REPORT_MARGIN_S
from trackwheel.delegation.peers import (
    GroupAccepted,
    GroupCancel,
    GroupDeclined,
    GroupForward,
    GroupParts,
    PeerTracker,
)
from trackwheel.gathering.const import MAX_LOGGED_SHARDS
from trackwheel.gathering.gather_models import (
    CancelGroup,
    PeerSilent,
    SendGroup,
)
from trackwheel.gathering.merge import split_records
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.relay.models import Wire
from trackwheel.relay.runs import GatherRun, GatherTask
from trackwheel.telemetry.events import EventLog
from trackwheel.units import MILLISECONDS


class _OutboundGroup:
    """A group of shards that a peer gathers for a query of this box."""

    def __init__(self, run: GatherRun, command: SendGroup, now: float) -> None:
        self.run = run
        self.number = command.number
        self.address = command.group.address
        self.shards = command.group.shards
        self.sent_at = now
        self.accepted = False

    def shards_at(self, positions: list[int]) -> list[str] | None:
        """Return the shards at positions of the request; None if one is out of range."""
        if not all(0 <= position < len(self.shards) for position in positions):
            return None
        return [self.shards[position] for position in positions]


class OutboundGroups:
    """Delegates groups of shards to peers for the gathers of this box."""

    def __init__(
        self,
        hub: Hub,
        wire: Wire,
        log: EventLog,
    ) -> None:
        self._hub = hub
        self._wire = wire
        self._log = log
        self._numbers = count()
        self._group_by_id: dict[str, _OutboundGroup] = {}
        self.peer_tracker = PeerTracker(hub.is_linked)
        hub.register(GroupAccepted, self._receive_accepted)
        hub.register(GroupDeclined, self._receive_declined)
        hub.register(GroupParts, self._receive_parts)
        hub.on_link_lost(self._link_lost)

    def open_links(self, addresses: Iterable[str]) -> None:
        """Open links to peers in advance."""
        for address in addresses:
            self._hub.open(address)

    def send_group(self, run: GatherRun, command: SendGroup) -> None:
        """Send a group to its peer."""
        now = steady_now()
        # A peer may still report groups of an earlier boot of this box, at the same address.
        group_id = f"{self._hub.identity.boot}-{next(self._numbers)}"
        self._group_by_id[group_id] = _OutboundGroup(run, command, now)
        self._hub.send(
            command.group.address, self._forward_message(group_id, run.task, command, now)
        )

    def cancel_group(self, run: GatherRun, command: CancelGroup) -> None:
        """Cancel a group at its peer."""
        for group_id, group in list(self._group_by_id.items()):
            if group.run is run and group.number == command.number:
                del self._group_by_id[group_id]
                self._hub.send(group.address, GroupCancel(group_id))

    def peer_silent(self, command: PeerSilent) -> None:
        """Record a peer that did not respond in time."""
        if not command.accepted:
            self.peer_tracker.record_failure(command.address, steady_now())
        self._log.write("peer_silent", peer=command.address, accepted=command.accepted)

    def forget(self, run: GatherRun) -> None:
        """Remove the groups of a query that ended."""
        for group_id in [key for key, group in self._group_by_id.items() if group.run is run]:
            del self._group_by_id[group_id]

    def _forward_message(
        self, group_id: str, task: GatherTask, command: SendGroup, now: float
    ) -> GroupForward:
        plan, request, group = task.gather.plan, task.request, command.group
        rtt_s = self.peer_tracker.round_trip_s(group.address)

        def left_ms(until: float) -> float:
            return max(0.0, until - now - rtt_s) * MILLISECONDS

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
            max_attempts=1 if group.repeat else task.gather.plan.peer_attempts,
            aim_ms=plan.route.aim_s * MILLISECONDS,
            report_in_ms=left_ms(group.report_by),
            answer_in_ms=left_ms(plan.answer_at - REPORT_MARGIN_S),
            end_in_ms=max(0.0, request.deadline - now) * MILLISECONDS,
            repeat=group.repeat,
            floor=command.floor,
            least_coverage=command.least_coverage,
            homes=sorted(plan.route.homes),
            group=request.group,
            precedence=request.precedence,
        )

    def _receive_accepted(self, sender: PeerIdentity, message: GroupAccepted) -> None:
        group = self._group_by_id.get(message.group_id)
        if group is None or group.address != sender.address or group.accepted:
            return
        group.accepted = True
        self.peer_tracker.record_accepted(group.address, steady_now() - group.sent_at)
        group.run.task.gather.group_accepted(group.number)
        group.run.perform([])

    def _receive_declined(self, sender: PeerIdentity, message: GroupDeclined) -> None:
        group = self._group_by_id.get(message.group_id)
        if group is None or group.address != sender.address:
            return
        names = group.shards_at(message.shards)
        if names is None:
            self._reject(sender, message)
            return
        task = group.run.task
        self._log.write(
            "group_declined", id=task.request.request_id, peer=sender.box_id, shards=len(names)
        )
        gather = task.gather
        group.run.perform(gather.group_declined(group.number, names, steady_now()))

    def _receive_parts(self, sender: PeerIdentity, message: GroupParts) -> None:
        group = self._group_by_id.get(message.group_id)
        if group is None or group.address != sender.address:
            return
        names = group.shards_at(message.shards)
        not_run = group.shards_at(message.not_run)
        if names is None or not_run is None or len(names) != len(message.signatures):
            self._reject(sender, message)
            return
        if message.final:
            del self._group_by_id[message.group_id]
        gather = group.run.task.gather
        signature_by_shard = dict(zip(names, message.signatures, strict=True))
        records = split_records(message.records)
        now = steady_now()
        group.run.perform(
            gather.group_parts(
                group.number,
                signature_by_shard,
                records,
                message.final,
                message.ran,
                now,
                message.closed,
                not_run,
            )
        )

    def _reject(self, sender: PeerIdentity, message: GroupDeclined | GroupParts) -> None:
        """Ignore and log a message about shards that were not requested; the group continues."""
        self._log.write(
            "peer_message_rejected",
            peer=sender.box_id,
            message=type(message).__name__,
            shards=str(message.shards[:MAX_LOGGED_SHARDS]),
        )

    def _link_lost(self, address: str) -> None:
        now = steady_now()
        self.peer_tracker.record_failure(address, now)
        for group_id, group in list(self._group_by_id.items()):
            if group.address == address and self._group_by_id.pop(group_id, None) is not None:
                group.run.perform(group.run.task.gather.group_lost(group.number, now))
