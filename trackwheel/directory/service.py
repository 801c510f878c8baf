"""The tasks that keep the directory: readers of the store, news to and from peers."""

import time
import zlib
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import TypeVar

import anyio
from returns.result import Failure, Result, Success

from trackwheel.directory.const import (
    BEACON_PERIOD_S,
    LOOK_PERIOD_S,
    PACK_LEVEL,
    RETRY_FIRST_S,
    RETRY_LONGEST_S,
    RETURN_REST_S,
    ROUTES_PATIENCE_S,
    ROUTES_REST_S,
    ROUTES_WAIT_S,
    SLOW_ANSWER_S,
    STORE_SLACK_S,
    TARGETS_REST_SHARE,
    TARGETS_WAIT_SHARE,
)
from trackwheel.directory.in_step import HowFar, Lag, PeerFlow, StoreFlow
from trackwheel.directory.models import (
    DirectoryAsk,
    DirectoryBeacon,
    DirectorySource,
    HistoryGoneError,
    RoutesPush,
    RoutesRead,
    TargetsPush,
    TargetsRead,
)
from trackwheel.directory.targets import TargetDirectory
from trackwheel.directory.watching import Watching
from trackwheel.errors import Problem, TrackwheelError
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.relay.models import Target
from trackwheel.routing.models import RouteTable
from trackwheel.telemetry.events import EventLog

T = TypeVar("T", RoutesRead, TargetsRead)


