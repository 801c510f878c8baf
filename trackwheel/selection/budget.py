"""Retry budget: a sliding window for each service that limits the retries of all boxes together.

Each box may use a ratio of the first requests that it sent itself, plus its share of a fixed
allowance. The sum of these never exceeds the limit of the fleet, whichever boxes join or leave.
"""

from collections.abc import Mapping
from typing import NamedTuple

from trackwheel.selection.allowance_sharers import AllowanceSharers
from trackwheel.selection.const import (
    BUDGET_BUCKETS,
    BUDGET_EXTRA_SHARE,
    BUDGET_FLEET_SHARE,
    BUDGET_RATIO_SHARE,
    BUDGET_RESERVE_SHARE,
)


class RetryBudgetLimits(NamedTuple):
    """Limit for the whole fleet: retries within a window (seconds).

    They may number `ratio` times the first requests plus `extra`.
    """

    ratio: float
    window_s: float
    extra: float


class SlidingWindowCounter:
    """Counts the events of a sliding window in buckets."""

    def __init__(self, window_s: float) -> None:
        self._bucket_s = window_s / BUDGET_BUCKETS
        # Lists, since an empty deque takes 700 bytes and each service has two counters.
        self._count_by_bucket: list[tuple[int, int]] = []
        self._total = 0

    def add(self, now: float) -> None:
        """Count one event."""
        bucket = int(now / self._bucket_s)
        self._total += 1
        if self._count_by_bucket and self._count_by_bucket[-1][0] == bucket:
            self._count_by_bucket[-1] = (bucket, self._count_by_bucket[-1][1] + 1)
            return
        self._count_by_bucket.append((bucket, 1))

    def total(self, now: float, buckets: int) -> int:
        """Return the number of events in the newest buckets; drop older ones."""
        oldest = int(now / self._bucket_s) - buckets
        while self._count_by_bucket and self._count_by_bucket[0][0] < oldest:
            self._total -= self._count_by_bucket.pop(0)[1]
        return self._total


class RetryBudget:
    """Decides whether a retry or hedge for a service may be sent."""

    def __init__(self, limits: RetryBudgetLimits, started_at: float) -> None:
        self._limits = limits
        self.sharers = AllowanceSharers(started_at, limits.window_s)
        """Counts the boxes that divide the fixed allowance."""
        self._domains_by_shard: dict[str, frozenset[str]] = {}
        self._first_requests_by_service: dict[str, SlidingWindowCounter] = {}
        self._retries_by_service: dict[str, SlidingWindowCounter] = {}
        self.denied = 0

    def set_members(self, members: int, now: float) -> None:
        """Set the number of known boxes."""
        self.sharers.set_members(members, now)

    def set_gatherers(
        self, gatherers_by_domain: Mapping[str, int], own_domain: str, gathers: bool, now: float
    ) -> None:
        """Set the number of gatherers in each failure domain, and whether this box is one."""
        self.sharers.set_gatherers(gatherers_by_domain, own_domain, gathers, now)

    def set_shards(self, domains_by_shard: dict[str, frozenset[str]]) -> None:
        """Set the failure domains in which each shard has targets."""
        self._domains_by_shard = domains_by_shard

    @property
    def allows_any(self) -> bool:
        """Return whether a retry can ever be allowed, so that waiting for one can help."""
        return self._limits.ratio > 0.0 or self._limits.extra > 0.0

    def count_first(self, service: str, now: float) -> None:
        """Count a first request for a service."""
        self._count(self._first_requests_by_service, service).add(now)

    def try_spend(self, service: str, now: float, needed: bool = True) -> bool:
        """Charge one retry; return False if the budget does not allow it.

        `needed` tells that an answer fails without it; other retries leave a reserve.
        """
        # First requests are counted over one bucket less than the window and retries over one more,
        # so that no window exceeds the limit, wherever it begins.
        first_requests = self._count(self._first_requests_by_service, service).total(
            now, BUDGET_BUCKETS - 1
        )
        retries = self._count(self._retries_by_service, service).total(now, BUDGET_BUCKETS + 1)
        allowed = first_requests * self._limits.ratio * BUDGET_RATIO_SHARE + self._extra(
            service, now
        )
        if not needed:
            allowed *= 1.0 - BUDGET_RESERVE_SHARE
        if retries + 1 > allowed:
            self.denied += 1
            return False
        self._count(self._retries_by_service, service).add(now)
        return True

    def _extra(self, service: str, now: float) -> float:
        """Return this box's share of the fixed allowance for a service."""
        members = self.sharers.in_fleet(now)
        if not members:
            return 0.0
        allowance = self._limits.extra * BUDGET_EXTRA_SHARE
        domains = self._domains_by_shard.get(service)
        if domains is None:
            return allowance / members
        extra = allowance * BUDGET_FLEET_SHARE / members
        gatherers = self.sharers.in_domains(domains, now)
        if gatherers:
            extra += allowance * (1.0 - BUDGET_FLEET_SHARE) / gatherers
        return extra

    def _count(
        self, count_by_service: dict[str, SlidingWindowCounter], service: str
    ) -> SlidingWindowCounter:
        count = count_by_service.get(service)
        if count is None:
            count = count_by_service[service] = SlidingWindowCounter(self._limits.window_s)
        return count
