"""The directory service: applies updates of the store and of peers and passes them on."""

import zlib
from collections.abc import Callable, Iterable, Sequence

import anyio
from returns.result import Failure, Result, Success

from trackwheel.clock import steady_now
from trackwheel.directory.const import (
    BEACON_LIFETIME_S,
    COMPRESSION_LEVEL,
    OPERATOR_REWRITE_S,
    POLL_PERIOD_S,
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
from trackwheel.directory.peer_notifier import PeerNotifier
from trackwheel.directory.revisions import format_revision
from trackwheel.directory.store_reader import StoreReader
from trackwheel.directory.sync_status import LagDetector, PeerSync, SyncPosition
from trackwheel.directory.targets import TargetDirectory
from trackwheel.directory.targets_age import RemoteWatcherRotation, TargetsAge
from trackwheel.directory.watcher_election import WatcherElection
from trackwheel.errors import Problem, TrackwheelError
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.relay.models import Target
from trackwheel.routing.models import RouteTable
from trackwheel.telemetry.events import EventLog


class DirectoryService:
    """Keep routes and targets in sync with the store, directly or through peers."""

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
        self._compressed_routes = b""
        self._evacuations = Evacuations()
        self._operator_state_settled_at = float("inf")
        self._reader = StoreReader(source, targets, election, self, log, drain_s)
        self._lag = LagDetector(self._reader.targets_pause_s)
        self._peer_sync = PeerSync()
        self._targets_age = TargetsAge(steady_now())
        self._remote_watchers = RemoteWatcherRotation(self._own_address, drain_s)
        self._divergence = DivergenceDetector(2 * self._reader.targets_pause_s)
        self._notifier = PeerNotifier(
            hub, election, log, self.synced_via, self._beacon, self._asks_remote_watchers
        )
        self._on_routes: list[Callable[[RouteTable], None]] = []
        self._on_targets: list[Callable[[dict[str, tuple[Target, ...]]], None]] = []
        self.targets_asked = 0
        """How often this box has asked another failure domain for changes of targets."""
        self.table: RouteTable | None = None
        self._newest_heard_version = 0
        hub.register(DirectoryBeacon, self._receive_beacon)
        hub.register(DirectoryAsk, self._receive_ask)
        hub.register(RoutesPush, self._receive_routes)
        hub.register(EvacuationsPush, self._receive_evacuations)
        hub.register(TargetsPush, self._receive_targets)

    @property
    def version(self) -> int:
        """Return the version in force here, 0 when there is none."""
        return self.table.version if self.table is not None else 0

    @property
    def ready(self) -> bool:
        """Return whether routes and targets are known."""
        return self.table is not None and self._targets.is_loaded

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the failure domains whose targets get no new work, as far as is known here."""
        return self._evacuations.domains

    @property
    def synced(self) -> bool:
        """Return whether the store has answered both watches of this box recently."""
        return self._reader.in_sync(steady_now())

    @property
    def targets_age_s(self) -> float:
        """Return for how long changes of targets may be unknown here (seconds)."""
        return self._targets_age.age_s(steady_now())

    @property
    def store_calls(self) -> int:
        """Return how many calls this box has made on the store."""
        return self._reader.calls

    def on_routes(self, handler: Callable[[RouteTable], None]) -> None:
        """Call a handler with each new configuration."""
        self._on_routes.append(handler)

    def on_targets(self, handler: Callable[[dict[str, tuple[Target, ...]]], None]) -> None:
        """Call a handler with the targets whenever they change."""
        self._on_targets.append(handler)

    def synced_via(self, now: float) -> str:
        """Return the address of the box through which this one is in sync, or an empty string."""
        if self._reader.in_sync(now):
            return self._own_address
        return self._peer_sync.synced_peer(now)

    def knows_newest_version(self, now: float) -> bool:
        """Return whether this box is in sync and no peer has told of a newer version."""
        return bool(self.synced_via(now)) and self.version >= self._newest_heard_version

    def set_peers(
        self, before: Sequence[str], domain_peers: Iterable[str], remote_watchers: Iterable[str]
    ) -> None:
        """Set the predecessors in the watcher election and the peers that get updates and beacons.

        Watchers of other domains read the store too; one that cannot asks for what it lacks.
        """
        self._election.set_predecessors(before)
        watchers = tuple(remote_watchers)
        self._notifier.set_peers(domain_peers, watchers)
        self._remote_watchers.set_peers(len(before), watchers)

    def peer_version(self, address: str, version: int) -> None:
        """Handle the version that a peer, often in another region, has in force.

        Targets are requested from it only while no watcher is heard of: one of the own domain sends
        them too.
        """
        self._newest_heard_version = max(self._newest_heard_version, version)
        if version > self.version:
            no_watcher = self._election.should_watch(steady_now()) and not self.synced
            self._send_ask(address, targets_wanted=no_watcher)

    async def run(self) -> None:
        """Keep in sync until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._reader.run)
            tasks.start_soon(self._notifier.run)
            tasks.start_soon(self._expire)
            tasks.start_soon(self._ask_remote_watchers)

    def apply_operator_state(self, read: OperatorStateRead) -> int | None:
        """Apply a read or a change of the operator's keys.

        Return the revision from which to continue the watch, None to request a complete read.
        """
        if read.table is not None:
            self._put_in_force(read.table, zlib.compress(read.content, COMPRESSION_LEVEL), "store")
        if not read.complete:
            self._merge_evacuations(read.evacuations, "store")
        elif self._evacuations.merge_snapshot(read.evacuations, read.as_of):
            self._evacuations_changed("store")
        return None if self._rereads_operator_state(read.complete, steady_now()) else read.as_of

    def _rereads_operator_state(self, complete: bool, now: float) -> bool:
        """Return whether a restored store has had time to get back what it lacks."""
        if complete:
            rewrite_s = OPERATOR_REWRITE_S if self._evacuations.after_restore else float("inf")
            self._operator_state_settled_at = now + rewrite_s
        return now >= self._operator_state_settled_at

    def apply_targets(self, read: TargetsRead) -> int:
        """Apply a read or changes of targets; return the revision from which to watch on."""
        before = self._targets.known_revision
        now = steady_now()
        changed = self._targets.apply(read, now)
        if not read.more:
            self._targets_age.record_answer(now)
        if changed:
            self._targets_changed("store")
        if changed or self._targets.known_revision > before:
            push = self._targets.changes_since(before, now)
            self._log_read(read, push)
            self._notifier.broadcast(push)
        return read.as_of

    def _log_read(self, read: TargetsRead, push: TargetsPush) -> None:
        """Log up to which revision the store was read, and what is sent to how many peers."""
        self._log.write(
            "targets_read",
            after=None if read.since is None else format_revision(read.since),
            as_of=format_revision(read.as_of),
            entries=len(read.entries),
            gone=len(read.removed),
            peers=self._notifier.domain_peer_count,
            told_after=format_revision(push.since),
            told_newest=format_revision(push.known_revision),
            told=len(push.entries) + len(push.removed),
        )

    def apply_copy(self, operator_state: OperatorStateRead, targets: TargetsRead) -> None:
        """Apply a copy of the store that may be some seconds old."""
        if operator_state.table is not None:
            self._put_in_force(
                operator_state.table,
                zlib.compress(operator_state.content, COMPRESSION_LEVEL),
                "copy",
            )
        # An evacuation that the copy lacks may be newer than the copy, so it cancels none.
        self._merge_evacuations(operator_state.evacuations, "copy")
        if self._targets.apply_copy(targets.entries, steady_now()):
            self._targets_changed("copy")

    def _receive_routes(self, sender: PeerIdentity, push: RoutesPush) -> None:
        if push.version <= self.version:
            return
        match self._decompress(push.compressed):
            case Success(table):
                self._put_in_force(table, push.compressed, sender.box_id)
            case Failure(error):
                self._log.write("routes_rejected", source=sender.box_id, reason=str(error))

    def _decompress(self, compressed: bytes) -> Result[RouteTable, TrackwheelError]:
        try:
            content = zlib.decompress(compressed)
        except zlib.error as error:
            problem = Problem("bad_routes", "unpack", "peer", str(error))
            return Failure(TrackwheelError(problem))
        return self._source.decode_routes(content)

    def _receive_evacuations(self, sender: PeerIdentity, push: EvacuationsPush) -> None:
        self._merge_evacuations(push.evacuations, sender.box_id)

    def _merge_evacuations(self, evacuations: Iterable[Evacuation], source: str) -> None:
        if self._evacuations.merge(evacuations):
            self._evacuations_changed(source)

    def _receive_targets(self, sender: PeerIdentity, push: TargetsPush) -> None:
        before = self._targets.known_revision
        changed = self._targets.apply_push(push, steady_now())
        self._peer_sync.record_progress(self._position)
        self._targets_age.record_progress(self._targets.known_revision)
        if changed:
            self._targets_changed(sender.box_id)
        if changed or self._targets.known_revision > before:
            self._notifier.forward(push)

    def _receive_beacon(self, sender: PeerIdentity, beacon: DirectoryBeacon) -> None:
        if not (beacon.synced_ago_s >= 0.0 and beacon.targets_age_s >= 0.0):
            # Ages below zero would make this box rely on the sender for good; NaN is refused too.
            self._log.write("peer_message_rejected", peer=sender.box_id, message="DirectoryBeacon")
            return
        self._merge_evacuations(beacon.evacuations, sender.box_id)
        self._newest_heard_version = max(self._newest_heard_version, beacon.routes_version)
        now = steady_now()
        if sender.failure_domain == self._hub.identity.failure_domain:
            self._election.receive_beacon(
                sender.address, beacon.synced_via, now, beacon.synced_ago_s
            )
        if beacon.synced_via == sender.address:
            self._peer_sync.record_peer(
                sender.address, beacon.routes_version, beacon.targets_revision, now, self._position
            )
        self._targets_age.record_peer(
            beacon.targets_revision, now - beacon.targets_age_s, self._targets.known_revision, now
        )
        self._compare(sender, beacon, now)
        behind = self._lag.should_ask(
            self._targets.known_revision, beacon.targets_revision, self.synced, now
        )
        if beacon.routes_version > self.version or behind:
            self._send_ask(sender.address, targets_wanted=True)

    def _compare(self, sender: PeerIdentity, beacon: DirectoryBeacon, now: float) -> None:
        """Request everything where this box differs from one that reads the store.

        A box that reads the store itself need not: it holds what the store answered.
        """
        if beacon.synced_via != sender.address or self.synced:
            return
        if beacon.targets_revision != self._targets.known_revision:
            self._divergence.record_other_revision()
        elif beacon.targets_digest == self._targets.digest.value:
            self._divergence.record_match()
        elif self._divergence.record_mismatch(now):
            self._log.write("targets_differ", peer=sender.box_id)
            self._send_ask(sender.address, targets_wanted=True, targets_revision=0)

    @property
    def _position(self) -> SyncPosition:
        return SyncPosition(self.version, self._targets.known_revision)

    def _receive_ask(self, sender: PeerIdentity, ask: DirectoryAsk) -> None:
        if self._evacuations.latest:
            self._hub.send(sender.address, EvacuationsPush(self._evacuations.latest))
        if self.table is not None and ask.routes_version < self.version:
            self._hub.send(sender.address, RoutesPush(self.version, self._compressed_routes))
        if ask.targets_wanted and ask.targets_revision < self._targets.known_revision:
            self._hub.send(
                sender.address, self._targets.changes_since(ask.targets_revision, steady_now())
            )

    def _send_ask(
        self, address: str, targets_wanted: bool, targets_revision: int | None = None
    ) -> None:
        """Ask for what came after the newest change known here, or after another revision."""
        newest = self._targets.known_revision if targets_revision is None else targets_revision
        self._hub.send(address, DirectoryAsk(self.version, newest, targets_wanted))

    def _put_in_force(self, table: RouteTable, compressed: bytes, source: str) -> None:
        """Put a newer configuration in force; an older one is ignored."""
        if table.version <= self.version:
            return
        before = self.version
        self.table, self._compressed_routes = table, compressed
        self._peer_sync.record_progress(self._position)
        self._log.write("routes_in_force", version=table.version, before=before, source=source)
        for handler in self._on_routes:
            handler(table)
        self._notifier.forward(RoutesPush(table.version, compressed))

    def _evacuations_changed(self, source: str) -> None:
        """Stop new work for the domains that are evacuated now, and notify the failure domain."""
        self._log.write("evacuations", domains=",".join(sorted(self.evacuated)), source=source)
        self._targets_changed(source)
        self._notifier.forward(EvacuationsPush(self._evacuations.latest))

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
        """Return the beacon of this box."""
        synced_via = self.synced_via(now)
        peer_age_s = min(BEACON_LIFETIME_S, self._peer_sync.peer_age_s(now))
        return DirectoryBeacon(
            self.version,
            self._targets.known_revision,
            synced_via,
            self._evacuations.latest,
            self._targets.digest.value,
            0.0 if synced_via == self._own_address else peer_age_s,
            self._targets_age.age_s(now),
        )

    async def _expire(self) -> None:
        while True:
            await anyio.sleep(POLL_PERIOD_S)
            now = steady_now()
            if self._targets.next_expiry() <= now and self._targets.expire(now):
                self._targets_changed("expiry")

    def _asks_remote_watchers(self, now: float) -> bool:
        """Return whether the targets known here are too old, so that this box asks for changes.

        A box that has just started knows none yet, and would be sent all.
        """
        return self._targets.known_revision > 0 and self._remote_watchers.asks(
            self._targets_age.age_s(now)
        )

    async def _ask_remote_watchers(self) -> None:
        while True:
            await anyio.sleep(POLL_PERIOD_S)
            now = steady_now()
            if not self._asks_remote_watchers(now):
                continue
            age_s = self._targets_age.age_s(now)
            address = self._remote_watchers.due(age_s, now)
            if address:
                self.targets_asked += 1
                self._log.write("targets_asked", peer=address, age_s=round(age_s, 2))
                self._send_ask(address, targets_wanted=True)
