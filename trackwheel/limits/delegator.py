"""The side of a box that delegates its part of all limits, to one counting box at a time."""

from trackwheel.limits.const import (
    DELEGATION_PERIOD_S,
    DELEGATION_VALID_S,
    MEMBER_MEMORY_S,
    PRESUMED_MEMBERS_S,
    SETTLE_S,
    YOUNG_S,
)
from trackwheel.limits.models import Delegated, Delegation, SendLimit, Stamp
from trackwheel.selection.allowance_sharers import SlidingMaximum


class PartDelegator:
    """Decides when to delegate, and to which counting box."""

    def __init__(self, domains: int, now: float) -> None:
        self._domains = domains
        self._started_at = now
        self._members = SlidingMaximum(MEMBER_MEMORY_S)
        self._members.add(1, now)
        self._count = 1
        self._presumed = 1
        self._wanted = ""
        self._holder = ""
        self._bound_until = now
        self._stamp: Stamp | None = None
        self._brings_start = True
        self._next_send = now + YOUNG_S

    @property
    def members(self) -> int:
        """Return the number of boxes that divide the limits."""
        return self._members.maximum

    @property
    def holder(self) -> str:
        """Return the counting box that has this box's part; empty before the first delegation."""
        return self._holder

    @property
    def next_wake(self) -> float:
        """Return when `tick` is due."""
        return self._next_send

    def set_members(self, boxes_by_domain: dict[str, int], counting_box: str, now: float) -> None:
        """Set the number of known boxes of each failure domain and the own counting box."""
        self._count = sum(boxes_by_domain.values())
        missing = max(0, self._domains - len(boxes_by_domain))
        self._presumed = self._count + missing * max(boxes_by_domain.values(), default=0)
        self._wanted = counting_box
        self._count_members(now)

    def tick(self, now: float) -> list[SendLimit]:
        """Delegate, unless the last promise to another counting box is still binding."""
        if now < self._next_send:
            return []
        self._count_members(now)
        if self._holder != self._wanted:
            if now < self._bound_until:
                self._next_send = min(now + DELEGATION_PERIOD_S, self._bound_until)
                return []
            self._holder, self._stamp = self._wanted, None
        self._next_send = now + DELEGATION_PERIOD_S
        return self._send(now)

    def receive(self, address: str, answer: Delegated, now: float) -> list[SendLimit]:
        """Keep the stamp of a counting box; the first one is echoed at once."""
        if address != self._holder or address != self._wanted:
            return []
        is_first = self._stamp is None or self._stamp.life != answer.stamp.life
        if is_first or (self._stamp is not None and answer.stamp.at > self._stamp.at):
            self._stamp = answer.stamp
        return self._send(now) if is_first else []

    def _send(self, now: float) -> list[SendLimit]:
        if not self._holder:
            return []
        settled = now - self._started_at >= SETTLE_S
        starts = self._brings_start and settled and self._stamp is not None
        if self._stamp is not None:
            self._brings_start &= not starts
            self._bound_until = now + DELEGATION_VALID_S
        message = Delegation(self.members, self._stamp, starts, settled)
        return [SendLimit(self._holder, message)]

    def _count_members(self, now: float) -> None:
        is_young = now - self._started_at < PRESUMED_MEMBERS_S
        self._members.add(self._presumed if is_young else self._count, now)
