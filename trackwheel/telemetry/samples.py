"""Metric samples of one box."""

import time
from typing import NamedTuple

from trackwheel.dispatch.service import DispatchService
from trackwheel.files.service import FilesService
from trackwheel.fleet.service import FleetService
from trackwheel.gateway.execution_runner import ExecutionRunner
from trackwheel.gateway.queries import QueryRunner
from trackwheel.peers.hub import Hub
from trackwheel.storage.clients import HttpKeyValue
from trackwheel.telemetry.burn import Burn
from trackwheel.telemetry.models import Sample


class SampledParts(NamedTuple):
    """The components of a box that samples are taken from."""

    hub: Hub
    fleet: FleetService
    files: FilesService
    store: HttpKeyValue
    queries: QueryRunner
    once: ExecutionRunner
    dispatch: DispatchService
    burn: Burn


def box_samples(box: SampledParts) -> list[Sample]:
    """Return every sample of a box; docs/OPERATIONS.md says what each one means."""
    return [*_fleet(box), *_files(box), *_gateway(box), *_dispatch(box), *_burn(box)]


def _fleet(box: SampledParts) -> list[Sample]:
    hub = box.hub
    return [
        Sample("trackwheel_boxes", "Boxes that are present.", {}, len(box.fleet.members)),
        Sample("trackwheel_rejoins", "Times this box was away.", {}, box.fleet.rejoins),
        Sample("trackwheel_messages_sent", "Messages to boxes.", {}, hub.messages_sent),
        Sample("trackwheel_bytes_sent", "Bytes in frames to boxes.", {}, hub.bytes_sent),
        Sample("trackwheel_messages_dropped", "Messages dropped.", {}, hub.messages_dropped),
    ]


def _files(box: SampledParts) -> list[Sample]:
    files = box.files
    age_s = time.time() - files.last_store_contact if files.last_store_contact else -1.0
    return [
        Sample("trackwheel_files_revision", "Revision in force.", {}, files.manifest.revision),
        Sample("trackwheel_files_refused_revision", "Unreadable.", {}, files.refused_revision),
        Sample("trackwheel_store_age_seconds", "Seconds since the store answered.", {}, age_s),
        Sample("trackwheel_store_calls", "Calls on the store.", {}, box.store.calls),
    ]


def _gateway(box: SampledParts) -> list[Sample]:
    queries = box.queries
    samples = [
        Sample("trackwheel_queries_running", "Queries in progress.", {}, queries.running),
        Sample("trackwheel_foreign_answers", "Dropped answers.", {}, queries.foreign_answers),
    ]
    for service, budget in queries.budgets().items():
        labels = {"service": service}
        first, extra, denied = budget.first_attempts, budget.extras, budget.denied
        samples += [
            Sample("trackwheel_sub_requests_first", "First attempts.", labels, first),
            Sample("trackwheel_sub_requests_extra", "Hedges and retries.", labels, extra),
            Sample(
                "trackwheel_sub_requests_denied", "Extras denied by the budget.", labels, denied
            ),
        ]
    for (group, service), size in queries.window_sizes().items():
        labels = {"group": group, "service": service}
        samples.append(Sample("trackwheel_window", "Limit of concurrent queries.", labels, size))
    for outcome, count in box.once.count_by_outcome.items():
        labels = {"outcome": outcome}
        samples.append(Sample("trackwheel_once", "Requests run at most once.", labels, count))
    return samples


def _dispatch(box: SampledParts) -> list[Sample]:
    samples = []
    for outcome, count in box.dispatch.sent_by_outcome.items():
        labels = {"outcome": outcome}
        samples.append(Sample("trackwheel_target_answers", "Sent to targets.", labels, count))
    for outcome, count in box.dispatch.refused_by_outcome.items():
        labels = {"outcome": outcome}
        samples.append(Sample("trackwheel_refused", "Not sent to targets.", labels, count))
    states = box.dispatch.states()
    totals = {
        "running": sum(state.running for state in states),
        "waiting": sum(state.waiting for state in states),
        "limit": sum(state.limit for state in states),
        "leaving": sum(state.leaving for state in states),
        "ejected": sum(state.ejected for state in states),
        "owned": len(states),
    }
    for what, value in totals.items():
        samples.append(Sample("trackwheel_targets", "Sums over targets.", {"what": what}, value))
    return samples


def _burn(box: SampledParts) -> list[Sample]:
    samples = []
    for row in box.burn.rows():
        for window, rate in (("fast", row.fast_rate), ("slow", row.slow_rate)):
            labels = {"group": row.group, "service": row.service, "window": window}
            samples.append(Sample("trackwheel_burn", "Burn rate.", labels, rate))
    return samples
