"""Timeline of one request, from the log lines of several boxes on the platform."""

import json
from collections.abc import Iterable
from typing import Any, Final, NamedTuple

END_EVENTS: Final = (
    "query_whole",
    "query_partial",
    "request_end",
    "given_up",
    "client_left",
    "no_route",
    "refused",
    "held_request",
)
"""Events with which the box that received a request logs how it ended."""


class LogLine(NamedTuple):
    """One event; `at` is the monotonic time of its box, not comparable between boxes.

    `collected_at` is the time that the log collector wrote before the line (seconds), None if
    there is none.
    """

    box: str
    at: float
    event: str
    fields: dict[str, Any]
    collected_at: float | None = None


class Timeline(NamedTuple):
    """What boxes logged about one request, the answering box last, and the cause of its end."""

    lines: list[LogLine]
    cause: str


def read_log(text: str) -> list[LogLine]:
    """Return the events of a log; text before the JSON object of a line is skipped."""
    found: list[LogLine] = []
    for line in text.splitlines():
        start = line.find("{")
        try:
            fields = json.loads(line[start:]) if start >= 0 else None
        except ValueError:
            # A line of another program, or the truncated last line of a killed box.
            continue
        if isinstance(fields, dict) and {"at", "box", "event"} <= fields.keys():
            keys = (fields.pop("box"), fields.pop("at"), fields.pop("event"))
            found.append(LogLine(*keys, fields, _leading_number(line[:start])))
    return found


def _leading_number(text: str) -> float | None:
    """Return the number at the start of a text, None if there is none."""
    first = text.split(maxsplit=1)[:1]
    try:
        return float(first[0]) if first else None
    except ValueError:
        return None


def make_timeline(lines: Iterable[LogLine], request_id: str) -> Timeline:
    """Return what boxes logged about a request and why it ended as it did."""
    matching = [line for line in lines if line.fields.get("id") == request_id]
    end = next((line for line in matching if line.event in END_EVENTS), None)
    answering = end.box if end else ""
    matching.sort(key=lambda line: (line.box == answering, line.box, line.at))
    return Timeline(matching, _cause(matching, end))


def render_timeline(timeline: Timeline) -> str:
    """Return a timeline as text: a line for each event, and the cause."""
    texts: list[str] = []
    for line in timeline.lines:
        shown = {name: value for name, value in line.fields.items() if name != "id"}
        fields = " ".join(f"{name}={value}" for name, value in shown.items())
        texts.append(f"{line.box} {line.at:.3f} {line.event} {fields}")
    return "\n".join([*texts, f"cause: {timeline.cause}"])


def _cause(lines: list[LogLine], end: LogLine | None) -> str:
    if not lines:
        return "no box wrote of it: another id, or its lines were left out (`left_out`)"
    if end is None:
        return "no box wrote its end: the box that took it ended, or left the line out"
    took_ms = end.fields.get("took_ms")
    took = "at once" if took_ms is None else f"after {took_ms} ms"
    match end.event:
        case "client_left":
            return f"the client left {took}"
        case "no_route":
            return f"version {end.fields.get('version')} has no route for {end.fields.get('path')}"
        case "refused":
            group = end.fields.get("group")
            whose = f" of group {group}" if group else ""
            status, refusal = end.fields.get("status"), end.fields.get("cause")
            return f"refused {took}{whose}, {status} {refusal}: {end.fields.get('reason')}"
        case "held_request":
            return (
                f"refused at once, targets crashed under it: held for {end.fields.get('left_s')} s"
            )
        case "given_up":
            ran = "targets may have run it" if end.fields.get("ran") else "no target ran it"
            return f"given up {took}, {ran}: {_reason(lines, end)}"
        case "query_partial":
            return f"answered {took} ({end.fields.get('reason')}) without {_reason(lines, end)}"
    return f"answered {took}"


def _reason(lines: list[LogLine], end: LogLine) -> str:
    """Return why shards are missing, or how the last failing target failed."""
    lacking = end.fields.get("lacking")
    if lacking:
        return str(lacking)
    failed = [line.fields for line in lines if line.event == "target_failed"]
    if not failed:
        return str(end.fields.get("reason", "no reason is known"))
    last = failed[-1]
    return f"{last.get('outcome')} at {last.get('target')} ({last.get('detail')})"
