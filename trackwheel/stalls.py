"""Tells a pause, which delays all requests under way, from a target that has become slower."""

from typing import Final

STALL_FACTOR: Final = 4.0
"""A request that takes this many times the usual has stalled."""

CONFIRM_WITHIN_S: Final = 1.0
"""A request that begins within this time of a stalled one tells a slower target from a pause."""


class StallFilter:
    """Bound what the requests to one target that stalled teach (times in seconds).

    A process that pauses delays every request under way by the same pause. Requests that overlap
    one that stalled are therefore one observation, which counts with a bounded weight; a target
    has become slower only when a request that began soon after a stalled one stalls as well.
    """

    def __init__(self) -> None:
        self._stalled_at: float | None = None

    def admit(self, started: float, took_s: float, usual_s: float, now: float) -> float | None:
        """Return the time to learn from a request, None when an earlier stall explains it."""
        most_s = STALL_FACTOR * usual_s
        if self._stalled_at is not None and started < self._stalled_at:
            return took_s if took_s <= usual_s else None
        if took_s <= most_s:
            self._stalled_at = None
            return took_s
        if self._stalled_at is not None and started < self._stalled_at + CONFIRM_WITHIN_S:
            return took_s
        self._stalled_at = now
        return most_s

    def forget(self) -> None:
        """Take that what was learnt before says nothing any more."""
        self._stalled_at = None
