"""Composition root of a box on the platform: creates its components and connects them."""

import os
import time
from collections import Counter
from http import HTTPStatus
from itertools import chain
from typing import Final

from trackwheel.admission.outlooks import RefusalAdvisor
from trackwheel.clock import steady_now
from trackwheel.delegation.gatherers import choose_gatherers
from trackwheel.delegation.inbound_groups import InboundGroups
from trackwheel.delegation.outbound_groups import OutboundGroups
from trackwheel.delegation.peers import RELAY_MESSAGES, PeerBox
from trackwheel.directory.const import STORE_TIMEOUT_S
from trackwheel.directory.models import DIRECTORY_MESSAGES
from trackwheel.directory.service import DirectoryService
from trackwheel.directory.targets import TargetDirectory
from trackwheel.directory.watcher_election import WatcherElection
from trackwheel.entry.const import (
    CLIENT_SHARE_OF_SOCKETS,
    DEFAULT_LIMITS,
    OWN_CONNECTIONS,
    PATH_METRICS,
    TIMING,
    WATCHERS_PER_DOMAIN,
)
from trackwheel.entry.figures import CountedParts, add_figures
from trackwheel.fleet.models import FLEET_MESSAGES, Member, Status
from trackwheel.fleet.service import FleetService
from trackwheel.http1.answer_limits import AnswerLimits
from trackwheel.http1.client_limits import ClientLimits, EndCause
from trackwheel.http1.models import Request, Response
from trackwheel.http1.server import Exchange, Handler, ServerState
from trackwheel.limits.models import LIMIT_MESSAGES
from trackwheel.limits.service import GroupLimits
from trackwheel.peers.codec import Codec
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.platform.held import PlatformHeldStore
from trackwheel.platform.load import LoadReader
from trackwheel.platform.names import PATH_READY
from trackwheel.platform.seeds import SeedList
from trackwheel.platform.settings import BoxSettings
from trackwheel.platform.store import StoreClient
from trackwheel.platform.wire import PlatformWire
from trackwheel.quarantine.models import QUARANTINE_MESSAGES
from trackwheel.quarantine.service import Quarantine
from trackwheel.relay.models import Place, Target
from trackwheel.relay.outcomes import report_outcomes
from trackwheel.relay.service import RelayService
from trackwheel.relay.transport import TargetTransport
from trackwheel.routing.models import Limits, RouteTable
from trackwheel.selection.budget import RetryBudget
from trackwheel.selection.cold import ColdLimit, ColdTargetLimiter
from trackwheel.selection.down_report_exchange import DownReportExchange
from trackwheel.selection.down_reports import DOWN_REPORT_MESSAGES, DownReports
from trackwheel.selection.target_selector import TargetSelector
from trackwheel.stop_deadline import StopDeadline
from trackwheel.telemetry.events import EventLog
from trackwheel.telemetry.figures import Figures

ALL_MESSAGES: Final = (
    *FLEET_MESSAGES,
    *DIRECTORY_MESSAGES,
    *RELAY_MESSAGES,
    *DOWN_REPORT_MESSAGES,
    *QUARANTINE_MESSAGES,
    *LIMIT_MESSAGES,
)


class _NoTls:
    """Disables TLS between boxes: the platform's network provides no certificates."""

    server = None
    client = None


