"""What the logs of a fleet say of a span of time: who waited, who was refused, where work went."""

from collections import Counter
from collections.abc import Iterable
from typing import Any, Final, NamedTuple

from trackwheel.telemetry.timeline import LogLine

ANSWERED: Final = ("query_whole", "query_partial", "request_end")
SPAN_S: Final = 2.0
"""Width of one step of the courses over time (seconds)."""
CONNECTION_FAILED: Final = "not_sent"


class RouteRow(NamedTuple):
    """How the requests of one route ended; `left_out` is the mean share of shards that lacked."""

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
    """What one box did, over all its lives in the logs."""

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


class SpanRow(NamedTuple):
    """How the requests that ended in one span did; `start` is seconds from the first line."""

    start: float
    in_time: int
    late: int
    refused: int
    failed: int


class FleetReport(NamedTuple):
    """Everything that the report shows."""

    routes: list[RouteRow]
    boxes: list[BoxRow]
    spans: list[SpanRow]
    reasons: Counter[tuple[str, str]]
    failures: Counter[tuple[str, str]]
    left_out_lines: int


class _Life(NamedTuple):
    """The counts of one life of a box, from its last summary."""

    store_calls: int
    repeats_denied: int
    peer_bytes: int
    peer_messages: int
    sends: int


def make_report(lines: Iterable[LogLine]) -> FleetReport:
    """Return the report over the lines of all boxes.

    Times are those of the collector where every line has one; else each box counts from its own
    first line, so that the courses over time are rough.
    """
    ordered = list(lines)
    ends = [line for line in ordered if _end_kind(line)]
    return FleetReport(
        routes=_routes(ends),
        boxes=_boxes(ordered),
        spans=_spans(ends, _starts(ordered)),
        reasons=Counter(
            (str(line.fields.get("route", "")), str(line.fields.get("reason", "")))
            for line in ends
            if line.event == "given_up"
        ),
        failures=Counter(
            (str(line.fields.get("outcome")), str(line.fields.get("why_sent")))
            for line in ordered
            if line.event == "target_failed"
        ),
        left_out_lines=sum(int(line.fields.get("left_out", 0)) for line in ordered),
    )


def _end_kind(line: LogLine) -> str:
    """Return how a request ended by a line, empty for lines that say nothing of that."""
    if line.event in ANSWERED:
        aim_ms = line.fields.get("aim_ms")
        return "late" if aim_ms is not None and line.fields["took_ms"] > aim_ms else "in_time"
    if line.event == "given_up":
        return "failed" if line.fields.get("ran") else "refused"
    return "left" if line.event == "client_left" else ""


def _routes(ends: list[LogLine]) -> list[RouteRow]:
    ends_by_route: dict[str, list[LogLine]] = {}
    for line in ends:
        ends_by_route.setdefault(str(line.fields.get("route", "")), []).append(line)
    return [_route(route, found) for route, found in sorted(ends_by_route.items())]


def _route(route: str, ends: list[LogLine]) -> RouteRow:
    kinds = Counter(_end_kind(line) for line in ends)
    answered = [line.fields for line in ends if line.event in ANSWERED]
    took_ms = sorted(float(fields["took_ms"]) for fields in answered)
    lacked = [fields.get("missing", 0) / max(1, fields.get("shards", 1)) for fields in answered]
    return RouteRow(
        route,
        len(ends),
        kinds["in_time"],
        kinds["late"],
        kinds["refused"],
        kinds["failed"],
        kinds["left"],
        sum(lacked) / max(1, len(lacked)),
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
    lives = _lives(lines)
    started = next((line for line in lines if line.event == "started"), None)
    return BoxRow(
        box=box,
        domain=str(started.fields.get("domain", "")) if started else "",
        taken=sum(1 for line in lines if _end_kind(line)),
        shards_for_peers=sum(
            int(line.fields.get("shards", 0)) for line in lines if line.event == "group_end"
        ),
        store_calls=sum(life.store_calls for life in lives),
        sends=sum(life.sends for life in lives),
        failed_connections=sum(
            line.event == "target_failed" and line.fields.get("outcome") == CONNECTION_FAILED
            for line in lines
        ),
        repeats_denied=sum(life.repeats_denied for life in lives),
        peer_kilobytes=sum(life.peer_bytes for life in lives) // 1000,
        peer_messages=sum(life.peer_messages for life in lives),
    )


def _lives(lines: list[LogLine]) -> list[_Life]:
    """Return the counts of each life of a box; a start begins them anew."""
    last_by_life: dict[int, dict[str, Any]] = {}
    life = 0
    for line in lines:
        if line.event == "started":
            life += 1
        elif line.event == "summary":
            last_by_life[life] = line.fields
    return [
        _Life(
            int(fields.get("store_calls", 0)),
            int(fields.get("repeats_denied", 0)),
            int(fields.get("peer_bytes", 0)),
            int(fields.get("peer_messages", 0)),
            sum(int(number) for name, number in fields.items() if name.startswith("sent_")),
        )
        for fields in last_by_life.values()
    ]


def _starts(lines: list[LogLine]) -> dict[str, float]:
    """Return the time from which each box's lines count; the same for all with a collector's."""
    if lines and all(line.collected_at is not None for line in lines):
        first = min(line.collected_at or 0.0 for line in lines)
        return dict.fromkeys((line.box for line in lines), first)
    start_by_box: dict[str, float] = {}
    for line in lines:
        start_by_box[line.box] = min(line.at, start_by_box.get(line.box, line.at))
    return start_by_box


def _spans(ends: list[LogLine], start_by_box: dict[str, float]) -> list[SpanRow]:
    kinds_by_span: dict[int, Counter[str]] = {}
    for line in ends:
        at = line.at if line.collected_at is None else line.collected_at
        span = int((at - start_by_box[line.box]) / SPAN_S)
        kinds_by_span.setdefault(span, Counter())[_end_kind(line)] += 1
    return [
        SpanRow(span * SPAN_S, kinds["in_time"], kinds["late"], kinds["refused"], kinds["failed"])
        for span, kinds in sorted(kinds_by_span.items())
    ]
