"""How many boxes share an allowance of the whole fleet, so that their parts are safe in sum."""

from collections import deque
from collections.abc import Mapping

from trackwheel.relay.const import MEMBER_COUNT_WINDOW_S


class SlidingMaximum:
    """Keep the largest value of a span (seconds)."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._candidates: deque[tuple[float, int]] = deque()

    def add(self, value: int, now: float) -> None:
        """Take the value as it is from now on."""
        while self._candidates and self._candidates[-1][1] <= value:
            self._candidates.pop()
        self._candidates.append((now, value))
        while self._candidates[0][0] < now - self._window_s:
            self._candidates.popleft()

    @property
    def maximum(self) -> int:
        """Return the largest value of the span before the last one was taken; 0 for none."""
        return self._candidates[0][1] if self._candidates else 0


class AllowanceSharers:
    """Count the boxes among which an allowance for the targets of a service is divided.

    The most boxes of the last minute count: one that is cut off thinks that it is alone. For one
    window of its life (seconds) a box has no part: another box, or an earlier life of this one, may
    have used it, and at its start a box does not know yet how many there are. The same holds for
    the part of those that ask targets for others, from when a box is one of them.
    """

    def __init__(self, born: float, window_s: float) -> None:
        self._born = born
        self._window_s = window_s
        self._gathers_since: float | None = None
        self._members = SlidingMaximum(MEMBER_COUNT_WINDOW_S)
        self._gatherers_by_domain: dict[str, SlidingMaximum] = {}
        self._own_domain = ""

    def set_members(self, members: int, now: float) -> None:
        """Take how many boxes are known."""
        self._members.add(members, now)

    def set_gatherers(
        self, gatherers_by_domain: Mapping[str, int], own_domain: str, gathers: bool, now: float
    ) -> None:
        """Take how many boxes of each failure domain ask targets for others, and if this does."""
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
        """Return how many boxes divide what is for all of them; 0 when this one has no part."""
        return 0 if self._is_new(self._born, now) else self._members.maximum

    def in_domains(self, domains: frozenset[str], now: float) -> int:
        """Return how many divide what is for those that ask the targets of some domains.

        0 when this box has no part: it asks none for others, or only since a moment, or stands in
        another domain.
        """
        waits = self._gathers_since is None or self._is_new(self._gathers_since, now)
        if waits or self._is_new(self._born, now) or self._own_domain not in domains:
            return 0
        known = domains & self._gatherers_by_domain.keys()
        return max(1, sum(self._gatherers_by_domain[domain].maximum for domain in known))

    def _is_new(self, since: float, now: float) -> bool:
        return now - since < self._window_s