class EntryBox:
    """The components of one box."""

    def __init__(self, settings: BoxSettings) -> None:
        self.settings = settings
        now = steady_now()
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
            _own_member(identity, settings.speed),
            TIMING,
            SeedList(settings.seeds),
            seed=os.getpid(),
            watchers_per_domain=WATCHERS_PER_DOMAIN,
        )
        self.answer_limits = AnswerLimits(settings.memory_bytes)
        self.client_limits = ClientLimits(settings.memory_bytes)
        self.store = StoreClient(settings.store, STORE_TIMEOUT_S, self.log, self.answer_limits)
        self.directory = DirectoryService(
            self.hub,
            self.store,
            TargetDirectory(settings.region_by_failure_domain),
            WatcherElection(now, settings.peers, first=settings.peers in settings.seeds),
            self.log,
            settings.drain_s,
        )
        self.loads = LoadReader(self.log)
        wire = PlatformWire(self.loads)
        self.budget = RetryBudget(settings.budget, now)
        self.cold_limiter = ColdTargetLimiter(settings.cold, self.budget.sharers)
        self.selector = TargetSelector(place, os.getpid(), self.cold_limiter)
        self.stop_deadline = StopDeadline()
        self.transport = TargetTransport(
            wire, self.selector, steady_now, self.log, self.stop_deadline, self.answer_limits
        )
        self.down_reports = DownReportExchange(
            self.hub, DownReports(self.selector), self.transport, self.log
        )
        self.outbound_groups = OutboundGroups(self.hub, wire, self.log)
        self.quarantine = Quarantine(self.hub, PlatformHeldStore(self.store), self.log)
        report_outcomes(self.transport, self.quarantine)
        self.inbound_groups = InboundGroups(
            self.hub,
            self.selector,
            self.budget,
            self.transport,
            self.outbound_groups,
            self.quarantine,
            self.log,
            self.stop_deadline,
        )
        self.limits = GroupLimits(
            self.hub,
            settings.limits,
            len(settings.region_by_failure_domain),
            int.from_bytes(os.urandom(6)),
            self.log,
        )
        self.relay = RelayService(
            wire,
            self.selector,
            self.budget,
            self.transport,
            self.outbound_groups,
            self.quarantine,
            self.log,
            self.figures,
            place,
            settings.peers,
            advisor=RefusalAdvisor(self.selector, os.getpid(), self.log),
            checks=(self.limits,),
            is_current=lambda: self.directory.knows_newest_version(steady_now()),
            stop=self.stop_deadline,
        )
        self.clients = ServerState(
            self.relay.handle,
            self._limits,
            self._log_client_end,
            self.client_limits,
            int(settings.sockets * CLIENT_SHARE_OF_SOCKETS),
        )
        self.readiness = self._own_server(self._serve_readiness)
        self.metrics = self._own_server(self._serve_metrics)
        self.stopping = False
        self._wire_parts()
        add_figures(
            self.figures,
            CountedParts(
                self.relay,
                self.transport,
                self.directory,
                self.fleet,
                self.budget,
                self.loads,
                self.hub,
                self.quarantine,
                self.clients,
                self.log,
                self.limits,
                self.store,
                self.answer_limits,
                self.client_limits,
            ),
        )

    @property
    def ready(self) -> bool:
        """Return whether clients should be sent to this box."""
        return self.directory.ready and not self.stopping

    @property
    def busy(self) -> bool:
        """Return whether client requests, or groups gathered for peers, are in flight."""
        return bool(self.clients.busy or self.inbound_groups)

    def stop(self, answer_by: float) -> None:
        """Fail readiness checks, keep no client connection after its response, leave the fleet.

        Requests that cannot be answered by `answer_by` (monotonic seconds) are refused.
        """
        self.stopping = True
        self.stop_deadline.set(answer_by)
        self.clients.stopping = True
        self.fleet.leave()

    def end_requests(self) -> None:
        """Answer all requests of clients and peers at once, with what is there."""
        self.inbound_groups.stop()
        self.clients.end_requests()

    def _wire_parts(self) -> None:
        self.fleet.on_members(self._apply_members)
        self.fleet.on_revision(self.directory.peer_version)
        self.directory.on_routes(self._apply_routes)
        self.directory.on_targets(self._apply_targets)

    def _apply_members(self, members: tuple[Member, ...]) -> None:
        own = self.fleet.own
        domain_peers, remote_watchers = self.fleet.domain_peers(), self.fleet.remote_watchers()
        predecessors = self.fleet.watcher_predecessors(own)
        self.directory.set_peers(predecessors, domain_peers, remote_watchers)
        self.quarantine.set_boxes(domain_peers, remote_watchers, rebroadcasts=not predecessors)
        boxes = [
            PeerBox(m.address, Place(m.region, m.failure_domain), m.speed)
            for m in members
            if m.status is Status.ALIVE
        ]
        gatherers = choose_gatherers(boxes)
        other_boxes = [box for box in boxes if box.address != own.address]
        gathers = own.address in gatherers
        self.relay.set_peers(tuple(box for box in other_boxes if box.address in gatherers), gathers)
        self.down_reports.set_boxes(
            box.address
            for box in other_boxes
            if box.address in gatherers and box.place.failure_domain == own.failure_domain
        )
        self.limits.set_members(members, gatherers, own)
        now = steady_now()
        self.budget.set_members(len(members), now)
        domains = (box.place.failure_domain for box in boxes if box.address in gatherers)
        self.budget.set_gatherers(Counter(domains), own.failure_domain, gathers, now)
        self._set_connection_limits()

    def _apply_routes(self, table: RouteTable) -> None:
        self.fleet.set_files_revision(table.version)
        self.limits.set_groups(table.groups)
        self.relay.set_table(table)
        self._set_connection_limits()
        self._set_shards()

    def _apply_targets(self, targets_by_service: dict[str, tuple[Target, ...]]) -> None:
        self.selector.set_targets(targets_by_service, steady_now())
        targets = tuple(chain.from_iterable(targets_by_service.values()))
        self.transport.close_unknown({target.incarnation for target in targets})
        self.transport.refuse_waiting({target.incarnation for target in targets if target.excluded})
        self._set_shards()
        self.relay.targets_known()

    def _set_shards(self) -> None:
        """Set the shards, the failure domains of their targets, and the limits of cold targets."""
        table = self.directory.table
        if table is None:
            return
        routes = chain.from_iterable(table.routes_by_host.values())
        shards = frozenset(shard for route in routes for shard in route.shards)
        self.budget.set_shards({shard: self.selector.domains(shard) for shard in shards})
        cold_limit_by_service = {
            name: ColdLimit(rule.cold_per_s, rule.cold_s)
            for name, rule in table.service_by_name.items()
        }
        self.cold_limiter.set_limits(cold_limit_by_service, shards)

    def _set_connection_limits(self) -> None:
        table = self.directory.table
        if table is None:
            return
        limits = {rule.name: rule.max_connections for rule in table.service_by_name.values()}
        self.transport.set_limits(limits, len(self.fleet.members))

    def _limits(self) -> Limits:
        table = self.directory.table
        return DEFAULT_LIMITS if table is None else table.limits

    def _own_server(self, handler: Handler) -> ServerState:
        """Return a server for the platform and operators."""
        return ServerState(
            handler, self._limits, self._log_client_end, self.client_limits, OWN_CONNECTIONS
        )

    def _log_client_end(self, cause: EndCause, status: HTTPStatus | None) -> None:
        if status is None:
            self.log.write("client_closed", cause=cause.value)
        else:
            self.log.write("refused_unread", status=int(status), cause=cause.value)

    def _serve_metrics(self, request: Request, exchange: Exchange) -> None:
        if request.target != PATH_METRICS:
            exchange.respond(Response(404, (), b""))
            return
        body, headers = self.figures.render()
        encoded = tuple((name.lower().encode(), value.encode()) for name, value in headers.items())
        exchange.respond(Response(200, encoded, body))

    def _serve_readiness(self, request: Request, exchange: Exchange) -> None:
        if request.target != PATH_READY.encode():
            exchange.respond(Response(404, (), b""))
            return
        exchange.respond(Response(200 if self.ready else 503, (), b""))


def _own_member(identity: PeerIdentity, speed: float) -> Member:
    # The wall-clock time in milliseconds lets a new boot take precedence over the previous one of
    # the same address.
    return Member(
        identity.address,
        identity.box_id,
        identity.boot,
        identity.region,
        identity.failure_domain,
        int(time.time() * 1000),
        Status.ALIVE,
        speed,
    )
