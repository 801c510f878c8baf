"""Traces that explain answers: the steps of the latest queries, bounded in memory."""

from collections import OrderedDict

from trackwheel.clock import steady_now
from trackwheel.telemetry.const import MAX_STEPS_PER_TRACE, MAX_TOTAL_STEPS, MAX_TRACES
from trackwheel.telemetry.models import Step, StepRow, TraceReport


class Trace:
    """Collect the steps of one query."""

    __slots__ = (
        "_traces",
        "group",
        "outcome",
        "query_id",
        "retained",
        "service",
        "started",
        "steps",
        "took_ms",
    )

    def __init__(self, traces: "Traces", query_id: str, service: str, group: str) -> None:
        self._traces = traces
        self.query_id = query_id
        self.service = service
        self.group = group
        self.started = steady_now()
        self.steps: list[Step] = []
        self.outcome = "under way"
        self.retained = True
        self.took_ms = 0.0

    def note(
        self, what: str, instance: int = -1, target: str = "", owner: str = "", detail: str = ""
    ) -> None:
        """Record a step."""
        if self.retained and len(self.steps) < MAX_STEPS_PER_TRACE:
            at_ms = (steady_now() - self.started) * 1000
            self.steps.append(Step(at_ms, what, instance, target, owner, detail))
            self._traces.steps += 1

    def end(self, outcome: str) -> None:
        """Record how the query ended."""
        self.outcome = outcome
        self.took_ms = (steady_now() - self.started) * 1000

    def report(self, box: str) -> TraceReport:
        """Return the trace for an operator."""
        rows = [
            StepRow(
                at_ms=round(step.at_ms, 2),
                what=step.what,
                instance=step.instance,
                target=step.target,
                owner=step.owner,
                detail=step.detail,
            )
            for step in self.steps
        ]
        return TraceReport(
            id=self.query_id,
            service=self.service,
            group=self.group,
            box=box,
            outcome=self.outcome,
            took_ms=round(self.took_ms, 2),
            steps=rows,
        )


class Traces:
    """Keep the traces of the latest queries."""

    def __init__(self) -> None:
        self._trace_by_id: OrderedDict[str, Trace] = OrderedDict()
        self.steps = 0

    def open(self, query_id: str, service: str, group: str) -> Trace:
        """Start a trace and evict the oldest ones beyond the limits."""
        self._evict(query_id)
        trace = self._trace_by_id[query_id] = Trace(self, query_id, service, group)
        while len(self._trace_by_id) > MAX_TRACES or self.steps > MAX_TOTAL_STEPS:
            self._evict(next(iter(self._trace_by_id)))
        return trace

    def _evict(self, query_id: str) -> None:
        evicted = self._trace_by_id.pop(query_id, None)
        if evicted is not None:
            evicted.retained = False
            self.steps -= len(evicted.steps)

    def get(self, query_id: str) -> Trace | None:
        """Return a trace, None when it is unknown or evicted."""
        return self._trace_by_id.get(query_id)

    def latest(self) -> list[str]:
        """Return the ids of the latest queries, newest first."""
        return list(self._trace_by_id)[::-1][:20]
