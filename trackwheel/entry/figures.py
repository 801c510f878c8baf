"""Which figures a box on the platform serves."""

from typing import NamedTuple

from trackwheel.directory.service import DirectoryService
from trackwheel.fleet.service import FleetService
from trackwheel.http1.server import ServerState
from trackwheel.peers.hub import Hub
from trackwheel.platform.load import LoadReader
from trackwheel.quarantine.service import Quarantine
from trackwheel.relay.budget import RetryBudget
from trackwheel.relay.service import RelayService
from trackwheel.relay.transport import TargetTransport
from trackwheel.telemetry.events import EventLog
from trackwheel.telemetry.figures import Figures


class CountedParts(NamedTuple):
    """The parts of a box whose counts are served."""

    relay: RelayService
    transport: TargetTransport
    directory: DirectoryService
    fleet: FleetService
    budget: RetryBudget
    loads: LoadReader
    hub: Hub
    quarantine: Quarantine
    clients: ServerState
    log: EventLog


def add_figures(figures: Figures, box: CountedParts) -> None:
    """Serve what the parts of a box count, and some of its values."""
    directory = box.directory
    figures.add_counters(
        "requests_total",
        "Requests by how they ended",
        ("kind",),
        lambda: box.relay.ended_by_kind,
    )
    figures.add_counters(
        "target_sends_total",
        "Requests sent to targets, by why and how far",
        ("reason", "distance"),
        lambda: box.transport.sent_by_reason,
    )
    figures.add_counters(
        "target_ends_total",
        "Requests at targets by how they ended",
        ("outcome",),
        lambda: box.transport.ended_by_outcome,
    )
    for name, text, reading in (
        ("routes_version", "Version in force", lambda: float(directory.version)),
        ("store_in_step", "1 if the store answered lately", lambda: float(directory.synced)),
        (
            "store_calls",
            "Calls on the store",
            lambda: float(directory.store_calls + box.quarantine.store_calls),
        ),
        ("members", "Boxes that are known", lambda: float(len(box.fleet.members))),
        ("repeats_denied", "Repeats without budget", lambda: float(box.budget.denied)),
        (
            "loads_unreadable",
            "Answers whose told load could not be read",
            lambda: float(box.loads.unreadable),
        ),
        (
            "domains_evacuated",
            "Failure domains whose targets get nothing more",
            lambda: float(len(directory.evacuated)),
        ),
        (
            "requests_held",
            "Requests that are kept from targets since targets end under them",
            lambda: float(box.quarantine.held_count),
        ),
        ("peer_bytes", "Bytes sent to boxes", lambda: float(box.hub.bytes_sent)),
        ("under_way", "Requests under way", lambda: float(box.clients.busy)),
        ("lines_dropped", "Log lines dropped", lambda: float(box.log.dropped)),
    ):
        figures.add_gauge(name, text, reading)
