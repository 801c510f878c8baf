"""Traces: bounded in number and in total steps, whatever the fan-out."""

from trackwheel.telemetry.const import MAX_TOTAL_STEPS, MAX_TRACES
from trackwheel.telemetry.explain import Traces


def test_oldest_traces_are_evicted() -> None:
    traces = Traces()
    for number in range(MAX_TRACES + 5):
        traces.open(f"q{number}", "s", "g")
    assert traces.get("q0") is None
    assert traces.get(f"q{MAX_TRACES + 4}") is not None


def test_wide_queries_keep_fewer_traces() -> None:
    traces = Traces()
    for number in range(300):
        trace = traces.open(f"q{number}", "s", "g")
        for _ in range(600):
            trace.note("ask")
    assert traces.steps <= MAX_TOTAL_STEPS + 400
    assert traces.get("q299") is not None
    assert traces.get("q0") is None


def test_evicted_trace_does_not_count_towards_the_limit() -> None:
    traces = Traces()
    first = traces.open("q", "s", "g")
    first.note("ask")
    traces.open("q", "s", "g")
    first.note("end")
    assert traces.steps == 0


def test_trace_opened_again_starts_empty() -> None:
    traces = Traces()
    traces.open("id", "s", "g").note("ask")
    traces.open("id", "s", "g")
    assert traces.steps == 0
