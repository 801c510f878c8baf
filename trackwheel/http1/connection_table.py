"""The open connections of a server, and which one gives way when there are too many."""

from collections.abc import Iterator
from enum import IntEnum
from typing import Generic, Protocol, TypeVar


class Use(IntEnum):
    """What a connection is used for; one with a lower value gives way first."""

    IDLE = 0
    READING = 1
    SENDING = 2
    IN_PROGRESS = 3


class Connection(Protocol):
    """A connection that can give way to others."""

    @property
    def use(self) -> Use:
        """Return what the connection is used for."""

    def give_way(self) -> None:
        """Close the connection; refuse a request of which nothing has run."""


C = TypeVar("C", bound=Connection)


class ConnectionTable(Generic[C]):
    """Hold connections in the order in which their clients were last read."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        # The values are not used: a dictionary keeps the order.
        self._connections: dict[C, None] = {}

    def __len__(self) -> int:
        return len(self._connections)

    def __iter__(self) -> Iterator[C]:
        return iter(self._connections)

    def add(self, connection: C) -> bool:
        """Add a new connection; at the limit another one gives way.

        Return False, without adding it, if requests are in progress on all others.
        """
        if len(self._connections) >= self._limit and not self._make_room():
            return False
        self._connections[connection] = None
        return True

    def touch(self, connection: C) -> None:
        """Note that a client was read."""
        if connection in self._connections:
            del self._connections[connection]
            self._connections[connection] = None

    def discard(self, connection: C) -> None:
        """Remove a connection that has ended."""
        self._connections.pop(connection, None)

    def _make_room(self) -> bool:
        """Let the connection of least use give way, of several the one read the longest ago."""
        first_by_use: dict[Use, C] = {}
        for connection in self._connections:
            first_by_use.setdefault(connection.use, connection)
            if Use.IDLE in first_by_use:
                break
        first_by_use.pop(Use.IN_PROGRESS, None)
        if not first_by_use:
            return False
        chosen = first_by_use[min(first_by_use)]
        del self._connections[chosen]
        chosen.give_way()
        return True
