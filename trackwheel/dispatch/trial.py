"""Trial requests to a target whose estimated service time is too long for the offered work.

Refused work yields no new measurement: without trials, a target that was slow for a second would
get no more work.
"""

from trackwheel.dispatch.const import TRIAL_BACKOFF_INITIAL_S, TRIAL_BACKOFF_MAX_S
from trackwheel.dispatch.models import WorkKey


class Trial:
    """Allow one trial at a time, with exponential backoff after failures (times in seconds)."""

    def __init__(self) -> None:
        self._key: WorkKey | None = None
        self._next_at = 0.0
        self._backoff_s = TRIAL_BACKOFF_INITIAL_S

    def allows(self, now: float) -> bool:
        """Return whether a trial may begin."""
        return self._key is None and now >= self._next_at

    def begin(self, key: WorkKey) -> None:
        """Record the work that is sent as the trial."""
        self._key = key

    def record_success(self, key: WorkKey) -> bool:
        """Record a successful request; return whether it was the trial."""
        if key != self._key:
            return False
        self._key = None
        self._backoff_s = TRIAL_BACKOFF_INITIAL_S
        return True

    def record_end(self, key: WorkKey, now: float) -> None:
        """Record a request that did not succeed; if it was the trial, back off before the next."""
        if key != self._key:
            return
        self._key = None
        self._next_at = now + self._backoff_s
        self._backoff_s = min(TRIAL_BACKOFF_MAX_S, self._backoff_s * 2)
