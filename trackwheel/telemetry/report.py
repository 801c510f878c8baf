"""Report over the logs of a fleet: how requests ended, why, and which boxes did the work."""

from collections import Counter
from collections.abc import Iterable
from typing import Any, Final, NamedTuple

from trackwheel.telemetry.timeline import LogLine

ANSWER_EVENTS: Final = ("query_whole", "query_partial", "request_end")
INTERVAL_S: Final = 2.0
"""Width of one interval of the time series (seconds)."""
CONNECTION_FAILED: Final = "not_sent"


class RouteRow(NamedTuple):
    """How the requests of one route ended; `left_out` is the mean share of missing shards."""

    route: str
    asked: int
    in_time: int
    late: int
    refused: int
    failed: int
    left: int
    left_out: float
    p50_ms: float
    p99_ms: float


class BoxRow(NamedTuple):
    """What one box did, summed over its restarts in the logs."""

    box: str
    domain: str
    taken: int
    shards_for_peers: int
    store_calls: int
    sends: int
    failed_connections: int
    repeats_denied: int
    peer_kilobytes: int
    peer_messages: int


class IntervalRow(NamedTuple):
    """How requests ended in one interval; `start` is in seconds from the first line."""

    start: float
    in_time: int
    late: int
    refused: int
    failed: int


class FleetReport(NamedTuple):
    """All tables of the report."""

    routes: list[RouteRow]
    boxes: list[BoxRow]
    spans: list[IntervalRow]
    reasons: Counter[tuple[str, str]]
    causes: Counter[tuple[str, str]]
    failures: Counter[tuple[str, str]]
    left_out_lines: int


class _ProcessCounts(NamedTuple):
    """The counts of one process of a box, from its last summary."""

    store_calls: int
    repeats_denied: int
    peer_bytes: int
    peer_messages: int
    sends: int


def make_report(lines: Iterable[LogLine]) -> FleetReport:
    """Return the report over the lines of all boxes.

    Times are those of the log collector if every line has one; otherwise each box counts from its
    own first line, and the time series is approximate.
    """
    ordered = list(lines)
    ends = [line for line in ordered if _classify_end(line)]
    return FleetReport(
        routes=_routes(ends),
        boxes=_boxes(ordered),
        spans=_intervals(ends, _start_times(ordered)),
        reasons=Counter(
            (str(line.fields.get("route", "")), str(line.fields.get("reason", "")))
            for line in ends
            if line.event == "given_up"
        ),
        causes=Counter(
            (_classify_incomplete(line), str(line.fields["cause"]))
            for line in ends
            if line.fields.get("cause") and _classify_incomplete(line)
        ),
        failures=Counter(
            (str(line.fields.get("outcome")), str(line.fields.get("why_sent")))
            for line in ordered
            if line.event == "target_failed"
        ),
        left_out_lines=sum(int(line.fields.get("left_out", 0)) for line in ordered),
    )


def _classify_end(line: LogLine) -> str:
    """Return how a request ended by its log line; empty for lines of other kinds."""
    if line.event in ANSWER_EVENTS:
        aim_ms = line.fields.get("aim_ms")
        return "late" if aim_ms is not None and line.fields["took_ms"] > aim_ms else "in_time"
    if line.event == "given_up":
        return "failed" if line.fields.get("ran") else "refused"
    return "left" if line.event == "client_left" else ""


def _classify_incomplete(line: LogLine) -> str:
    """Return how a request missed a whole answer in time; empty for other requests."""
    kind = _classify_end(line)
    if line.event == "given_up":
        return f"{kind} at the deadline" if line.fields.get("late") else f"{kind} early"
    if kind == "in_time":
        return "parts left out" if line.fields.get("missing") else ""
    return kind


def _routes(ends: list[LogLine]) -> list[RouteRow]:
    ends_by_route: dict[str, list[LogLine]] = {}
    for line in ends:
        ends_by_route.setdefault(str(line.fields.get("route", "")), []).append(line)
    return [_route(route, found) for route, found in sorted(ends_by_route.items())]


