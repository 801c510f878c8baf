"""Number of boxes that divide an allowance, so that their shares never exceed it in sum."""

from collections import deque
from collections.abc import Mapping

from trackwheel.selection.const import MEMBER_COUNT_WINDOW_S


class SlidingMaximum:
    """Keeps the largest value of a sliding window (seconds)."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._candidates: deque[tuple[float, int]] = deque()

    def add(self, value: int, now: float) -> None:
        """Record the value that holds from now on."""
        while self._candidates and self._candidates[-1][1] <= value:
            self._candidates.pop()
        self._candidates.append((now, value))
        while self._candidates[0][0] < now - self._window_s:
            self._candidates.popleft()

    @property
    def maximum(self) -> int:
        """Return the largest value of the window that ends at the last one added; 0 if none."""
        return self._candidates[0][1] if self._candidates else 0


class AllowanceSharers:
    """Counts the boxes among which an allowance for the targets of a service is divided.

    The largest number within the last minute applies, because a box that is cut off sees only
    itself. In the first window after its start (seconds) a box has no share: another box, or this
    one before its restart, may have used it, and a starting box does not know yet how many boxes
    there are. The same applies to the share of gatherers, from when a box becomes one of them.
    """

    def __init__(self, started_at: float, window_s: float) -> None:
        self._started_at = started_at
        self._window_s = window_s
        self._gathers_since: float | None = None
        self._members = SlidingMaximum(MEMBER_COUNT_WINDOW_S)
        self._gatherers_by_domain: dict[str, SlidingMaximum] = {}
        self._own_domain = ""

    def set_members(self, members: int, now: float) -> None:
        """Set the number of known boxes."""
        self._members.add(members, now)

    def set_gatherers(
        self, gatherers_by_domain: Mapping[str, int], own_domain: str, gathers: bool, now: float
    ) -> None:
        """Set the number of gatherers in each failure domain, and whether this box is one."""
        for domain, gatherers in gatherers_by_domain.items():
            self._gatherers_by_domain.setdefault(domain, SlidingMaximum(MEMBER_COUNT_WINDOW_S)).add(
                gatherers, now
            )
        self._own_domain = own_domain
        if not gathers:
            self._gathers_since = None
        elif self._gathers_since is None:
            self._gathers_since = now

    def in_fleet(self, now: float) -> int:
        """Return the number of boxes that divide the fleet's share; 0 if this one has none."""
        return 0 if self._is_new(self._started_at, now) else self._members.maximum

    def in_domains(self, domains: frozenset[str], now: float) -> int:
        """Return the number of gatherers in `domains`, which divide the share for their targets.

        0 if this box has none of it: it is not a gatherer, became one less than a window ago, or is
        in another failure domain.
        """
        lacks_share = self._gathers_since is None or self._is_new(self._gathers_since, now)
        if lacks_share or self._is_new(self._started_at, now) or self._own_domain not in domains:
            return 0
        known = domains & self._gatherers_by_domain.keys()
        return max(1, sum(self._gatherers_by_domain[domain].maximum for domain in known))

    def _is_new(self, since: float, now: float) -> bool:
        return now - since < self._window_s
