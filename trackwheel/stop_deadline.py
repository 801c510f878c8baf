"""The time by which a stopping box has answered its clients."""

from typing import Final

TARGET_ANSWER_MARGIN_S: Final = 0.05
"""Margin between the last useful answer of a target and the last answer of a stopping box: the way
from the farthest target and the time to write the answer."""
MIN_RETRY_AFTER_S: Final = 0.2
"""Shortest Retry-After of a stopping box."""
STOPPING: Final = "this box is stopping"
"""Failure reason of a request that a stopping box cannot finish."""


class StopDeadline:
    """When this box answers its last request: never, until it is told to stop.

    Times are monotonic seconds. A request that would take longer is refused before a target gets
    it: its client can go to another box, but could not know after a cut whether it had run.
    """

    def __init__(self) -> None:
        self._at = float("inf")

    def set(self, at: float) -> None:
        """Set the time of the last answer."""
        self._at = at

    @property
    def is_set(self) -> bool:
        """Return whether this box is stopping."""
        return self._at < float("inf")

    def has_passed(self, now: float) -> bool:
        """Return whether no request can be served any more."""
        return now >= self._at

    def left_s(self, now: float) -> float:
        """Return the time until the last answer (seconds)."""
        return self._at - now

    def leaves_time(self, needed_s: float, now: float) -> bool:
        """Return whether a target's answer that takes `needed_s` arrives in time."""
        return now + needed_s <= self.target_deadline

    @property
    def target_deadline(self) -> float:
        """Return the last moment at which the answer of a target is of use."""
        return self._at - TARGET_ANSWER_MARGIN_S

    def retry_after_s(self, now: float) -> float:
        """Return when a refused client may return: this box no longer takes its connection then."""
        return max(MIN_RETRY_AFTER_S, self._at - now)


NO_STOP: Final = StopDeadline()
"""The deadline of parts that outlive every request; it is never set."""
