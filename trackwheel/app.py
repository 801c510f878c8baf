"""The one composition root: it wires the parts of a box, runs them and stops them."""

import asyncio
import os
import signal
import time
from typing import Any, Final

import anyio
import hypercorn.asyncio

from trackwheel.clock import steady_now
from trackwheel.dispatch.guard import SendGuard
from trackwheel.dispatch.models import DISPATCH_MESSAGES
from trackwheel.dispatch.service import DispatchService
from trackwheel.files.confirm import Confirmations
from trackwheel.files.models import FILES_MESSAGES, InForce
from trackwheel.files.service import FilesService
from trackwheel.fleet.membership import Timing
from trackwheel.fleet.models import FLEET_MESSAGES, LeavingTarget, Member, Status
from trackwheel.fleet.service import FleetService
from trackwheel.garbage import tune_garbage_collection
from trackwheel.gateway.bodies import BodyReader
from trackwheel.gateway.execution_runner import ExecutionRunner
from trackwheel.gateway.forwarding import Forwarder
from trackwheel.gateway.http import CallersApp
from trackwheel.gateway.models import GATEWAY_MESSAGES
from trackwheel.gateway.queries import QueryRunner
from trackwheel.gateway.target_selector import TargetSelector
from trackwheel.operators import OperatorsApp
from trackwheel.peers.codec import Codec
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.quarantine.models import QUARANTINE_MESSAGES
from trackwheel.quarantine.service import Quarantine
from trackwheel.settings import Settings
from trackwheel.stop_deadline import StopDeadline
from trackwheel.storage.clients import HttpBoxList, HttpKeyValue
from trackwheel.storage.held import KeyValueHeldStore
from trackwheel.targets.client import AiohttpTargetClient
from trackwheel.telemetry.burn import Burn
from trackwheel.telemetry.event_loop import report_event_loop_lag
from trackwheel.telemetry.events import EventLog
from trackwheel.telemetry.explain import Traces
from trackwheel.telemetry.logs import Log
from trackwheel.telemetry.metrics import Metrics
from trackwheel.telemetry.samples import SampledParts, box_samples
from trackwheel.tls import Certificates, HttpsConfig

LOG = Log("box")

ALL_MESSAGES: Final = (
    *DISPATCH_MESSAGES,
    *FLEET_MESSAGES,
    *FILES_MESSAGES,
    *GATEWAY_MESSAGES,
    *QUARANTINE_MESSAGES,
)
QUARANTINE_LOG: Final = Log("quarantine")
LEAVE_GRACE_S: Final = 2.0
"""How long a leaving box still serves callers whom the balancer sends to it."""
ANSWER_MARGIN_S: Final = 0.3
"""Time between the last answer of a leaving box and the end of its drain time."""
IDLE_CHECK_S: Final = 0.05
IDLE_CLOSE_S: Final = 0.2
"""How long connections on which nothing is under way may take to close at the end."""


class _QuarantineLog:
    """Write the quarantine's events as sentences."""

    def write(self, kind: str, **fields: str | int | float | bool | None) -> None:
        """Write one event."""
        said = ", ".join(f"{name} {value}" for name, value in fields.items())
        QUARANTINE_LOG.warning(f"{kind.replace('_', ' ').capitalize()}: {said}.")