class DirectoryService:
    """Keep routes and targets in step with the store, directly or through peers."""

    def __init__(
        self,
        hub: Hub,
        source: DirectorySource,
        targets: TargetDirectory,
        watching: Watching,
        log: EventLog,
        drain_s: float,
    ) -> None:
        self._hub = hub
        self._own_address = hub.identity.address
        self._source = source
        self._targets = targets
        self._watching = watching
        self._log = log
        self._targets_rest_s = drain_s * TARGETS_REST_SHARE
        self._targets_wait_s = drain_s * TARGETS_WAIT_SHARE
        self._packed = b""
        self._routes_flow = StoreFlow("routes", ROUTES_PATIENCE_S)
        patience_s = self._targets_rest_s + self._targets_wait_s + STORE_SLACK_S
        self._targets_flow = StoreFlow("targets", patience_s)
        self._lag = Lag(self._targets_rest_s)
        self._peer_flow = PeerFlow()
        self._watched = False
        self._beacon_at = 0.0
        self._told_goes_by = ""
        self._near_peers: tuple[str, ...] = ()
        self._far_watchers: tuple[str, ...] = ()
        self._on_routes: list[Callable[[RouteTable], None]] = []
        self._on_targets: list[Callable[[dict[str, tuple[Target, ...]]], None]] = []
        self.table: RouteTable | None = None
        self.store_calls = 0
        hub.register(DirectoryBeacon, self._take_beacon)
        hub.register(DirectoryAsk, self._take_ask)
        hub.register(RoutesPush, self._take_routes_push)
        hub.register(TargetsPush, self._take_targets_push)

    @property
    def version(self) -> int:
        """Return the version in force here, 0 when none is."""
        return self.table.version if self.table is not None else 0

    @property
    def ready(self) -> bool:
        """Return whether routes and targets are known."""
        return self.table is not None and self._targets.known

    @property
    def synced(self) -> bool:
        """Return whether the store has answered both watches of this box lately."""
        now = time.monotonic()
        return self._routes_flow.in_step(now) and self._targets_flow.in_step(now)

    def on_routes(self, handler: Callable[[RouteTable], None]) -> None:
        """Call a handler with each new configuration."""
        self._on_routes.append(handler)

    def on_targets(self, handler: Callable[[dict[str, tuple[Target, ...]]], None]) -> None:
        """Call a handler with the targets whenever they are others."""
        self._on_targets.append(handler)

    def goes_by(self, now: float) -> str:
        """Return the box by whose reading of the store this one is in step, or nothing."""
        if self._routes_flow.in_step(now) and self._targets_flow.in_step(now):
            return self._own_address
        return self._peer_flow.goes_by(now)

    def set_peers(
        self, before: Sequence[str], near: Iterable[str], far_watchers: Iterable[str]
    ) -> None:
        """Take who comes before this box as a watcher, whom it passes news on to, whom it tells.

        Watchers of other domains read the store too; one that cannot asks for what it lacks.
        """
        self._watching.set_boxes_before(before)
        self._near_peers = tuple(near)
        self._far_watchers = tuple(far_watchers)

    def peer_version(self, address: str, version: int) -> None:
        """Take the version that a peer, often in another region, says it has in force.

        Its targets are asked for only while no watcher is heard from: one near sends them too.
        """
        if version > self.version:
            unheard = self._watching.watches(time.monotonic()) and not self.synced
            self._ask(address, targets_wanted=unheard)

    async def run(self) -> None:
        """Keep in step until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._start_from_copy)
            tasks.start_soon(self._follow_routes)
            tasks.start_soon(self._follow_targets)
            tasks.start_soon(self._send_beacons)
            tasks.start_soon(self._expire)

    async def _start_from_copy(self) -> None:
        """Serve by a copy of the store until a watcher is heard of, or this box reads itself."""
        if not self._watching.settles(time.monotonic()):
            return
        self.store_calls += 2
        match await self._source.read_routes(copy=True):
            case Success(RoutesRead(RouteTable() as table, content)):
                self._adopt(table, zlib.compress(content, PACK_LEVEL), "copy")
            case Failure(error):
                self._log.write("no_copy", reason=str(error))
                return
        match await self._source.read_targets(copy=True):
            case Success(read):
                if self._targets.take_copy(read.entries, time.monotonic()):
                    self._targets_changed("copy")
            case Failure(error):
                self._log.write("no_copy", reason=str(error))

    async def _follow_routes(self) -> None:
        await self._follow(
            self._source.read_routes,
            self._source.watch_routes,
            self._take_routes_read,
            self._routes_flow,
            ROUTES_WAIT_S,
            ROUTES_REST_S,
        )

    async def _follow_targets(self) -> None:
        await self._follow(
            self._source.read_targets,
            self._source.watch_targets,
            self._take_targets_read,
            self._targets_flow,
            self._targets_wait_s,
            self._targets_rest_s,
        )

    async def _follow(
        self,
        read: Callable[[], Awaitable[Result[T, TrackwheelError]]],
        watch: Callable[[int, float], Awaitable[Result[T, TrackwheelError]]],
        take: Callable[[T], int],
        flow: StoreFlow,
        wait_s: float,
        rest_s: float,
    ) -> None:
        """Read once, then follow the changes, as long as this box is to watch.

        After a failure all is read anew: to go through the changes since then took six seconds
        where heartbeats of 900 targets are among them.
        """
        after: int | None = None
        pause_s = RETRY_FIRST_S
        while True:
            if not self._reads_now(flow):
                after = None
                await anyio.sleep(LOOK_PERIOD_S)
                continue
            self.store_calls += 1
            asked_at = time.monotonic()
            result = await (read() if after is None else watch(after, wait_s))
            match result:
                case Success(found):
                    self._store_answered(flow, time.monotonic() - asked_at - wait_s)
                    after = take(found)
                    pause_s = RETRY_FIRST_S
                    await anyio.sleep(0.0 if found.more else self._rest_s(rest_s))
                case Failure(HistoryGoneError()):
                    after = None
                case Failure(error):
                    after = None
                    self._store_failed(flow, error)
                    await anyio.sleep(pause_s)
                    pause_s = min(RETRY_LONGEST_S, pause_s * 2)

    def _reads_now(self, flow: StoreFlow) -> bool:
        """Return whether a call on the store is due.

        While the store answers neither watch, the routes' one alone tries: one call tells as much
        as two.
        """
        if not self._watching.watches(time.monotonic()):
            return False
        return flow is self._routes_flow or not (flow.lost and self._routes_flow.lost)

    def _rest_s(self, usual_s: float) -> float:
        """Return the pause between two watches, short while lapsed entries come back."""
        if self._targets.returns_awaited(time.monotonic()):
            return min(usual_s, RETURN_REST_S)
        return usual_s

    def _take_routes_read(self, read: RoutesRead) -> int:
        if read.table is not None:
            self._adopt(read.table, zlib.compress(read.content, PACK_LEVEL), "store")
        return read.as_of

    def _take_targets_read(self, read: TargetsRead) -> int:
        since = 0 if read.since is None else self._targets.newest
        if self._targets.take(read, time.monotonic()):
            self._targets_changed("store")
            self._pass_on(self._targets.changes(since, time.monotonic()), self._near_peers)
        return read.as_of

    def _take_routes_push(self, sender: PeerIdentity, push: RoutesPush) -> None:
        if push.version <= self.version:
            return
        match self._unpack(push.packed):
            case Success(table):
                self._adopt(table, push.packed, sender.box_id)
            case Failure(error):
                self._log.write("routes_rejected", source=sender.box_id, reason=str(error))

    def _unpack(self, packed: bytes) -> Result[RouteTable, TrackwheelError]:
        try:
            content = zlib.decompress(packed)
        except zlib.error as error:
            problem = Problem("bad_routes", "unpack", "peer", str(error))
            return Failure(TrackwheelError(problem))
        return self._source.decode_routes(content)

    def _take_targets_push(self, sender: PeerIdentity, push: TargetsPush) -> None:
        changed = self._targets.take_push(push, time.monotonic())
        self._peer_flow.moved(self._how_far)
        if not changed:
            return
        self._targets_changed(sender.box_id)
        if self._watching.watches(time.monotonic()):
            self._pass_on(push, self._near_peers)

    def _take_beacon(self, sender: PeerIdentity, beacon: DirectoryBeacon) -> None:
        now = time.monotonic()
        if sender.failure_domain == self._hub.identity.failure_domain:
            self._watching.heard(sender.address, beacon.goes_by, now)
        if beacon.goes_by == sender.address:
            self._peer_flow.heard(
                sender.address, beacon.routes_version, beacon.targets_newest, now, self._how_far
            )
        behind = self._lag.asks(self._targets.newest, beacon.targets_newest, self.synced, now)
        if beacon.routes_version > self.version or behind:
            self._ask(sender.address, targets_wanted=True)

    @property
    def _how_far(self) -> HowFar:
        return HowFar(self.version, self._targets.newest)

    def _take_ask(self, sender: PeerIdentity, ask: DirectoryAsk) -> None:
        if self.table is not None and ask.routes_version < self.version:
            self._hub.send(sender.address, RoutesPush(self.version, self._packed))
        if ask.targets_wanted and ask.targets_newest < self._targets.newest:
            self._hub.send(
                sender.address, self._targets.changes(ask.targets_newest, time.monotonic())
            )

    def _ask(self, address: str, targets_wanted: bool) -> None:
        ask = DirectoryAsk(self.version, self._targets.newest, targets_wanted)
        self._hub.send(address, ask)

    def _adopt(self, table: RouteTable, packed: bytes, source: str) -> None:
        """Put a newer configuration in force; an older one never is."""
        if table.version <= self.version:
            return
        before = self.version
        self.table, self._packed = table, packed
        self._peer_flow.moved(self._how_far)
        self._log.write("routes_in_force", version=table.version, before=before, source=source)
        for handler in self._on_routes:
            handler(table)
        if self._watching.watches(time.monotonic()):
            self._pass_on(RoutesPush(table.version, packed), self._near_peers)

    def _targets_changed(self, source: str) -> None:
        targets_by_service = self._targets.targets_by_service()
        count = sum(len(targets) for targets in targets_by_service.values())
        self._log.write("targets", source=source, newest=self._targets.newest, count=count)
        for handler in self._on_targets:
            handler(targets_by_service)

    def _pass_on(
        self, message: RoutesPush | TargetsPush | DirectoryBeacon, addresses: Iterable[str]
    ) -> None:
        for address in addresses:
            self._hub.send(address, message)

    async def _send_beacons(self) -> None:
        """Say how far this box is, now and then, and at once when that is another answer.

        The boxes after this one must hear that it reads before they begin themselves, and all of
        them that the store is back.
        """
        while True:
            await anyio.sleep(LOOK_PERIOD_S)
            now = time.monotonic()
            self._note_watching(self._watching.watches(now))
            if not self._watched:
                continue
            goes_by = self.goes_by(now)
            if now < self._beacon_at and bool(goes_by) is bool(self._told_goes_by):
                continue
            self._beacon_at = now + BEACON_PERIOD_S - LOOK_PERIOD_S / 2
            self._told_goes_by = goes_by
            beacon = DirectoryBeacon(self.version, self._targets.newest, goes_by)
            self._pass_on(beacon, self._near_peers + self._far_watchers)

    def _note_watching(self, watches: bool) -> None:
        """Note when this box begins and ends to read the store."""
        if watches is self._watched:
            return
        self._watched = watches
        self._beacon_at = 0.0
        self._log.write("store_watch", reads=watches, boxes_before=self._watching.boxes_before)

    async def _expire(self) -> None:
        while True:
            await anyio.sleep(LOOK_PERIOD_S)
            now = time.monotonic()
            if self._targets.next_expiry() <= now and self._targets.expire(now):
                self._targets_changed("expiry")

    def _store_answered(self, flow: StoreFlow, late_s: float) -> None:
        """Take an answer; one that is late says that the store was away while it was awaited."""
        if late_s > SLOW_ANSWER_S:
            self._targets.store_lost()
        now = time.monotonic()
        self._targets.store_back(now)
        if flow.answered(now):
            self._log.write("store_regained", watch=flow.name)

    def _store_failed(self, flow: StoreFlow, error: TrackwheelError) -> None:
        self._targets.store_lost()
        if flow.failed():
            self._log.write("store_lost", watch=flow.name, reason=str(error))
