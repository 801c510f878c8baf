"""The budget of repeats: a sliding window for each service, safe for all boxes together.

Each box allows itself a part of the requests that it sent itself, plus its share of the fixed
allowance. Sums of such parts keep the fleet's bound, whoever comes or goes.
"""

from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

from trackwheel.relay.allowance_sharers import AllowanceSharers
from trackwheel.relay.const import (
    BUDGET_BUCKETS,
    BUDGET_EXTRA_SHARE,
    BUDGET_FLEET_SHARE,
    BUDGET_RATIO_SHARE,
    BUDGET_RESERVE_SHARE,
)


class RetryBudgetLimits(NamedTuple):
    """The bound for the whole fleet: repeats within a window (seconds)."""

    ratio: float
    window_s: float
    extra: float


class SlidingWindowCounter:
    """Count events of the last window, in buckets."""

    def __init__(self, window_s: float) -> None:
        self._bucket_s = window_s / BUDGET_BUCKETS
        self._count_by_bucket: deque[tuple[int, int]] = deque()
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
        """Return how many events the newest buckets hold; older ones are forgotten."""
        oldest = int(now / self._bucket_s) - buckets
        while self._count_by_bucket and self._count_by_bucket[0][0] < oldest:
            self._total -= self._count_by_bucket.popleft()[1]
        return self._total


class RetryBudget:
    """Decide whether one more request for a service may be sent than clients asked for."""

    def __init__(self, limits: RetryBudgetLimits, born: float) -> None:
        self._limits = limits
        self.sharers = AllowanceSharers(born, limits.window_s)
        """The boxes that divide the fixed allowance."""
        self._domains_by_shard: dict[str, frozenset[str]] = {}
        self._firsts_by_service: dict[str, SlidingWindowCounter] = {}
        self._repeats_by_service: dict[str, SlidingWindowCounter] = {}
        self.denied = 0

    def set_members(self, members: int, now: float) -> None:
        """Take how many boxes are known."""
        self.sharers.set_members(members, now)

    def set_gatherers(
        self, gatherers_by_domain: Mapping[str, int], own_domain: str, gathers: bool, now: float
    ) -> None:
        """Take how many boxes of each failure domain ask targets for others, and if this does."""
        self.sharers.set_gatherers(gatherers_by_domain, own_domain, gathers, now)

    def set_shards(self, domains_by_shard: dict[str, frozenset[str]]) -> None:
        """Take in which failure domains the targets of each shard are."""
        self._domains_by_shard = domains_by_shard

    @property
    def allows_any(self) -> bool:
        """Return whether a repeat may ever be paid for, so that it can be worth waiting."""
        return self._limits.ratio > 0.0 or self._limits.extra > 0.0

    def count_first(self, service: str, now: float) -> None:
        """Count a first request for a service."""
        self._count(self._firsts_by_service, service).add(now)

    def try_spend(self, service: str, now: float, needed: bool = True) -> bool:
        """Pay for one repeat; return False when the budget does not allow it.

        `needed` says that an answer fails without it; others leave a reserve.
        """
        # One bucket less on the side of requests and one more on that of repeats: no window,
        # wherever it begins, then holds more than the rule says.
        firsts = self._count(self._firsts_by_service, service).total(now, BUDGET_BUCKETS - 1)
        repeats = self._count(self._repeats_by_service, service).total(now, BUDGET_BUCKETS + 1)
        allowed = firsts * self._limits.ratio * BUDGET_RATIO_SHARE + self._extra(service, now)
        if not needed:
            allowed *= 1.0 - BUDGET_RESERVE_SHARE
        if repeats + 1 > allowed:
            self.denied += 1
            return False
        self._count(self._repeats_by_service, service).add(now)
        return True

    def _extra(self, service: str, now: float) -> float:
        """Return this box's part of the fixed allowance for a service."""
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
