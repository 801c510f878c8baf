"""Service-level burn rates: how fast each group uses up its error budget at each service."""

import time
from collections import deque
from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

from trackwheel.files.models import Policy, ServiceSpec
from trackwheel.telemetry.const import (
    BUCKET_S,
    FAST_WINDOW_S,
    GOOD,
    LATE,
    MAX_LATENCY_US,
    MIN_LATENCY_US,
    SLOW_WINDOW_S,
)
from trackwheel.telemetry.models import BurnRow


class _Bucket:
    """Count query outcomes in one interval of BUCKET_S."""

    __slots__ = ("bad_by_cause", "start", "total")

    def __init__(self, start: float) -> None:
        self.start = start
        self.total = 0
        self.bad_by_cause: dict[str, int] = {}


class _BurnCounts:
    """Hold one group's counts at one service."""

    def __init__(self, objective: float) -> None:
        self.objective = objective
        self.buckets: deque[_Bucket] = deque(maxlen=int(SLOW_WINDOW_S / BUCKET_S))
        self.latencies = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, 2)

    def bucket(self, now: float) -> _Bucket:
        start = now - now % BUCKET_S
        if not self.buckets or self.buckets[-1].start != start:
            self.buckets.append(_Bucket(start))
        return self.buckets[-1]

    def rate(self, window_s: float, now: float) -> float:
        """Return the share of bad outcomes over the share that the objective allows."""
        recent = [bucket for bucket in self.buckets if bucket.start > now - window_s]
        total = sum(bucket.total for bucket in recent)
        bad = sum(sum(bucket.bad_by_cause.values()) for bucket in recent)
        allowed = 1.0 - self.objective
        if not total:
            return 0.0
        return (bad / total) / allowed if allowed > 0 else float(bad > 0) * 1000.0


class Burn:
    """Count query outcomes and report burn rates."""

    def __init__(self) -> None:
        self._counts_by_group_and_service: dict[tuple[str, str], _BurnCounts] = {}

    def count(
        self, group: str, service: ServiceSpec, policy: Policy, outcome: str, took_s: float
    ) -> None:
        """Count one query; a complete answer after its deadline is bad as well."""
        key = (group, service.name)
        counts = self._counts_by_group_and_service.get(key)
        if counts is None:
            counts = self._counts_by_group_and_service[key] = _BurnCounts(service.objective)
        counts.objective = service.objective
        cause = LATE if outcome == GOOD and took_s > policy.deadline_s else outcome
        bucket = counts.bucket(time.time())
        bucket.total += 1
        if cause != GOOD:
            bucket.bad_by_cause[cause] = bucket.bad_by_cause.get(cause, 0) + 1
        counts.latencies.record_value(max(MIN_LATENCY_US, min(MAX_LATENCY_US, int(took_s * 1e6))))

    def rows(self) -> list[BurnRow]:
        """Return the burn rows of this box."""
        now = time.time()
        return [
            self._row(group, service, counts, now)
            for (group, service), counts in sorted(self._counts_by_group_and_service.items())
        ]

    def _row(self, group: str, service: str, counts: _BurnCounts, now: float) -> BurnRow:
        bad: dict[str, int] = {}
        for bucket in counts.buckets:
            for cause, count in bucket.bad_by_cause.items():
                bad[cause] = bad.get(cause, 0) + count
        slow_rate = counts.rate(SLOW_WINDOW_S, now)
        return BurnRow(
            group=group,
            service=service,
            objective=counts.objective,
            total=sum(bucket.total for bucket in counts.buckets),
            bad_by_cause=bad,
            fast_rate=counts.rate(FAST_WINDOW_S, now),
            slow_rate=slow_rate,
            budget_left=max(0.0, 1.0 - slow_rate),
            p50_ms=counts.latencies.get_value_at_percentile(50) / 1000,
            p99_ms=counts.latencies.get_value_at_percentile(99) / 1000,
        )


def merge_rows(rows: Iterable[BurnRow]) -> list[BurnRow]:
    """Return one row for each group and service from the rows of several boxes.

    Rates are weighted by the boxes' query counts; percentiles are those of the worst box.
    """
    merged: dict[tuple[str, str], BurnRow] = {}
    for row in rows:
        key = (row.group, row.service)
        previous = merged.get(key)
        merged[key] = row if previous is None else _merge(previous, row)
    return [merged[key] for key in sorted(merged)]


def _merge(one: BurnRow, other: BurnRow) -> BurnRow:
    total = one.total + other.total
    weight = one.total / total if total else 0.5
    causes = one.bad_by_cause.keys() | other.bad_by_cause.keys()
    fast = weight * one.fast_rate + (1 - weight) * other.fast_rate
    slow = weight * one.slow_rate + (1 - weight) * other.slow_rate
    return one._replace(
        total=total,
        bad_by_cause={
            cause: one.bad_by_cause.get(cause, 0) + other.bad_by_cause.get(cause, 0)
            for cause in sorted(causes)
        },
        fast_rate=fast,
        slow_rate=slow,
        budget_left=max(0.0, 1.0 - slow),
        p50_ms=max(one.p50_ms, other.p50_ms),
        p99_ms=max(one.p99_ms, other.p99_ms),
    )
