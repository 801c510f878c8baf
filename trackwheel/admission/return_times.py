"""Chooses when refused callers return: in the order in which they can be served; without I/O."""

from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from trackwheel.admission.const import MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S, RETURN_JITTER
from trackwheel.groups.models import Precedence


class ShardOutlook(NamedTuple):
    """What is believed of a shard (seconds).

    A request that comes in `ready_in_s` need not wait there; then it serves one each `pace_s`.
    """

    ready_in_s: float
    pace_s: float


def worst_needed(outlooks: Iterable[ShardOutlook], max_missing: int) -> ShardOutlook:
    """Return the outlook of the worst shard that is needed if `max_missing` may be left out."""
    worst_first = sorted(outlooks, reverse=True)
    return worst_first[min(max_missing, len(worst_first) - 1)]


class _Return(NamedTuple):
    """A caller that was told to return at a time (monotonic seconds)."""

    at: float
    precedence: Precedence


class ReturnTimes:
    """Spreads the returns of the callers that this box has refused."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._returns: list[_Return] = []

    def retry_after_s(self, precedence: Precedence, outlook: ShardOutlook, now: float) -> float:
        """Return when a refused caller should return, behind those that are served before it."""
        self._returns = [planned for planned in self._returns if planned.at > now]
        ahead = sum(1 for planned in self._returns if planned.precedence <= precedence)
        delay_s = max(MIN_RETRY_AFTER_S, outlook.ready_in_s) + ahead * outlook.pace_s
        # Other boxes refuse at the same time and know nothing of these returns.
        delay_s *= 1.0 + self._random.random() * RETURN_JITTER
        delay_s = min(MAX_RETRY_AFTER_S, delay_s)
        self._returns.append(_Return(now + delay_s, precedence))
        return delay_s
