"""How many targets ended the connection under one query."""


class Closings:
    """Count ends at this box, and what each peer told of its group."""

    def __init__(self) -> None:
        self.own = 0
        self.by_group: dict[int, int] = {}

    @property
    def total(self) -> int:
        """Return how many there were, here and at peers."""
        return self.own + sum(self.by_group.values())

    @property
    def any(self) -> bool:
        """Return whether there was one."""
        return self.total > 0