def _route(route: str, ends: list[LogLine]) -> RouteRow:
    kinds = Counter(_classify_end(line) for line in ends)
    answered = [line.fields for line in ends if line.event in ANSWER_EVENTS]
    took_ms = sorted(float(fields["took_ms"]) for fields in answered)
    missing_shares = [
        fields.get("missing", 0) / max(1, fields.get("shards", 1)) for fields in answered
    ]
    return RouteRow(
        route,
        len(ends),
        kinds["in_time"],
        kinds["late"],
        kinds["refused"],
        kinds["failed"],
        kinds["left"],
        sum(missing_shares) / max(1, len(missing_shares)),
        _quantile(took_ms, 0.5),
        _quantile(took_ms, 0.99),
    )


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else 0.0


def _boxes(lines: list[LogLine]) -> list[BoxRow]:
    lines_by_box: dict[str, list[LogLine]] = {}
    for line in lines:
        lines_by_box.setdefault(line.box, []).append(line)
    return [_box(box, found) for box, found in sorted(lines_by_box.items())]


def _box(box: str, lines: list[LogLine]) -> BoxRow:
    processes = _process_counts(lines)
    started = next((line for line in lines if line.event == "started"), None)
    return BoxRow(
        box=box,
        domain=str(started.fields.get("domain", "")) if started else "",
        taken=sum(1 for line in lines if _classify_end(line)),
        shards_for_peers=sum(
            int(line.fields.get("shards", 0)) for line in lines if line.event == "group_end"
        ),
        store_calls=sum(process.store_calls for process in processes),
        sends=sum(process.sends for process in processes),
        failed_connections=sum(
            line.event == "target_failed" and line.fields.get("outcome") == CONNECTION_FAILED
            for line in lines
        ),
        repeats_denied=sum(process.repeats_denied for process in processes),
        peer_kilobytes=sum(process.peer_bytes for process in processes) // 1000,
        peer_messages=sum(process.peer_messages for process in processes),
    )


def _process_counts(lines: list[LogLine]) -> list[_ProcessCounts]:
    """Return the counts of each process of a box; they restart at zero with each process."""
    summary_by_process: dict[int, dict[str, Any]] = {}
    process = 0
    for line in lines:
        if line.event == "started":
            process += 1
        elif line.event == "summary":
            summary_by_process[process] = line.fields
    return [
        _ProcessCounts(
            int(fields.get("store_calls", 0)),
            int(fields.get("repeats_denied", 0)),
            int(fields.get("peer_bytes", 0)),
            int(fields.get("peer_messages", 0)),
            sum(int(number) for name, number in fields.items() if name.startswith("sent_")),
        )
        for fields in summary_by_process.values()
    ]


def _start_times(lines: list[LogLine]) -> dict[str, float]:
    """Return the start of each box's time series: one for all if the collector wrote the times."""
    if lines and all(line.collected_at is not None for line in lines):
        first = min(line.collected_at or 0.0 for line in lines)
        return dict.fromkeys((line.box for line in lines), first)
    start_by_box: dict[str, float] = {}
    for line in lines:
        start_by_box[line.box] = min(line.at, start_by_box.get(line.box, line.at))
    return start_by_box


def _intervals(ends: list[LogLine], start_by_box: dict[str, float]) -> list[IntervalRow]:
    kinds_by_interval: dict[int, Counter[str]] = {}
    for line in ends:
        at = line.at if line.collected_at is None else line.collected_at
        interval = int((at - start_by_box[line.box]) / INTERVAL_S)
        kinds_by_interval.setdefault(interval, Counter())[_classify_end(line)] += 1
    return [
        IntervalRow(
            interval * INTERVAL_S,
            kinds["in_time"],
            kinds["late"],
            kinds["refused"],
            kinds["failed"],
        )
        for interval, kinds in sorted(kinds_by_interval.items())
    ]
