"""Distinguishes a pause, which delays all running requests, from a target that became slower."""

from typing import Final

STALL_FACTOR: Final = 4.0
"""A request that takes more than this multiple of the typical time has stalled."""

CONFIRM_WITHIN_S: Final = 1.0
"""A second stall confirms a slower target if its request started this soon after the first."""


class StallFilter:
    """Limit the effect of stalled requests on latency estimates of one target (times in seconds).

    A paused process delays every running request by the same pause. Requests that overlap a
    stalled one are therefore a single sample, and its value is capped. The full value is used
    only when a request that started soon after a stalled one stalls as well, since the target
    has then become slower.
    """

    def __init__(self) -> None:
        self._stalled_at: float | None = None

    def admit(self, started: float, took_s: float, typical_s: float, now: float) -> float | None:
        """Return the sample to use for a request, None if an earlier stall explains its delay."""
        max_s = STALL_FACTOR * typical_s
        if self._stalled_at is not None and started < self._stalled_at:
            return took_s if took_s <= typical_s else None
        if took_s <= max_s:
            self._stalled_at = None
            return took_s
        if self._stalled_at is not None and started < self._stalled_at + CONFIRM_WITHIN_S:
            # Requests that overlap this one were delayed by the same pause.
            self._stalled_at = now
            return took_s
        self._stalled_at = now
        return max_s

    def reset(self) -> None:
        """Discard the last stall."""
        self._stalled_at = None
