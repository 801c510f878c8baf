"""The composition root of a box on the platform: it wires the parts, runs and stops them."""

import asyncio
import os
import signal
import time
from pathlib import Path
from typing import Final

import anyio

from trackwheel.directory.models import DIRECTORY_MESSAGES
from trackwheel.directory.service import DirectoryService
from trackwheel.directory.targets import TargetDirectory
from trackwheel.directory.watching import Watching
from trackwheel.fleet.membership import Timing
from trackwheel.fleet.models import FLEET_MESSAGES, Member, Status
from trackwheel.fleet.service import FleetService
from trackwheel.garbage import tune_garbage_collection
from trackwheel.http1.models import Request, Response
from trackwheel.http1.server import Exchange, ServerConnection, ServerState
from trackwheel.peers.codec import Codec
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.platform.names import PATH_READY
from trackwheel.platform.seeds import SeedList
from trackwheel.platform.settings import SETTINGS_VARIABLE, BoxSettings, read_settings
from trackwheel.platform.store import StoreClient
from trackwheel.platform.wire import PlatformWire
from trackwheel.relay.board import Board
from trackwheel.relay.budget import RepeatBudget
from trackwheel.relay.gatherers import choose_gatherers
from trackwheel.relay.groups import PeerGroups
from trackwheel.relay.models import Place, Target
from trackwheel.relay.peers import RELAY_MESSAGES, PeerBox
from trackwheel.relay.service import RelayService
from trackwheel.relay.transport import TargetTransport
from trackwheel.routing.models import Limits, RouteTable
from trackwheel.settings import split_address
from trackwheel.telemetry.events import EventLog
from trackwheel.telemetry.figures import Figures

ALL_MESSAGES: Final = (*FLEET_MESSAGES, *DIRECTORY_MESSAGES, *RELAY_MESSAGES)
TIMING: Final = Timing(2.0, 0.5, 1.5, rumour_sends=1)
"""Probe period, wait for its answer, suspicion (seconds) and tellings of rumours of the membership.

Requests go around a peer that shows no life after 40 ms, whatever the membership says, so that
probes may be rare: at 0.5 s they were more than half of the bytes between 60 boxes. Links lose
nothing, and digests find what a rumour missed, so that each is told once for a doubling."""
WATCHERS_PER_DOMAIN: Final = 1
"""Boxes of one failure domain that read the store while all is well."""
STORE_TIMEOUT_S: Final = 1.5
"""Longest wait for an answer of the store beyond the time that a watch may rest."""
FIRST_LIMITS: Final = Limits(16_384, 262_144, 3.0, 15.0)
"""What clients may send before a configuration is known."""
METRICS_VARIABLE: Final = "TRACKWHEEL_METRICS_PORT"
"""Environment variable with the port of the figures; without it none are served."""
PATH_METRICS: Final = b"/metrics"
BACKLOG: Final = 1024
LEAST_LINGER_S: Final = 3.2
"""A stopping box serves on at least so long: clients are sent to it until two checks missed."""
STOP_MARGIN_S: Final = 0.15
"""Time kept between the last answer of a stopping box and the platform's kill."""
CLOSE_WAIT_S: Final = 0.05
STOP_LOOK_S: Final = 0.05
SUMMARY_PERIOD_S: Final = 10.0
"""How often a box writes its counts."""


class _NoTls:
    """Links between boxes without TLS: the platform's network carries no certificates."""

    server = None
    client = None


