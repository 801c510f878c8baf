"""When a target is left out because of its answers, and when it is tried again."""

from trackwheel.dispatch.const import (
    EJECT_AFTER_FAILURES,
    EJECT_AFTER_STALLS,
    EJECT_FIRST_S,
    EJECT_LAST_S,
)


class Ejection:
    """Judge one target by its answers (times in seconds)."""

    def __init__(self) -> None:
        self._failures = 0
        self._stalls = 0
        self._stalled_at = float("-inf")
        self._length_s = EJECT_FIRST_S
        self.until: float | None = None

    def allows(self, now: float, running: int) -> bool:
        """Return whether work may go to the target; after an ejection, one trial at a time."""
        if self.until is None:
            return True
        return now >= self.until and running == 0

    def succeeded(self) -> bool:
        """Take a good answer; return whether it ended an ejection."""
        self._failures = 0
        self._stalls = 0
        self._length_s = EJECT_FIRST_S
        ended = self.until is not None
        self.until = None
        return ended

    def new_boot(self, now: float) -> None:
        """Take that the target has started anew: what its last boot did says little of it."""
        self._failures = 0
        self._stalls = 0
        self._length_s = EJECT_FIRST_S
        if self.until is not None:
            self.until = min(self.until, now)

    def failed(self, now: float) -> bool:
        """Take a broken answer or connection; return whether the target is now ejected."""
        self._failures += 1
        return self._judge(now, self._failures >= EJECT_AFTER_FAILURES)

    def stalled(self, started: float, now: float) -> bool:
        """Take a request that ran far too long; return whether the target is now ejected.

        Requests that overlap one that stalled were delayed by the same pause and count once.
        """
        if started < self._stalled_at:
            return False
        self._stalled_at = now
        self._stalls += 1
        return self._judge(now, self._stalls >= EJECT_AFTER_STALLS)

    def _judge(self, now: float, over: bool) -> bool:
        on_trial = self.until is not None and now >= self.until
        if not over and not on_trial:
            return False
        if self.until is not None and not on_trial:
            return False
        self.until = now + self._length_s
        self._length_s = min(EJECT_LAST_S, self._length_s * 2)
        return True