class Box:
    """Hold the parts of one box."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        boot = os.urandom(6).hex()
        self.identity = PeerIdentity(
            settings.box_id, boot, settings.peers, settings.region, settings.failure_domain
        )
        self.certificates = Certificates(settings)
        self.hub = Hub(self.identity, Codec(ALL_MESSAGES), self.certificates.peers)
        self.client = AiohttpTargetClient()
        self.store = HttpKeyValue(settings.key_value)
        self.box_list = HttpBoxList(settings.box_list)
        self.events = EventLog(settings.box_id)
        self.traces = Traces()
        self.burn = Burn()
        self.board = TargetSelector(seed=0)
        self.fleet = FleetService(
            self.hub, self._own_member(), self._timing(), self.box_list, seed=os.getpid()
        )
        self.files = FilesService(self.hub, self.store)
        self.quarantine = Quarantine(self.hub, KeyValueHeldStore(self.store), _QuarantineLog())
        guard = SendGuard(self.quarantine)
        self.dispatch = DispatchService(
            self.hub, self.client, self.fleet.report_leaving, guard, self.events
        )
        self.queries = QueryRunner(
            self.hub, self.fleet, self.board, self.traces, self.quarantine, self.events
        )
        self.once = ExecutionRunner(self.hub, self.fleet, self.board, self.traces)
        self.forwarder = Forwarder(self.hub, self.fleet)
        self.confirmations = Confirmations(
            self.hub,
            lambda: [member.address for member in self.fleet.members],
            lambda: self.files.manifest.revision,
        )
        self.metrics = Metrics()
        sampled = SampledParts(
            self.hub,
            self.fleet,
            self.files,
            self.store,
            self.queries,
            self.once,
            self.dispatch,
            self.burn,
        )
        self.metrics.add(lambda: box_samples(sampled))
        self.leaving = False
        self.stop_deadline = StopDeadline()
        self._wire()

    def ready(self) -> bool:
        """Return whether callers should be sent here."""
        return self.files.heard.is_set() and self.files.in_force.revision > 0 and not self.leaving

    def serving(self) -> bool:
        """Return whether callers who come are served; a leaving box still serves them."""
        return self.files.in_force.revision > 0

    def callers_app(self) -> CallersApp:
        """Return the callers' interface."""
        return CallersApp(
            lambda: self.files.in_force,
            self.serving,
            self.queries,
            self.once,
            self.forwarder,
            self.burn,
            self.stop_deadline,
            BodyReader(self.settings.memory_bytes),
        )

    def operators_app(self) -> OperatorsApp:
        """Return the operators' interface."""
        return OperatorsApp(
            self.settings.box_id,
            self.files,
            self.fleet,
            self.dispatch,
            self.confirmations,
            self.traces,
            self.burn,
            self.metrics,
            self.ready,
        )

    def busy(self) -> bool:
        """Return whether anything is in flight here."""
        return bool(
            self.queries.running
            or self.once.running
            or self.forwarder.waiting
            or self.dispatch.busy
        )

    def stop(self, answer_by: float) -> None:
        """Leave the fleet; requests end by `answer_by` (monotonic seconds)."""
        self.leaving = True
        self.stop_deadline.set(answer_by)
        self.fleet.leave()

    def end_requests(self) -> None:
        """Answer all requests of callers at once, with what is there."""
        self.queries.stop()
        self.once.stop()
        self.forwarder.stop()

    async def close(self) -> None:
        """Close what the parts have open."""
        await self.client.close()
        await self.store.close()
        await self.box_list.close()

    def _own_member(self) -> Member:
        settings, identity = self.settings, self.identity
        # Wall-clock milliseconds put a new boot before the last one of the same address.
        incarnation = int(time.time() * 1000)
        return Member(
            address=settings.peers,
            box_id=settings.box_id,
            boot=identity.boot,
            region=settings.region,
            failure_domain=settings.failure_domain,
            incarnation=incarnation,
            status=Status.ALIVE,
        )

    def _timing(self) -> Timing:
        settings = self.settings
        return Timing(settings.probe_period_s, settings.probe_timeout_s, settings.suspicion_s)

    def _wire(self) -> None:
        self.fleet.on_members(self._take_members)
        self.fleet.on_revision(self.files.peer_revision)
        self.fleet.on_leaving_targets(self._handle_leaving_targets)
        self.files.on_in_force(self._take_in_force)

    def _take_members(self, members: tuple[Member, ...]) -> None:
        self.files.set_watching(self.fleet.is_watcher())
        self.files.set_neighbours(self.fleet.monitored)
        self.quarantine.set_boxes(
            self.fleet.domain_peers(),
            self.fleet.remote_watchers(),
            rebroadcasts=self.fleet.is_watcher(),
        )

    def _handle_leaving_targets(self, leaving_targets: tuple[LeavingTarget, ...]) -> None:
        self.dispatch.apply_leaving_report(leaving_targets)
        for target in leaving_targets:
            self.board.mark_leaving(target.address, steady_now())

    def _take_in_force(self, in_force: InForce) -> None:
        self.fleet.set_files_revision(in_force.revision)
        self.dispatch.set_in_force(in_force)
        self.board.evict_stale(steady_now())


