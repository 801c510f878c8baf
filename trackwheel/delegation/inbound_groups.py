"""Groups of shards that this box gathers for peers, and the messages that report them."""

from collections import deque
from collections.abc import Sequence

from trackwheel.clock import steady_now
from trackwheel.delegation.peers import (
    GroupAccepted,
    GroupCancel,
    GroupDeclined,
    GroupForward,
    GroupParts,
)
from trackwheel.gathering.gather import Gather
from trackwheel.gathering.gather_models import Declined, Gathered, GatherFailed, GatherPlan
from trackwheel.gathering.merge import merge_records
from trackwheel.http1.models import Request
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.quarantine.service import Quarantine
from trackwheel.relay.causes import Cause
from trackwheel.relay.fingerprint import fingerprint
from trackwheel.relay.models import CallerRequest, RouteKey
from trackwheel.relay.runs import GatherRun, GatherTask, GroupSender
from trackwheel.relay.timer import Timer
from trackwheel.relay.transport import TargetTransport
from trackwheel.selection.budget import RetryBudget
from trackwheel.selection.target_selector import TargetSelector
from trackwheel.stop_deadline import NO_STOP, StopDeadline
from trackwheel.telemetry.events import EventLog
from trackwheel.units import MILLISECONDS


class _InboundGroup:
    """One group: its gather, and the reports that are still due to its sender."""

    def __init__(self, sender: PeerIdentity, forward: GroupForward, hub: Hub, now: float) -> None:
        self.sender = sender
        self.forward = forward
        self._hub = hub
        self._run: GatherRun | None = None
        times = sorted((forward.report_in_ms, forward.answer_in_ms))
        self._reports = deque(now + in_ms / MILLISECONDS for in_ms in times)
        self._timer = Timer(self._send_due_report)
        self._sends_at_once = forward.repeat
        """Whether each part is sent as it arrives instead of with the next due report."""
        self._not_run: Sequence[str] = ()

    def start(self, run: GatherRun) -> None:
        """Start the gather and the timer of the reports."""
        self._run = run
        if not self._sends_at_once:
            self._timer.set(self._reports[0])
        run.start()

    def stop(self) -> None:
        """Report what was received, since this box stops."""
        if self._run is not None:
            self._run.stop()

    def cancel(self) -> None:
        """Stop; the sender no longer waits."""
        self._timer.close()
        if self._run is not None:
            self._run.cancel()

    def part_received(self) -> None:
        """Send a new part unless a report is still due."""
        if self._sends_at_once:
            self._report(False)

    def decline(self, command: Declined) -> None:
        """Tell the sender for which shards no target was asked."""
        shards = self.forward.shards
        positions = [position for position, name in enumerate(shards) if name in command.shards]
        self._hub.send(self.sender.address, GroupDeclined(self.forward.group_id, positions))

    def finish(self, not_run: Sequence[str]) -> None:
        """Send the remaining parts, and the shards that no target has run, in a final message."""
        self._timer.close()
        self._not_run = not_run
        self._report(True)

    def _send_due_report(self) -> None:
        """Send a report; after the last one, send each part as it arrives."""
        self._reports.popleft()
        if self._reports:
            self._timer.set(self._reports[0])
        else:
            self._sends_at_once = True
        self._report(False)

    def _report(self, final: bool) -> None:
        """Send the received parts that were not sent before."""
        assert self._run is not None, "a group reports only after its gather was started"
        signature_by_shard, records = self._run.task.gather.parts.pop_unreported()
        if self.forward.repeat:
            # The shards were requested elsewhere too: the sender uses whichever part arrives first.
            for (name, signature), part in zip(signature_by_shard.items(), records, strict=True):
                self._send({name: signature}, [part], False)
            signature_by_shard, records = {}, []
        if final or signature_by_shard or not self._sends_at_once:
            self._send(signature_by_shard, records, final)

    def _send(
        self, signature_by_shard: dict[str, bytes], records: list[list[bytes]], final: bool
    ) -> None:
        assert self._run is not None, "a group reports only after its gather was started"
        forward = self.forward
        positions = [
            position for position, name in enumerate(forward.shards) if name in signature_by_shard
        ]
        signatures = [signature_by_shard[forward.shards[position]] for position in positions]
        merged = merge_records(records, forward.top_k, forward.floor)
        gather = self._run.task.gather
        message = GroupParts(
            forward.group_id,
            positions,
            signatures,
            merged,
            final,
            gather.may_have_run,
            gather.closed,
            [at for at, name in enumerate(forward.shards) if final and name in self._not_run],
        )
        self._hub.send(self.sender.address, message)


