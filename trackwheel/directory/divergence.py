"""Detects, without I/O, that this box holds other targets than a box that reads the store."""

from typing import Final

MAX_RESYNC_INTERVAL_S: Final = 60.0
"""Longest time between two full resyncs of boxes that keep differing."""


class DivergenceDetector:
    """Compare digests at one revision; request a full resync where they keep differing.

    Two boxes that know all changes up to one revision hold the same targets. They may differ for as
    long as a watch and its propagation take; beyond that one of them lacks a change, and no update
    that is requested by revision would ever include it.
    """

    def __init__(self, interval_s: float) -> None:
        self._min_interval_s = interval_s
        self._interval_s = interval_s
        self._mismatch_since: float | None = None

    def record_match(self) -> None:
        """Record that a box which reads the store holds the same targets."""
        self._mismatch_since = None
        self._interval_s = self._min_interval_s

    def record_other_revision(self) -> None:
        """Record that the two boxes are at different revisions, which allows no comparison."""
        self._mismatch_since = None

    def record_mismatch(self, now: float) -> bool:
        """Record a mismatch at one revision; return whether to request a full resync now."""
        if self._mismatch_since is None:
            self._mismatch_since = now
        if now - self._mismatch_since < self._interval_s:
            return False
        self._mismatch_since = now
        self._interval_s = min(MAX_RESYNC_INTERVAL_S, self._interval_s * 2)
        return True
