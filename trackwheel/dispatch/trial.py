"""When work is sent although the target is thought too slow for it, to see whether it still is.

Refused work teaches nothing: without trials a target that was slow for a second would be refused
for ever.
"""

from trackwheel.dispatch.const import TRIAL_PAUSE_FIRST_S, TRIAL_PAUSE_LAST_S
from trackwheel.dispatch.models import WorkKey


class Trial:
    """Allow one trial at a time, and ever fewer while they fail (times in seconds)."""

    def __init__(self) -> None:
        self._key: WorkKey | None = None
        self._next_at = 0.0
        self._pause_s = TRIAL_PAUSE_FIRST_S

    def allows(self, now: float) -> bool:
        """Return whether a trial may begin."""
        return self._key is None and now >= self._next_at

    def begin(self, key: WorkKey) -> None:
        """Take which work is the trial."""
        self._key = key

    def succeeded(self, key: WorkKey) -> bool:
        """Take a good answer; return whether it was the trial's."""
        if key != self._key:
            return False
        self._key = None
        self._pause_s = TRIAL_PAUSE_FIRST_S
        return True

    def ended(self, key: WorkKey, now: float) -> None:
        """Take that work ended in any other way: after a trial the next one waits longer."""
        if key != self._key:
            return
        self._key = None
        self._next_at = now + self._pause_s
        self._pause_s = min(TRIAL_PAUSE_LAST_S, self._pause_s * 2)
