"""The service that keeps the directory: what the store and peers tell, passed on to peers."""

import zlib
from collections.abc import Callable, Iterable, Sequence

import anyio
from returns.result import Failure, Result, Success

from trackwheel.clock import steady_now
from trackwheel.directory.const import (
    BEACON_LIFETIME_S,
    LOOK_PERIOD_S,
    ORDERS_WRITTEN_AGAIN_S,
    PACK_LEVEL,
)
from trackwheel.directory.divergence import DivergenceDetector
from trackwheel.directory.evacuations import Evacuations
from trackwheel.directory.models import (
    DirectoryAsk,
    DirectoryBeacon,
    DirectorySource,
    Evacuation,
    EvacuationsPush,
    OperatorStateRead,
    RoutesPush,
    TargetsPush,
    TargetsRead,
)
from trackwheel.directory.reading import StoreReader
from trackwheel.directory.revisions import format_revision
from trackwheel.directory.sync_status import LagDetector, PeerSync, SyncPosition
from trackwheel.directory.targets import TargetDirectory
from trackwheel.directory.telling import PeerTelling
from trackwheel.directory.watcher_election import WatcherElection
from trackwheel.errors import Problem, TrackwheelError
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.relay.models import Target
from trackwheel.routing.models import RouteTable
from trackwheel.telemetry.events import EventLog


