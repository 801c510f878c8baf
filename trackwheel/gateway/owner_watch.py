"""Detects unresponsive owners, long before the failure detector of the fleet does.

A frozen box keeps its connections open, so only its missing answers reveal it. An owner with
outstanding sub-requests is pinged if nothing is received from it for PING_AFTER_S. If the ping is
not answered either, the owner is bypassed and its sub-requests go to other owners.
"""

from typing import NamedTuple

from trackwheel.gateway.const import OWNER_TIMEOUT_S, PING_AFTER_S


class PingOwner(NamedTuple):
    """Command: ping an owner."""

    owner: str


class OwnerSilent(NamedTuple):
    """Command: bypass an owner and fail the sub-requests at it."""

    owner: str


WatchCommand = PingOwner | OwnerSilent


class OwnerWatch:
    """Detect unresponsive owners from sent sub-requests and received messages."""

    def __init__(self) -> None:
        self._waiting_since_by_owner: dict[str, float] = {}
        self._pinged: set[str] = set()

    def request_sent(self, owner: str, now: float) -> None:
        """Record that a sub-request to an owner is outstanding."""
        self._waiting_since_by_owner.setdefault(owner, now)

    def message_received(self, owner: str) -> None:
        """Record that a message of an owner was received."""
        self._waiting_since_by_owner.pop(owner, None)
        self._pinged.discard(owner)

    def tick(self, now: float) -> list[WatchCommand]:
        """Return the pings and time-outs that are due."""
        commands: list[WatchCommand] = []
        for owner, since in list(self._waiting_since_by_owner.items()):
            if now >= since + 2 * OWNER_TIMEOUT_S:
                # This box was suspended itself, so missing answers prove nothing.
                self._pinged.discard(owner)
            if now >= since + OWNER_TIMEOUT_S and owner in self._pinged:
                self.message_received(owner)
                commands.append(OwnerSilent(owner))
            elif now >= since + PING_AFTER_S and owner not in self._pinged:
                self._pinged.add(owner)
                # Allow the full time for an answer even if this box sent the ping late.
                self._waiting_since_by_owner[owner] = now - PING_AFTER_S
                commands.append(PingOwner(owner))
        return commands

    def next_wake(self) -> float:
        """Return the time of the next `tick` (seconds)."""
        return min(
            (
                since + (OWNER_TIMEOUT_S if owner in self._pinged else PING_AFTER_S)
                for owner, since in self._waiting_since_by_owner.items()
            ),
            default=float("inf"),
        )
