"""The parts of all limits that boxes have delegated to one counting box."""

from typing import NamedTuple

from trackwheel.limits.const import DELEGATION_VALID_S
from trackwheel.limits.models import Delegation, Stamp


class _Part(NamedTuple):
    until: float
    members: int
    settled: bool


class DelegatedParts:
    """Sums the parts of the boxes that delegate, and integrates the sum over time.

    `accrued` is the integral: a group's tokens grow by its rate times the growth of `accrued`.
    `started` sums the start parts. A part is 1/N with the largest N that any of the boxes knows.
    """

    def __init__(self, life: int, now: float) -> None:
        self._life = life
        self._now = now
        self._part_by_box: dict[str, _Part] = {}
        self._members = 0
        self._confirmed_members = 0
        self._next_expiry = float("inf")
        self._at_start = 0.0
        self._at_start_until = float("inf")
        self.accrued = 0.0
        self.started = 0.0

    @property
    def sum(self) -> float:
        """Return the sum of the delegated parts, 1 for the whole fleet."""
        boxes = len(self._part_by_box)
        return max(self._at_start, min(1.0, boxes / self._members) if boxes else 0.0)

    @property
    def boxes(self) -> int:
        """Return the number of boxes that delegate."""
        return len(self._part_by_box)

    def stamp(self, now: float) -> Stamp:
        """Return the stamp that a box has to echo."""
        return Stamp(self._life, now)

    def delegate(self, box: str, delegation: Delegation, now: float) -> None:
        """Count a delegation, from the stamp that it echoes."""
        self.advance(now)
        echo = delegation.echo
        if echo is None or echo.life != self._life or echo.at > now or delegation.members < 1:
            return
        until = echo.at + DELEGATION_VALID_S
        before = self._part_by_box.get(box)
        if until <= now or (before is not None and before.until >= until):
            return
        settled = any(part.settled for part in self._part_by_box.values())
        if not (delegation.settled or settled or self._confirmed_members):
            return
        self._part_by_box[box] = _Part(until, delegation.members, delegation.settled)
        self._next_expiry = min(self._next_expiry, until)
        if before is None or before.members != delegation.members:
            self._count_members()
        if delegation.starts:
            self.started += 1.0 / self._members

    @property
    def members(self) -> int:
        """Return the number of boxes that divide the limits; 0 if none delegates."""
        return self._members

    def confirm(self, members: int) -> None:
        """Take over what another counting box knows, which has settled boxes."""
        if members > self._confirmed_members:
            self._confirmed_members = members
            self._count_members()

    @property
    def known(self) -> bool:
        """Return whether this or another counting box counts delegated parts."""
        return bool(self._part_by_box or self._confirmed_members)

    @property
    def counts_at_start(self) -> bool:
        """Return whether a part counts that no box has delegated, or has done so in this life."""
        return self._at_start_until != float("inf")

    def count_at_start(self, part: float, since: float, until: float, now: float) -> bool:
        """Count a part that no box has delegated, from a past time on; once in a life.

        It brings its start parts twice over, as boxes do that settle twice. Returns whether the
        part was added.
        """
        self.advance(now)
        if self.counts_at_start or not since <= now < until:
            return False
        self.accrued += part * (now - since)
        self.started += 2.0 * part
        self._at_start, self._at_start_until = part, until
        self._next_expiry = min(self._next_expiry, until)
        return True

    def end_start(self, now: float) -> None:
        """Count delegated parts only."""
        self.advance(now)
        self._at_start = 0.0

    def advance(self, now: float) -> None:
        """Integrate up to a time; parts end when their delegation does."""
        while self._next_expiry <= now:
            self._integrate(self._next_expiry)
            expiry = self._next_expiry
            for box in [box for box, part in self._part_by_box.items() if part.until <= expiry]:
                del self._part_by_box[box]
            if expiry >= self._at_start_until:
                self._at_start = 0.0
            ends = [part.until for part in self._part_by_box.values()]
            if self._at_start:
                ends.append(self._at_start_until)
            self._next_expiry = min(ends, default=float("inf"))
            self._count_members()
        self._integrate(now)

    def _integrate(self, until: float) -> None:
        if until > self._now:
            self.accrued += self.sum * (until - self._now)
            self._now = until

    def _count_members(self) -> None:
        known = max((part.members for part in self._part_by_box.values()), default=0)
        settled = any(part.settled for part in self._part_by_box.values())
        self._members = max(known, 0 if settled else self._confirmed_members) if known else 0