async def run_box(settings: Settings) -> None:
    """Run a box until it is told to stop and has finished what it began."""
    box = Box(settings)
    try:
        async with anyio.create_task_group() as tasks:
            await tasks.start(box.hub.run)
            tasks.start_soon(box.fleet.run)
            tasks.start_soon(box.files.run)
            tasks.start_soon(box.dispatch.run)
            tasks.start_soon(box.quarantine.run)
            tasks.start_soon(box.queries.watch_owners)
            tasks.start_soon(report_event_loop_lag, box.events)
            callers = box.callers_app()
            tasks.start_soon(box.forwarder.run, callers.serve_forward)
            await _serve_until_stopped(box, callers)
            tasks.cancel_scope.cancel()
    finally:
        with anyio.CancelScope(shield=True):
            await box.close()
    LOG.info("All work is finished. The box stops.")


async def _serve_until_stopped(box: Box, callers: CallersApp) -> None:
    """Serve callers and operators until the box has finished what it began."""
    settings, certificates = box.settings, box.certificates
    operators = box.operators_app()
    stopped = anyio.Event()
    configs = (
        _configure(certificates.callers, settings.callers, settings),
        _configure(certificates.operators, settings.operators, settings),
    )
    async with anyio.create_task_group() as servers:
        for app, config in zip((callers.app(), operators.app()), configs, strict=True):
            servers.start_soon(_serve_http, app, config, stopped)
        LOG.info(f"Box {settings.box_id} runs as boot {box.identity.boot}.")
        await _until_stopped(box)
        await _drain(box)
        stopped.set()
        # All that is left are connections on which nothing is under way.
        await anyio.sleep(IDLE_CLOSE_S)
        servers.cancel_scope.cancel()


async def _until_stopped(box: Box) -> None:
    """Return at the first signal to stop; at a hang-up, read the certificates anew."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for received in signals:
            if received != signal.SIGHUP:
                return
            box.certificates.reload()


async def _drain(box: Box) -> None:
    """Leave the fleet, let others take the targets, and finish what is in flight."""
    LOG.info("The box is leaving. It finishes what is in flight.")
    end = steady_now() + box.settings.drain_s
    answer_by = end - ANSWER_MARGIN_S
    box.stop(answer_by)
    await anyio.sleep(min(LEAVE_GRACE_S, max(0.0, answer_by - steady_now())))
    while box.busy() and steady_now() < answer_by:
        await anyio.sleep(IDLE_CHECK_S)
    box.end_requests()
    while box.busy() and steady_now() < end:
        await anyio.sleep(IDLE_CHECK_S)


def _configure(config: HttpsConfig, address: str, settings: Settings) -> HttpsConfig:
    """Return how hypercorn serves one address."""
    config.bind = [address]
    config.graceful_timeout = settings.drain_s
    config.accesslog = None
    config.errorlog = None
    config.h11_max_incomplete_size = 32 * 1024
    config.include_server_header = False
    config.use_reloader = False
    return config


async def _serve_http(app: Any, config: HttpsConfig, stopped: anyio.Event) -> None:
    """Serve one ASGI application with hypercorn until the box stops."""
    try:
        await hypercorn.asyncio.serve(app, config, shutdown_trigger=stopped.wait)
    except (asyncio.CancelledError, asyncio.InvalidStateError):
        # So hypercorn ends when it is cancelled while idle connections have not closed.
        if not stopped.is_set():
            raise


def run(settings: Settings) -> None:
    """Run a box in this process."""
    tune_garbage_collection()
    anyio.run(run_box, settings, backend_options={"use_uvloop": True})
