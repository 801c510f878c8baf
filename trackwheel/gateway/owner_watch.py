"""Noticing owners that have fallen silent, long before the fleet can be sure of it.

A frozen box keeps its links open, so nothing breaks; only its answers stop. An owner that
owes an answer and is not heard for a moment is pinged; one that does not answer the ping
either is passed over, and its sub-requests go to other owners.
"""

from typing import NamedTuple

from trackwheel.gateway.const import OWNER_TIMEOUT_S, PING_AFTER_S


class PingOwner(NamedTuple):
    """Command: ask an owner for a sign of life."""

    owner: str


class OwnerSilent(NamedTuple):
    """Command: pass over an owner and end all asks at it."""

    owner: str


WatchCommand = PingOwner | OwnerSilent


class OwnerWatch:
    """Decide, from asks and signs of life, which owners have fallen silent."""

    def __init__(self) -> None:
        self._unheard_since_by_owner: dict[str, float] = {}
        self._pinged: set[str] = set()

    def asked(self, owner: str, now: float) -> None:
        """Take that an owner owes an answer from now on."""
        self._unheard_since_by_owner.setdefault(owner, now)

    def heard(self, owner: str) -> None:
        """Take a sign of life."""
        self._unheard_since_by_owner.pop(owner, None)
        self._pinged.discard(owner)

    def tick(self, now: float) -> list[WatchCommand]:
        """Do what is due."""
        commands: list[WatchCommand] = []
        for owner, since in list(self._unheard_since_by_owner.items()):
            if now >= since + 2 * OWNER_TIMEOUT_S:
                # This box was away itself: what it did not hear says nothing of others.
                self._pinged.discard(owner)
            if now >= since + OWNER_TIMEOUT_S and owner in self._pinged:
                self.heard(owner)
                commands.append(OwnerSilent(owner))
            elif now >= since + PING_AFTER_S and owner not in self._pinged:
                self._pinged.add(owner)
                # The ping's answer gets its full time even when this box was late to ask.
                self._unheard_since_by_owner[owner] = now - PING_AFTER_S
                commands.append(PingOwner(owner))
        return commands

    def next_wake(self) -> float:
        """Return when `tick` is next needed (seconds)."""
        return min(
            (
                since + (OWNER_TIMEOUT_S if owner in self._pinged else PING_AFTER_S)
                for owner, since in self._unheard_since_by_owner.items()
            ),
            default=float("inf"),
        )