class EntryBox:
    """Hold the parts of one box."""

    def __init__(self, settings: BoxSettings) -> None:
        self.settings = settings
        now = time.monotonic()
        place = settings.place
        identity = PeerIdentity(
            settings.box_id,
            os.urandom(6).hex(),
            settings.peers,
            place.region,
            place.failure_domain,
        )
        self.log = EventLog(settings.box_id)
        self.figures = Figures()
        self.hub = Hub(identity, Codec(ALL_MESSAGES), _NoTls())
        self.fleet = FleetService(
            self.hub,
            _own_member(identity),
            TIMING,
            SeedList(settings.seeds),
            seed=os.getpid(),
            watchers_per_domain=WATCHERS_PER_DOMAIN,
        )
        self.store = StoreClient(settings.store, STORE_TIMEOUT_S, self.log)
        self.directory = DirectoryService(
            self.hub,
            self.store,
            TargetDirectory(settings.region_by_failure_domain),
            Watching(now, first=settings.peers in settings.seeds),
            self.log,
        )
        wire = PlatformWire()
        self.board = Board(place, seed=os.getpid())
        self.budget = RepeatBudget(settings.budget)
        self.transport = TargetTransport(wire, self.board, time.monotonic, self.log)
        self.groups = PeerGroups(self.hub, wire, self.board, self.budget, self.transport, self.log)
        self.relay = RelayService(
            wire,
            self.board,
            self.budget,
            self.transport,
            self.groups,
            self.log,
            self.figures,
            place,
        )
        self.clients = ServerState(
            self.relay.handle,
            self._limits,
            lambda status: self.log.write("refused_unread", status=status),
        )
        self.readiness = ServerState(self._answer_readiness, self._limits)
        self.metrics = ServerState(self._answer_metrics, self._limits)
        self.stopping = False
        self._wire_parts()
        self._add_figures()

    @property
    def ready(self) -> bool:
        """Return whether clients should be sent here."""
        return self.directory.ready and not self.stopping

    @property
    def busy(self) -> bool:
        """Return whether anything is under way here."""
        return bool(self.clients.busy or self.groups.taken)

    def stop(self) -> None:
        """Begin to stop: take no new clients, go on with those who are here."""
        self.stopping = True
        self.clients.stopping = True
        self.fleet.leave()

    def _wire_parts(self) -> None:
        self.fleet.on_members(self._take_members)
        self.fleet.on_revision(self.directory.peer_version)
        self.directory.on_routes(self._take_routes)
        self.directory.on_targets(self._take_targets)

    def _take_members(self, members: tuple[Member, ...]) -> None:
        own = self.fleet.own
        peers = [member for member in members if member.address != own.address]
        near = [m.address for m in peers if m.failure_domain == own.failure_domain]
        far_watchers = [
            m.address
            for m in self.fleet.watchers()
            if m.failure_domain != own.failure_domain and m.address != own.address
        ]
        self.directory.set_peers(self.fleet.is_watcher(), near, far_watchers)
        boxes = [
            PeerBox(m.address, Place(m.region, m.failure_domain))
            for m in members
            if m.status is Status.ALIVE
        ]
        gatherers = choose_gatherers(boxes)
        others = [box for box in boxes if box.address != own.address]
        self.relay.set_peers(
            tuple(box for box in others if box.address in gatherers), own.address in gatherers
        )
        self.budget.set_members(len(members))
        self._set_connection_limits()

    def _take_routes(self, table: RouteTable) -> None:
        self.fleet.set_files_revision(table.version)
        self.relay.set_table(table)
        self._set_connection_limits()

    def _take_targets(self, targets_by_service: dict[str, tuple[Target, ...]]) -> None:
        self.board.set_targets(targets_by_service)
        instances = {t.instance for found in targets_by_service.values() for t in found}
        self.transport.keep_only(instances)

    def _set_connection_limits(self) -> None:
        table = self.directory.table
        if table is None:
            return
        limits = {rule.name: rule.max_connections for rule in table.service_by_name.values()}
        self.transport.set_limits(limits, len(self.fleet.members))

    def _limits(self) -> Limits:
        table = self.directory.table
        return FIRST_LIMITS if table is None else table.limits

    def _add_figures(self) -> None:
        figures, directory = self.figures, self.directory
        figures.add_counts(
            "requests_total",
            "Requests by how they ended",
            ("kind",),
            lambda: self.relay.ended_by_kind,
        )
        figures.add_counts(
            "target_sends_total",
            "Requests sent to targets, by why and how far",
            ("reason", "distance"),
            lambda: self.transport.sent_by_reason,
        )
        figures.add_counts(
            "target_ends_total",
            "Requests at targets by how they ended",
            ("outcome",),
            lambda: self.transport.ended_by_outcome,
        )
        for name, text, reading in (
            ("routes_version", "Version in force", lambda: float(directory.version)),
            ("store_in_step", "1 if the store answered lately", lambda: float(directory.synced)),
            ("store_calls", "Calls on the store", lambda: float(directory.store_calls)),
            ("members", "Boxes that are known", lambda: float(len(self.fleet.members))),
            ("repeats_denied", "Repeats without budget", lambda: float(self.budget.denied)),
            ("peer_bytes", "Bytes sent to boxes", lambda: float(self.hub.bytes_sent)),
            ("under_way", "Requests under way", lambda: float(self.clients.busy)),
            ("lines_dropped", "Log lines dropped", lambda: float(self.log.dropped)),
        ):
            figures.add_reading(name, text, reading)

    def _answer_metrics(self, request: Request, exchange: Exchange) -> None:
        if request.target != PATH_METRICS:
            exchange.respond(Response(404, (), b""))
            return
        body, headers = self.figures.render()
        encoded = tuple((name.lower().encode(), value.encode()) for name, value in headers.items())
        exchange.respond(Response(200, encoded, body))

    def _answer_readiness(self, request: Request, exchange: Exchange) -> None:
        if request.target != PATH_READY.encode():
            exchange.respond(Response(404, (), b""))
            return
        exchange.respond(Response(200 if self.ready else 503, (), b""))


