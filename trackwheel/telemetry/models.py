"""Telemetry models: metric samples, steps of queries, rows of the burn report."""

from typing import NamedTuple, TypedDict


class Sample(NamedTuple):
    """Hold one value of one metric."""

    name: str
    help_text: str
    labels: dict[str, str]
    value: float


class Step(NamedTuple):
    """Record one step of a query; `at_ms` counts from its start."""

    at_ms: float
    what: str
    instance: int
    target: str
    owner: str
    detail: str


class StepRow(TypedDict):
    """Report one step to an operator."""

    at_ms: float
    what: str
    instance: int
    target: str
    owner: str
    detail: str


class TraceReport(TypedDict):
    """Report one query to an operator; never contains keys or request contents."""

    id: str
    service: str
    group: str
    box: str
    outcome: str
    took_ms: float
    steps: list[StepRow]


class BurnRow(NamedTuple):
    """Report one group at one service; a rate of 1 uses up the error budget exactly in time."""

    group: str
    service: str
    objective: float
    total: int
    bad_by_cause: dict[str, int]
    fast_rate: float
    slow_rate: float
    budget_left: float
    p50_ms: float
    p99_ms: float
