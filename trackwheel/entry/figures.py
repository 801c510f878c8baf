"""The metrics that a box on the platform exports."""

from typing import NamedTuple

from trackwheel.directory.service import DirectoryService
from trackwheel.fleet.service import FleetService
from trackwheel.http1.answer_limits import AnswerLimits
from trackwheel.http1.client_limits import ClientLimits
from trackwheel.http1.server import ServerState
from trackwheel.limits.service import GroupLimits
from trackwheel.peers.hub import Hub
from trackwheel.platform.load import LoadReader
from trackwheel.platform.store import StoreClient
from trackwheel.quarantine.service import Quarantine
from trackwheel.relay.service import RelayService
from trackwheel.relay.transport import TargetTransport
from trackwheel.selection.budget import RetryBudget
from trackwheel.telemetry.events import EventLog
from trackwheel.telemetry.figures import Figures


class CountedParts(NamedTuple):
    """The components of a box whose counters are exported."""

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
    limits: GroupLimits
    store: StoreClient
    answer_limits: AnswerLimits
    client_limits: ClientLimits


def add_figures(figures: Figures, box: CountedParts) -> None:
    """Register the counters and gauges of a box."""
    directory = box.directory
    figures.add_counters(
        "requests_total",
        "Requests by outcome",
        ("kind",),
        lambda: box.relay.ended_by_kind,
    )
    figures.add_counters(
        "requests_not_served_total",
        "Requests given up on, by cause and whether before or at the deadline",
        ("cause", "phase"),
        lambda: box.relay.not_served,
    )
    figures.add_counters(
        "answers_incomplete_total",
        "Answers that were late or left shards out, by cause",
        ("cause", "kind"),
        lambda: box.relay.incomplete,
    )
    figures.add_counters(
        "group_requests_total",
        "Requests by group and outcome",
        ("group", "kind"),
        lambda: box.relay.group_counts.number_by_group_and_kind,
    )
    figures.add_counters(
        "target_sends_total",
        "Requests sent to targets, by reason and distance",
        ("reason", "distance"),
        lambda: box.transport.sent_by_reason,
    )
    figures.add_counters(
        "target_ends_total",
        "Requests to targets, by outcome",
        ("outcome",),
        lambda: box.transport.ended_by_outcome,
    )
    figures.add_counters(
        "limited_requests_total",
        "Requests of groups with a limit, by group and decision",
        ("group", "decision"),
        lambda: box.limits.counted,
    )
    figures.add_counters(
        "clients_ended_total",
        "Requests refused unread and connections closed, by cause",
        ("cause",),
        lambda: box.client_limits.ended_by_cause,
    )
    figures.add_gauges(
        "group_tokens",
        "Tokens of groups that are counted at this box",
        "group",
        box.limits.tokens_by_group,
    )
    for name, text, reading in (
        (
            "limit_counter_in_touch",
            "1 if the counting box of the failure domain answers",
            lambda: float(box.limits.counter_in_touch),
        ),
        (
            "limit_parts",
            "Part of all limits that is delegated to this box",
            lambda: box.limits.counting.parts.sum,
        ),
        ("routes_version", "Version of the active configuration", lambda: float(directory.version)),
        ("store_in_step", "1 if the store answered recently", lambda: float(directory.synced)),
        (
            "store_calls",
            "Calls to the store",
            lambda: float(directory.store_calls + box.quarantine.store_calls),
        ),
        (
            "targets_age_seconds",
            "Time for which changes of targets may be unknown",
            lambda: directory.targets_age_s,
        ),
        (
            "targets_asked",
            "Questions to other failure domains for changes of targets",
            lambda: float(directory.targets_asked),
        ),
        (
            "store_answers_oversized",
            "Answers of the store that exceeded the size limits",
            lambda: float(box.store.oversized_answers),
        ),
        (
            "answer_bytes_held",
            "Bytes of unfinished answers of targets and of the store",
            lambda: float(box.answer_limits.held_bytes),
        ),
        (
            "client_request_bytes_held",
            "Bytes of clients' requests, unfinished, waiting and in progress",
            lambda: float(box.client_limits.requests.held_bytes),
        ),
        (
            "client_answer_bytes_held",
            "Bytes of answers that clients have not read",
            lambda: float(box.client_limits.answers.held_bytes),
        ),
        (
            "client_connections",
            "Open connections of clients",
            lambda: float(len(box.clients.connections)),
        ),
        ("members", "Known boxes", lambda: float(len(box.fleet.members))),
        ("repeats_denied", "Repeats denied by the retry budget", lambda: float(box.budget.denied)),
        (
            "loads_unreadable",
            "Answers with an unreadable load report",
            lambda: float(box.loads.unreadable),
        ),
        (
            "domains_evacuated",
            "Failure domains whose targets get no more requests",
            lambda: float(len(directory.evacuated)),
        ),
        (
            "requests_held",
            "Requests held because targets crashed while executing them",
            lambda: float(box.quarantine.held_count),
        ),
        ("peer_bytes", "Bytes sent to other boxes", lambda: float(box.hub.bytes_sent)),
        ("under_way", "Requests in flight", lambda: float(box.clients.busy)),
        ("lines_dropped", "Dropped log lines", lambda: float(box.log.dropped)),
    ):
        figures.add_gauge(name, text, reading)