def _own_member(identity: PeerIdentity) -> Member:
    # Wall-clock milliseconds put a new boot before the last one of the same address.
    return Member(
        identity.address,
        identity.box_id,
        identity.boot,
        identity.region,
        identity.failure_domain,
        int(time.time() * 1000),
        Status.ALIVE,
    )


async def run_entry_box(path: Path) -> None:
    """Run a box until it is told to stop and has finished what it began."""
    box = EntryBox(read_settings(path))
    try:
        async with anyio.create_task_group() as tasks:
            await tasks.start(box.hub.run)
            tasks.start_soon(box.fleet.run)
            tasks.start_soon(box.directory.run)
            tasks.start_soon(_write_summaries, box)
            await _listen(box.clients, box.settings.clients)
            await _listen(box.readiness, box.settings.readiness)
            await _listen_for_metrics(box)
            box.log.write("started", boot=box.hub.identity.boot, domain=box.settings.place[1])
            await _until_stopped(box, path)
            await _finish(box)
            tasks.cancel_scope.cancel()
    finally:
        with anyio.CancelScope(shield=True):
            await box.store.close()
    box.log.write("stopped")


async def _write_summaries(box: EntryBox) -> None:
    """Write what the box has done so far, now and then."""
    while True:
        await anyio.sleep(SUMMARY_PERIOD_S)
        box.log.write(
            "summary",
            version=box.directory.version,
            synced=box.directory.synced,
            members=len(box.fleet.members),
            store_calls=box.directory.store_calls,
            repeats_denied=box.budget.denied,
            peer_bytes=box.hub.bytes_sent,
            peer_messages=box.hub.messages_sent,
            **{
                f"sent_{reason}_{distance}".replace(" ", "_"): number
                for (reason, distance), number in box.transport.sent_by_reason.items()
            },
        )


async def _listen(state: ServerState, address: str) -> None:
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    await loop.create_server(lambda: ServerConnection(state), host, port, backlog=BACKLOG)


async def _listen_for_metrics(box: EntryBox) -> None:
    """Serve figures; a port that is taken costs the figures, not the box."""
    port = os.environ.get(METRICS_VARIABLE)
    if port is None:
        return
    try:
        await _listen(box.metrics, f"{box.settings.ip}:{port}")
    except (OSError, ValueError) as error:
        box.log.write("no_metrics", port=port, reason=str(error))


async def _until_stopped(box: EntryBox, path: Path) -> None:
    """Return at the first signal to stop; a hang-up reads the settings anew."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for received in signals:
            if received != signal.SIGHUP:
                box.log.write("stopping", signal=received.name)
                return
            box.log.write("reload", path=str(path))


async def _finish(box: EntryBox) -> None:
    """Serve those who are here until they are gone or the time is up."""
    began = time.monotonic()
    end = began + box.settings.grace_s - STOP_MARGIN_S
    box.stop()
    while time.monotonic() < end:
        await anyio.sleep(STOP_LOOK_S)
        if time.monotonic() - began <= LEAST_LINGER_S:
            continue
        # A request that came on a kept connection from now on could outlast the grace.
        box.clients.close_idle()
        if not box.clients.connections and not box.busy:
            break
    box.clients.close_idle()
    await anyio.sleep(CLOSE_WAIT_S)


def run_entry(path: Path) -> None:
    """Run a box on the platform in this process."""
    tune_garbage_collection()
    anyio.run(run_entry_box, path, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    run_entry(Path(os.environ[SETTINGS_VARIABLE]))
