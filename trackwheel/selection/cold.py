"""Rate limit of requests to cold targets that holds for all boxes together, without I/O.

A target that has just started, or has become cold again, can take only a limited number of requests
a second and fails well above that. The limit holds for the sum over all boxes, even over those that
are cut off from each other: each box that may use the target has a fixed share of it and uses no
capacity that another one leaves.
"""

from collections import deque
from collections.abc import Mapping
from math import floor
from typing import Final, NamedTuple

from trackwheel.relay.models import Incarnation, Target
from trackwheel.selection.allowance_sharers import AllowanceSharers

COLD_WINDOW_S: Final = 1.0
"""Window in which the requests to a cold target are counted; limits are given for one second."""
MAX_FLEET_VIEWS: Final = 2
"""Most views of the fleet that can exist at once: while a partition splits it in two, each half
counts only its own boxes and chooses its own gatherers. Shares divided by this number stay within
the limit in sum over both halves."""


class ColdLimitMargin(NamedTuple):
    """The operator's margin above a cold limit: a factor, and a number of requests a second."""

    overshoot: float
    slack: float


class ColdLimit(NamedTuple):
    """Requests a second that a service's targets can take while cold; 0 means no limit.

    They are cold for `duration_s` after a start (seconds).
    """

    requests_per_s: float
    duration_s: float


UNLIMITED: Final = ColdLimit(0.0, 0.0)


class ColdTargetLimiter:
    """Limits what this box sends to each cold target to its share of the limit."""

    def __init__(self, margin: ColdLimitMargin, sharers: AllowanceSharers) -> None:
        self._margin = margin
        self._sharers = sharers
        self._limit_by_service: Mapping[str, ColdLimit] = {}
        self._shards: frozenset[str] = frozenset()
        self._sent_at_by_incarnation: dict[Incarnation, deque[float]] = {}

    def set_limits(self, limit_by_service: Mapping[str, ColdLimit], shards: frozenset[str]) -> None:
        """Set the limits by service, and which services are shards of a query."""
        self._limit_by_service = limit_by_service
        self._shards = shards

    def limit_of(self, service: str) -> ColdLimit:
        """Return the limit for cold targets of a service."""
        return self._limit_by_service.get(service, UNLIMITED)

    def share(self, target: Target, now: float) -> int:
        """Return how many requests a second this box may send to a cold target.

        Targets of shards get requests from the gatherers of their own failure domain, targets of
        other services from any box.
        """
        limit = self.limit_of(target.service)
        if target.service in self._shards:
            boxes = self._sharers.in_domains(frozenset({target.place.failure_domain}), now)
        else:
            boxes = self._sharers.in_fleet(now)
        if not boxes:
            return 0
        limit_per_s = limit.requests_per_s * self._margin.overshoot + self._margin.slack
        return floor(limit_per_s / (MAX_FLEET_VIEWS * boxes))

    def allows(self, target: Target, now: float) -> bool:
        """Return whether a cold target may get one more request from this box now."""
        if self.limit_of(target.service).requests_per_s <= 0.0:
            return True
        return len(self._recent_sends(target, now)) < self.share(target, now)

    def sent(self, target: Target, now: float) -> None:
        """Count a request to any target, since it may turn out to have been cold."""
        if self.limit_of(target.service).requests_per_s > 0.0:
            self._recent_sends(target, now).append(now)

    def retain(self, incarnations: set[Incarnation]) -> None:
        """Drop the state of all other targets."""
        self._sent_at_by_incarnation = {
            incarnation: sent
            for incarnation, sent in self._sent_at_by_incarnation.items()
            if incarnation in incarnations
        }

    def _recent_sends(self, target: Target, now: float) -> deque[float]:
        """Return the times of the requests to a target within the current window."""
        sent = self._sent_at_by_incarnation.setdefault(target.incarnation, deque())
        while sent and sent[0] <= now - COLD_WINDOW_S:
            sent.popleft()
        return sent
