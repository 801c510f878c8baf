"""How many requests a cold target gets from this box, safe for all boxes together, without I/O.

A target that has just started, or that has turned cold again, bears so many requests a second, and
falls over well above that. The bound holds for the sum over all boxes, also over those that are cut
off from each other: each box that may ask the target has a fixed share of it, and uses no slack
that another one leaves.
"""

from collections import deque
from collections.abc import Mapping
from math import floor
from typing import Final, NamedTuple

from trackwheel.relay.allowance_sharers import AllowanceSharers
from trackwheel.relay.models import Life, Target

COLD_WINDOW_S: Final = 1.0
"""The span in which the requests to a cold target are counted, as its bound is given."""
MAX_FLEET_VIEWS: Final = 2
"""Views of the fleet that may stand beside each other: while it is cut in two, each half counts
only its own boxes and chooses others that ask targets. With the bound divided by as much, the
parts of both halves together stay within it."""


class ColdLimitMargin(NamedTuple):
    """The operator's slack above what a cold target bears: a factor, and requests in a second."""

    overshoot: float
    slack: float


class ColdLimit(NamedTuple):
    """What the targets of a service bear while cold (requests a second; 0: no bound is given).

    They are cold for `duration_s` after a start (seconds).
    """

    requests_per_s: float
    duration_s: float


UNBOUNDED: Final = ColdLimit(0.0, 0.0)


class ColdTargetLimiter:
    """Count what this box sends to each cold target, and hold it within its share of the bound."""

    def __init__(self, margin: ColdLimitMargin, sharers: AllowanceSharers) -> None:
        self._margin = margin
        self._sharers = sharers
        self._limit_by_service: Mapping[str, ColdLimit] = {}
        self._shards: frozenset[str] = frozenset()
        self._sent_at_by_life: dict[Life, deque[float]] = {}

    def set_limits(self, limit_by_service: Mapping[str, ColdLimit], shards: frozenset[str]) -> None:
        """Take what the services' cold targets bear, and which services are shards of a query."""
        self._limit_by_service = limit_by_service
        self._shards = shards

    def limit_of(self, service: str) -> ColdLimit:
        """Return what the cold targets of a service bear."""
        return self._limit_by_service.get(service, UNBOUNDED)

    def share(self, target: Target, now: float) -> int:
        """Return how many requests in a second this box may send to a cold target.

        A shard's target is asked by those boxes of its own failure domain that ask for others; any
        box may ask one of another service.
        """
        limit = self.limit_of(target.service)
        if target.service in self._shards:
            boxes = self._sharers.in_domains(frozenset({target.place.failure_domain}), now)
        else:
            boxes = self._sharers.in_fleet(now)
        if not boxes:
            return 0
        bound = limit.requests_per_s * self._margin.overshoot + self._margin.slack
        return floor(bound / (MAX_FLEET_VIEWS * boxes))

    def allows(self, target: Target, now: float) -> bool:
        """Return whether a target that is cold now may get one more request from this box."""
        if self.limit_of(target.service).requests_per_s <= 0.0:
            return True
        return len(self._recent_sends(target, now)) < self.share(target, now)

    def sent(self, target: Target, now: float) -> None:
        """Count a request to a target, which may turn out to have been cold by then."""
        if self.limit_of(target.service).requests_per_s > 0.0:
            self._recent_sends(target, now).append(now)

    def retain(self, lives: set[Life]) -> None:
        """Drop what is known of targets that are gone."""
        self._sent_at_by_life = {
            life: sent for life, sent in self._sent_at_by_life.items() if life in lives
        }

    def _recent_sends(self, target: Target, now: float) -> deque[float]:
        """Return when requests went to a target within the window before now."""
        sent = self._sent_at_by_life.setdefault(target.life, deque())
        while sent and sent[0] <= now - COLD_WINDOW_S:
            sent.popleft()
        return sent