class DirectoryService:
    """Keep routes and targets in step with the store, directly or through peers."""

    def __init__(
        self,
        hub: Hub,
        source: DirectorySource,
        targets: TargetDirectory,
        election: WatcherElection,
        log: EventLog,
        drain_s: float,
    ) -> None:
        self._hub = hub
        self._own_address = hub.identity.address
        self._source = source
        self._targets = targets
        self._election = election
        self._log = log
        self._packed = b""
        self._evacuations = Evacuations()
        self._orders_settled_at = float("inf")
        self._reader = StoreReader(source, targets, election, self, log, drain_s)
        self._lag = LagDetector(self._reader.targets_rest_s)
        self._peer_sync = PeerSync()
        self._divergence = DivergenceDetector(2 * self._reader.targets_rest_s)
        self._telling = PeerTelling(hub, election, log, self.synced_via, self._beacon)
        self._on_routes: list[Callable[[RouteTable], None]] = []
        self._on_targets: list[Callable[[dict[str, tuple[Target, ...]]], None]] = []
        self.table: RouteTable | None = None
        hub.register(DirectoryBeacon, self._take_beacon)
        hub.register(DirectoryAsk, self._take_ask)
        hub.register(RoutesPush, self._take_routes_push)
        hub.register(EvacuationsPush, self._take_evacuations_push)
        hub.register(TargetsPush, self._take_targets_push)

    @property
    def version(self) -> int:
        """Return the version in force here, 0 when none is."""
        return self.table.version if self.table is not None else 0

    @property
    def ready(self) -> bool:
        """Return whether routes and targets are known."""
        return self.table is not None and self._targets.has_targets

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the failure domains whose targets get nothing more, as far as is known here."""
        return self._evacuations.domains

    @property
    def synced(self) -> bool:
        """Return whether the store has answered both watches of this box lately."""
        return self._reader.in_sync(steady_now())

    @property
    def store_calls(self) -> int:
        """Return how many calls this box has made on the store."""
        return self._reader.calls

    def on_routes(self, handler: Callable[[RouteTable], None]) -> None:
        """Call a handler with each new configuration."""
        self._on_routes.append(handler)

    def on_targets(self, handler: Callable[[dict[str, tuple[Target, ...]]], None]) -> None:
        """Call a handler with the targets whenever they are others."""
        self._on_targets.append(handler)

    def synced_via(self, now: float) -> str:
        """Return the box by whose reading of the store this one is in step, or nothing."""
        if self._reader.in_sync(now):
            return self._own_address
        return self._peer_sync.synced_peer(now)

    def set_peers(
        self, before: Sequence[str], domain_peers: Iterable[str], remote_watchers: Iterable[str]
    ) -> None:
        """Take who comes before this box as a watcher, whom it passes news on to, whom it tells.

        Watchers of other domains read the store too; one that cannot asks for what it lacks.
        """
        self._election.set_predecessors(before)
        self._telling.set_peers(domain_peers, remote_watchers)

    def peer_version(self, address: str, version: int) -> None:
        """Take the version that a peer, often in another region, says it has in force.

        Its targets are asked for only while no watcher is heard from: one near sends them too.
        """
        if version > self.version:
            unheard = self._election.should_watch(steady_now()) and not self.synced
            self._ask(address, targets_wanted=unheard)

    async def run(self) -> None:
        """Keep in step until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._reader.run)
            tasks.start_soon(self._telling.run)
            tasks.start_soon(self._expire)

    def take_orders(self, read: OperatorStateRead) -> int | None:
        """Take a reading or a change of the store.

        Return the revision from which to watch on, None when all is to be read once more.
        """
        if read.table is not None:
            self._adopt(read.table, zlib.compress(read.content, PACK_LEVEL), "store")
        if not read.complete:
            self._take_evacuations(read.evacuations, "store")
        elif self._evacuations.merge_snapshot(read.evacuations, read.as_of):
            self._evacuations_changed("store")
        return None if self._reads_orders_again(read.complete, steady_now()) else read.as_of

    def _reads_orders_again(self, whole: bool, now: float) -> bool:
        """Return whether what a store lacked that came back from a copy is written again by now."""
        if whole:
            lasts_s = ORDERS_WRITTEN_AGAIN_S if self._evacuations.after_restore else float("inf")
            self._orders_settled_at = now + lasts_s
        return now >= self._orders_settled_at

    def take_targets(self, read: TargetsRead) -> int:
        """Take a reading or changes of the store; return the revision from which to watch on."""
        before = self._targets.known_revision
        changed = self._targets.apply(read, steady_now())
        if changed:
            self._targets_changed("store")
        if changed or self._targets.known_revision > before:
            push = self._targets.changes_since(before, steady_now())
            self._note_read(read, push)
            self._telling.pass_on(push)
        return read.as_of

    def _note_read(self, read: TargetsRead, push: TargetsPush) -> None:
        """Note up to where the store was read, and what of it goes to how many peers."""
        self._log.write(
            "targets_read",
            after=None if read.since is None else format_revision(read.since),
            as_of=format_revision(read.as_of),
            entries=len(read.entries),
            gone=len(read.removed),
            peers=self._telling.domain_peers,
            told_after=format_revision(push.since),
            told_newest=format_revision(push.known_revision),
            told=len(push.entries) + len(push.removed),
        )

    def take_copy(self, orders: OperatorStateRead, targets: TargetsRead) -> None:
        """Take a copy of the store that may be seconds old."""
        if orders.table is not None:
            self._adopt(orders.table, zlib.compress(orders.content, PACK_LEVEL), "copy")
        # What a copy lacks may have been asked for since, so that it takes nothing back.
        self._take_evacuations(orders.evacuations, "copy")
        if self._targets.apply_copy(targets.entries, steady_now()):
            self._targets_changed("copy")

    def _take_routes_push(self, sender: PeerIdentity, push: RoutesPush) -> None:
        if push.version <= self.version:
            return
        match self._unpack(push.compressed):
            case Success(table):
                self._adopt(table, push.compressed, sender.box_id)
            case Failure(error):
                self._log.write("routes_rejected", source=sender.box_id, reason=str(error))

    def _unpack(self, packed: bytes) -> Result[RouteTable, TrackwheelError]:
        try:
            content = zlib.decompress(packed)
        except zlib.error as error:
            problem = Problem("bad_routes", "unpack", "peer", str(error))
            return Failure(TrackwheelError(problem))
        return self._source.decode_routes(content)

    def _take_evacuations_push(self, sender: PeerIdentity, push: EvacuationsPush) -> None:
        self._take_evacuations(push.evacuations, sender.box_id)

    def _take_evacuations(self, words: Iterable[Evacuation], source: str) -> None:
        if self._evacuations.merge(words):
            self._evacuations_changed(source)

    def _take_targets_push(self, sender: PeerIdentity, push: TargetsPush) -> None:
        before = self._targets.known_revision
        changed = self._targets.apply_push(push, steady_now())
        self._peer_sync.record_progress(self._position)
        if changed:
            self._targets_changed(sender.box_id)
        if changed or self._targets.known_revision > before:
            self._telling.tell_near(push)

    def _take_beacon(self, sender: PeerIdentity, beacon: DirectoryBeacon) -> None:
        self._take_evacuations(beacon.evacuations, sender.box_id)
        now = steady_now()
        if sender.failure_domain == self._hub.identity.failure_domain:
            self._election.receive_beacon(
                sender.address, beacon.synced_via, now, beacon.synced_ago_s
            )
        if beacon.synced_via == sender.address:
            self._peer_sync.record_peer(
                sender.address, beacon.routes_version, beacon.targets_revision, now, self._position
            )
        self._compare(sender, beacon, now)
        behind = self._lag.should_ask(
            self._targets.known_revision, beacon.targets_revision, self.synced, now
        )
        if beacon.routes_version > self.version or behind:
            self._ask(sender.address, targets_wanted=True)

    def _compare(self, sender: PeerIdentity, beacon: DirectoryBeacon, now: float) -> None:
        """Ask for everything where this box differs from one that reads the store.

        A box that reads it itself has no need to: what it holds is what the store answered.
        """
        if beacon.synced_via != sender.address or self.synced:
            return
        if beacon.targets_revision != self._targets.known_revision:
            self._divergence.record_other_revision()
        elif beacon.targets_digest == self._targets.digest.value:
            self._divergence.record_match()
        elif self._divergence.record_mismatch(now):
            self._log.write("targets_differ", peer=sender.box_id)
            self._ask(sender.address, targets_wanted=True, targets_revision=0)

    @property
    def _position(self) -> SyncPosition:
        return SyncPosition(self.version, self._targets.known_revision)

    def _take_ask(self, sender: PeerIdentity, ask: DirectoryAsk) -> None:
        if self._evacuations.latest:
            self._hub.send(sender.address, EvacuationsPush(self._evacuations.latest))
        if self.table is not None and ask.routes_version < self.version:
            self._hub.send(sender.address, RoutesPush(self.version, self._packed))
        if ask.targets_wanted and ask.targets_revision < self._targets.known_revision:
            self._hub.send(
                sender.address, self._targets.changes_since(ask.targets_revision, steady_now())
            )

    def _ask(self, address: str, targets_wanted: bool, targets_revision: int | None = None) -> None:
        """Ask for what came after the own newest change, or after another one."""
        newest = self._targets.known_revision if targets_revision is None else targets_revision
        self._hub.send(address, DirectoryAsk(self.version, newest, targets_wanted))

    def _adopt(self, table: RouteTable, packed: bytes, source: str) -> None:
        """Put a newer configuration in force; an older one never is."""
        if table.version <= self.version:
            return
        before = self.version
        self.table, self._packed = table, packed
        self._peer_sync.record_progress(self._position)
        self._log.write("routes_in_force", version=table.version, before=before, source=source)
        for handler in self._on_routes:
            handler(table)
        self._telling.tell_near(RoutesPush(table.version, packed))

    def _evacuations_changed(self, source: str) -> None:
        """Let no new work go to the domains that are evacuated now, and tell the boxes nearby."""
        self._log.write("evacuations", domains=",".join(sorted(self.evacuated)), source=source)
        self._targets_changed(source)
        self._telling.tell_near(EvacuationsPush(self._evacuations.latest))

    def _targets_changed(self, source: str) -> None:
        targets_by_service = self._targets.targets_by_service(self.evacuated)
        count = sum(len(targets) for targets in targets_by_service.values())
        digest = self._targets.digest
        self._log.write(
            "targets",
            source=source,
            newest=format_revision(self._targets.known_revision),
            count=count,
            leaving=digest.leaving_count,
            digest=f"{digest.value:08x}",
        )
        for handler in self._on_targets:
            handler(targets_by_service)

    def _beacon(self, now: float) -> DirectoryBeacon:
        """Return how far this box is."""
        synced_via = self.synced_via(now)
        ago_s = min(BEACON_LIFETIME_S, self._peer_sync.peer_age_s(now))
        return DirectoryBeacon(
            self.version,
            self._targets.known_revision,
            synced_via,
            self._evacuations.latest,
            self._targets.digest.value,
            0.0 if synced_via == self._own_address else ago_s,
        )

    async def _expire(self) -> None:
        while True:
            await anyio.sleep(LOOK_PERIOD_S)
            now = steady_now()
            if self._targets.next_expiry() <= now and self._targets.expire(now):
                self._targets_changed("expiry")
