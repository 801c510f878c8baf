"""Recent demand of a group."""

from math import exp

from trackwheel.limits.const import DEMAND_DECAY_S


class RecentDemand:
    """Requests a second, averaged with exponentially decaying weight."""

    def __init__(self) -> None:
        self._rate_per_s = 0.0
        self._at = 0.0

    def add(self, requests: float, now: float) -> None:
        """Count requests that were made now."""
        self._rate_per_s = self.per_s(now) + requests / DEMAND_DECAY_S
        self._at = now

    def per_s(self, now: float) -> float:
        """Return the recent demand."""
        return self._rate_per_s * exp(-max(0.0, now - self._at) / DEMAND_DECAY_S)