class InboundGroups:
    """Gathers groups of shards for peers.

    After a stop signal, groups that would not be answered before `stop` are declined.
    """

    def __init__(
        self,
        hub: Hub,
        selector: TargetSelector,
        budget: RetryBudget,
        transport: TargetTransport,
        groups: GroupSender,
        quarantine: Quarantine,
        log: EventLog,
        stop: StopDeadline = NO_STOP,
    ) -> None:
        self._stop = stop
        self._hub = hub
        self._quarantine = quarantine
        self._selector = selector
        self._budget = budget
        self._transport = transport
        self._groups = groups
        self._log = log
        self._group_by_key: dict[tuple[str, str], _InboundGroup] = {}
        hub.register(GroupForward, self._receive_forward)
        hub.register(GroupCancel, self._receive_cancel)
        hub.on_link_lost(self._link_lost)

    def __len__(self) -> int:
        return len(self._group_by_key)

    def stop(self) -> None:
        """Report to all peers what was received, since this box stops."""
        for group in list(self._group_by_key.values()):
            group.stop()

    def _receive_forward(self, sender: PeerIdentity, message: GroupForward) -> None:
        """Start to gather a group for a peer."""
        now = steady_now()
        key = (sender.boot, message.group_id)
        if key in self._group_by_key:
            return
        self._hub.send(sender.address, GroupAccepted(message.group_id))
        task = self._task(message, now)
        if self._quarantine.is_held(task.request.fingerprint):
            self._reject_held(sender, message)
            return
        route = task.gather.plan.route
        if not self._stop.leaves_time(self._selector.high_s(route, far=False), now):
            self._decline_all(sender, message)
            return
        group = self._group_by_key[key] = _InboundGroup(sender, message, self._hub, now)
        run = GatherRun(
            task,
            self._transport,
            self._groups,
            lambda result: self._group_finished(key, result),
            group.part_received,
            group.decline,
        )
        group.start(run)

    def _reject_held(self, sender: PeerIdentity, message: GroupForward) -> None:
        """Tell the sender that its request is held; no target is asked."""
        self._quarantine.send_held_requests(sender.address)
        self._hub.send(sender.address, GroupParts(message.group_id, [], [], b"", True, False))

    def _decline_all(self, sender: PeerIdentity, message: GroupForward) -> None:
        """Leave all shards of a group to others: this box stops before it could answer."""
        self._log.write(
            "group_refused", id=message.request_id, peer=sender.box_id, cause=Cause.STOPPING
        )
        shards = list(range(len(message.shards)))
        self._hub.send(sender.address, GroupDeclined(message.group_id, shards))
        end = GroupParts(message.group_id, [], [], b"", True, False, 0, shards)
        self._hub.send(sender.address, end)

    def _task(self, message: GroupForward, now: float) -> GatherTask:
        http = Request(message.method, message.target, tuple(message.headers), message.body, now)
        deadline = now + message.end_in_ms / MILLISECONDS
        content = fingerprint(message.host, http.method, http.target, http.body)
        request = CallerRequest(
            message.request_id,
            message.host,
            message.path,
            deadline,
            http,
            content,
            message.group,
            message.precedence,
        )
        plan = GatherPlan(
            route=RouteKey(message.route, message.aim_ms / MILLISECONDS, frozenset(message.homes)),
            shards=tuple(message.shards),
            top_k=message.top_k,
            groups=(),
            least_coverage=message.least_coverage,
            max_attempts=message.max_attempts,
            answer_at=now + message.answer_in_ms / MILLISECONDS,
            end_at=deadline,
            partial=True,
            repeat=message.repeat,
            gate=self._quarantine.gate(request.fingerprint, for_peer=True),
        )
        return GatherTask(request, Gather(plan, self._selector, self._budget))

    def _group_finished(self, key: tuple[str, str], result: Gathered | GatherFailed) -> None:
        group = self._group_by_key.pop(key)
        forward = group.forward
        missing = result.missing if isinstance(result, Gathered) else len(forward.shards)
        self._log.write(
            "group_end",
            id=forward.request_id,
            route=forward.route,
            peer=group.sender.box_id,
            shards=len(forward.shards),
            missing=missing,
            cause=result.cause,
        )
        group.finish(result.not_run if isinstance(result, Gathered) else ())

    def _receive_cancel(self, sender: PeerIdentity, message: GroupCancel) -> None:
        group = self._group_by_key.pop((sender.boot, message.group_id), None)
        if group is not None:
            group.cancel()

    def _link_lost(self, address: str) -> None:
        """Cancel the groups of a peer that can no longer be reached."""
        known = self._group_by_key.items()
        for key in [key for key, group in known if group.sender.address == address]:
            self._group_by_key.pop(key).cancel()
