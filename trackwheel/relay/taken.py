"""The shell that gathers groups of shards for peers and tells them what is in."""

from collections import deque

from trackwheel.clock import steady_now
from trackwheel.http1.models import Request
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.quarantine.service import Quarantine
from trackwheel.relay.board import Board
from trackwheel.relay.budget import RepeatBudget
from trackwheel.relay.fingerprint import fingerprint
from trackwheel.relay.gather import Gather
from trackwheel.relay.gather_models import Declined, Gathered, GatherFailed, GatherPlan
from trackwheel.relay.merge import merge_records
from trackwheel.relay.models import CallerRequest, RouteKey
from trackwheel.relay.peers import (
    GroupAccepted,
    GroupCancel,
    GroupDeclined,
    GroupForward,
    GroupParts,
)
from trackwheel.relay.runs import GatherRun, GatherTask, GroupSender
from trackwheel.relay.timer import Timer
from trackwheel.relay.transport import TargetTransport
from trackwheel.telemetry.events import EventLog
from trackwheel.units import MILLISECONDS


class _TakenGroup:
    """One group: its gather, and what its sender was told so far."""

    def __init__(self, sender: PeerIdentity, forward: GroupForward, hub: Hub, now: float) -> None:
        self.sender = sender
        self.forward = forward
        self._hub = hub
        self._run: GatherRun | None = None
        times = sorted((forward.report_in_ms, forward.answer_in_ms))
        self._reports = deque(now + in_ms / MILLISECONDS for in_ms in times)
        self._timer = Timer(self._report_in_time)
        self._tells_at_once = forward.repeat
        """Whether each part is told as it comes, not with others in a report."""

    def start(self, run: GatherRun) -> None:
        """Begin."""
        self._run = run
        if not self._tells_at_once:
            self._timer.set(self._reports[0])
        run.start()

    def cancel(self) -> None:
        """Stop since nobody waits any more."""
        self._timer.stop()
        if self._run is not None:
            self._run.cancel()

    def part_came(self) -> None:
        """Tell of a new part, unless a report is still due."""
        if self._tells_at_once:
            self._report(False)

    def decline(self, command: Declined) -> None:
        """Leave shards to others."""
        shards = self.forward.shards
        places = [place for place, name in enumerate(shards) if name in command.shards]
        self._hub.send(self.sender.address, GroupDeclined(self.forward.group_id, places))

    def finish(self) -> None:
        """Tell the rest, and that no more comes."""
        self._timer.stop()
        self._report(True)

    def _report_in_time(self) -> None:
        """Report what is in; after the last report, tell of each part as it comes."""
        self._reports.popleft()
        if self._reports:
            self._timer.set(self._reports[0])
        else:
            self._tells_at_once = True
        self._report(False)

    def _report(self, final: bool) -> None:
        """Send the parts that are in and were not sent before."""
        assert self._run is not None, "only a gather that was started has parts"
        signature_by_shard, records = self._run.task.gather.parts.take_unreported()
        if self.forward.repeat:
            # The shards were asked elsewhere too: the sender takes whichever part comes first.
            for (name, signature), part in zip(signature_by_shard.items(), records, strict=True):
                self._send({name: signature}, [part], False)
            signature_by_shard, records = {}, []
        if final or signature_by_shard or not self._tells_at_once:
            self._send(signature_by_shard, records, final)

    def _send(
        self, signature_by_shard: dict[str, bytes], records: list[list[bytes]], final: bool
    ) -> None:
        assert self._run is not None, "only a gather that was started has parts"
        forward = self.forward
        places = [place for place, name in enumerate(forward.shards) if name in signature_by_shard]
        signatures = [signature_by_shard[forward.shards[place]] for place in places]
        merged = merge_records(records, forward.top_k, forward.floor)
        gather = self._run.task.gather
        message = GroupParts(
            forward.group_id,
            places,
            signatures,
            merged,
            final,
            gather.may_have_run,
            gather.closed,
        )
        self._hub.send(self.sender.address, message)


class TakenGroups:
    """Gather groups for peers."""

    def __init__(
        self,
        hub: Hub,
        board: Board,
        budget: RepeatBudget,
        transport: TargetTransport,
        groups: GroupSender,
        quarantine: Quarantine,
        log: EventLog,
    ) -> None:
        self._hub = hub
        self._quarantine = quarantine
        self._board = board
        self._budget = budget
        self._transport = transport
        self._groups = groups
        self._log = log
        self._taken_by_key: dict[tuple[str, str], _TakenGroup] = {}
        hub.register(GroupForward, self._take)
        hub.register(GroupCancel, self._take_cancel)
        hub.on_link_lost(self._link_lost)

    def __len__(self) -> int:
        return len(self._taken_by_key)

    def _take(self, sender: PeerIdentity, message: GroupForward) -> None:
        """Gather a group for a peer."""
        now = steady_now()
        key = (sender.boot, message.group_id)
        if key in self._taken_by_key:
            return
        self._hub.send(sender.address, GroupAccepted(message.group_id))
        task = self._task(message, now)
        if self._quarantine.is_held(task.request.fingerprint):
            self._refuse(sender, message)
            return
        taken = self._taken_by_key[key] = _TakenGroup(sender, message, self._hub, now)
        run = GatherRun(
            task,
            self._transport,
            self._groups,
            lambda result: self._finished(key, result),
            taken.part_came,
            taken.decline,
        )
        taken.start(run)

    def _refuse(self, sender: PeerIdentity, message: GroupForward) -> None:
        """Ask nobody for a request that is held, and let its sender know."""
        self._quarantine.send_held_requests(sender.address)
        self._hub.send(sender.address, GroupParts(message.group_id, [], [], b"", True, False))

    def _task(self, message: GroupForward, now: float) -> GatherTask:
        http = Request(message.method, message.target, tuple(message.headers), message.body, now)
        deadline = now + message.end_in_ms / MILLISECONDS
        content = fingerprint(message.host, http.method, http.target, http.body)
        request = CallerRequest(
            message.request_id, message.host, message.path, deadline, http, content
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
        return GatherTask(request, Gather(plan, self._board, self._budget))

    def _finished(self, key: tuple[str, str], result: Gathered | GatherFailed) -> None:
        taken = self._taken_by_key.pop(key)
        forward = taken.forward
        missing = result.missing if isinstance(result, Gathered) else len(forward.shards)
        self._log.write(
            "group_end",
            id=forward.request_id,
            route=forward.route,
            peer=taken.sender.box_id,
            shards=len(forward.shards),
            missing=missing,
        )
        taken.finish()

    def _take_cancel(self, sender: PeerIdentity, message: GroupCancel) -> None:
        taken = self._taken_by_key.pop((sender.boot, message.group_id), None)
        if taken is not None:
            taken.cancel()

    def _link_lost(self, address: str) -> None:
        """Stop gathering for a peer that cannot be told any more."""
        known = self._taken_by_key.items()
        for key in [key for key, taken in known if taken.sender.address == address]:
            self._taken_by_key.pop(key).cancel()
