"""Share of the requests of each precedence that are served, without I/O."""

from math import exp2

from trackwheel.admission.const import MIN_SERVED_SHARE, SERVED_HALF_LIFE_S
from trackwheel.groups.models import Precedence


class _Counts:
    """Served and lost requests, which decay."""

    def __init__(self) -> None:
        self.served = 0.0
        self.lost = 0.0
        self._at = 0.0

    def decay(self, now: float) -> None:
        factor = exp2((self._at - now) / SERVED_HALF_LIFE_S)
        self.served *= factor
        self.lost *= factor
        self._at = now

    @property
    def share(self) -> float:
        """Return the served share, 1 if nothing was counted."""
        ended = self.served + self.lost
        return self.served / ended if ended > 0.0 else 1.0


class ServedShares:
    """Counts what became of the requests of each precedence."""

    def __init__(self) -> None:
        self._all = _Counts()
        self._counts_by_precedence: dict[Precedence, _Counts] = {}

    def count(self, precedence: Precedence, served: bool, now: float) -> None:
        """Count a request that was sent to its target, or was lost without having been sent."""
        for counts in (self._all, self._counts_by_precedence.setdefault(precedence, _Counts())):
            counts.decay(now)
            if served:
                counts.served += 1.0
            else:
                counts.lost += 1.0

    def is_starved(self, precedence: Precedence) -> bool:
        """Return whether requests of a precedence are served much less often than all."""
        counts = self._counts_by_precedence.get(precedence)
        return counts is not None and counts.share < MIN_SERVED_SHARE * self._all.share
