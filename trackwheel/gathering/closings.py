"""Number of connections that targets closed without an answer during one query."""


class ClosedConnections:
    """Counts the connections closed on this box and those that peers reported per group."""

    def __init__(self) -> None:
        self.own_count = 0
        self.count_by_group: dict[int, int] = {}

    @property
    def total(self) -> int:
        """Return the count of this box and its peers."""
        return self.own_count + sum(self.count_by_group.values())

    @property
    def has_any(self) -> bool:
        """Return whether any connection was closed."""
        return self.total > 0
