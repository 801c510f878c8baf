"""Ejection of targets that fail or stall, and their readmission."""

from trackwheel.dispatch.const import (
    EJECT_AFTER_FAILURES,
    EJECT_AFTER_STALLS,
    EJECTION_INITIAL_S,
    EJECTION_MAX_S,
)


class Ejection:
    """Track the failures and stalls of one target and eject it (times in seconds)."""

    def __init__(self) -> None:
        self._failures = 0
        self._stalls = 0
        self._stalled_at = float("-inf")
        self._duration_s = EJECTION_INITIAL_S
        self.until: float | None = None

    def allows(self, now: float, running: int) -> bool:
        """Return whether work may be sent; after an ejection only one request at a time."""
        if self.until is None:
            return True
        return now >= self.until and running == 0

    def record_success(self) -> bool:
        """Record a successful request; return whether it ended an ejection."""
        self._failures = 0
        self._stalls = 0
        self._duration_s = EJECTION_INITIAL_S
        ended = self.until is not None
        self.until = None
        return ended

    def record_new_boot(self, now: float) -> None:
        """Record a restart of the target: forget its failures and allow a request at once."""
        self._failures = 0
        self._stalls = 0
        self._duration_s = EJECTION_INITIAL_S
        if self.until is not None:
            self.until = min(self.until, now)

    def record_failure(self, now: float) -> bool:
        """Record a failed request; return whether the target was ejected."""
        self._failures += 1
        return self._update(now, self._failures >= EJECT_AFTER_FAILURES)

    def record_stall(self, started: float, now: float) -> bool:
        """Record a stalled request; return whether the target was ejected.

        Requests that overlap an earlier stalled one were delayed by the same pause and are not
        counted again.
        """
        if started < self._stalled_at:
            return False
        self._stalled_at = now
        self._stalls += 1
        return self._update(now, self._stalls >= EJECT_AFTER_STALLS)

    def _update(self, now: float, threshold_reached: bool) -> bool:
        on_trial = self.until is not None and now >= self.until
        if not threshold_reached and not on_trial:
            return False
        if self.until is not None and not on_trial:
            return False
        self.until = now + self._duration_s
        self._duration_s = min(EJECTION_MAX_S, self._duration_s * 2)
        return True
