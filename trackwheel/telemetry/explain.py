"""Why answers came out as they did: a bounded record of each query's steps."""

from collections import OrderedDict

from trackwheel.clock import steady_now
from trackwheel.telemetry.const import MAX_STEPS, MAX_STEPS_OF_ALL, MAX_TRACES
from trackwheel.telemetry.models import Step, StepRow, TraceReport


class Trace:
    """Collect the steps of one query."""

    __slots__ = (
        "_traces",
        "group",
        "kept",
        "outcome",
        "query_id",
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
        self.kept = True
        self.took_ms = 0.0

    def note(
        self, what: str, instance: int = -1, target: str = "", owner: str = "", detail: str = ""
    ) -> None:
        """Note a step."""
        if self.kept and len(self.steps) < MAX_STEPS:
            at_ms = (steady_now() - self.started) * 1000
            self.steps.append(Step(at_ms, what, instance, target, owner, detail))
            self._traces.steps += 1

    def end(self, outcome: str) -> None:
        """Note how the query ended."""
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
        """Begin a trace and forget the oldest ones when there are too many."""
        self._forget(query_id)
        trace = self._trace_by_id[query_id] = Trace(self, query_id, service, group)
        while len(self._trace_by_id) > MAX_TRACES or self.steps > MAX_STEPS_OF_ALL:
            self._forget(next(iter(self._trace_by_id)))
        return trace

    def _forget(self, query_id: str) -> None:
        forgotten = self._trace_by_id.pop(query_id, None)
        if forgotten is not None:
            forgotten.kept = False
            self.steps -= len(forgotten.steps)

    def get(self, query_id: str) -> Trace | None:
        """Return a trace, None when it is not known (any more)."""
        return self._trace_by_id.get(query_id)

    def latest(self) -> list[str]:
        """Return the ids of the latest queries, newest first."""
        return list(self._trace_by_id)[::-1][:20]
