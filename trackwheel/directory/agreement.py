"""Whether this box holds what a box holds that reads the store itself, without I/O."""

from typing import Final

LONGEST_PATIENCE_S: Final = 60.0
"""Two boxes that go on differing exchange everything no more often than this."""


class Agreement:
    """Compare digests under one revision; ask for everything where they go on differing.

    Two boxes that know all changes up to one revision hold the same targets. They may differ for
    the time that a watch and its news take; beyond that one of them lacks a change, and nothing
    that is told by revision would ever bring it.
    """

    def __init__(self, patience_s: float) -> None:
        self._shortest_patience_s = patience_s
        self._patience_s = patience_s
        self._differs_since: float | None = None

    def agrees(self) -> None:
        """Take that a box which reads the store holds the same."""
        self._differs_since = None
        self._patience_s = self._shortest_patience_s

    def moved(self) -> None:
        """Take that this box and another one are not at the same revision: that says nothing."""
        self._differs_since = None

    def differs(self, now: float) -> bool:
        """Take that they differ under one revision; return whether to ask for everything now."""
        if self._differs_since is None:
            self._differs_since = now
        if now - self._differs_since < self._patience_s:
            return False
        self._differs_since = now
        self._patience_s = min(LONGEST_PATIENCE_S, self._patience_s * 2)
        return True
