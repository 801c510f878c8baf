"""Crashes recorded against one request, and its trial at a single target."""

from collections.abc import Iterable, Set

from trackwheel.quarantine.const import (
    DECISION_DELAY_S,
    MIN_CRASHES_TO_HOLD,
    NEVER,
    REPORT_DELAY_S,
    TRIAL_TIMEOUT_S,
)
from trackwheel.relay.models import Incarnation


class Evidence:
    """Targets that crashed under one request without answering it (times in monotonic seconds)."""

    def __init__(self) -> None:
        self.incarnations: set[Incarnation] = set()
        self.own_incarnations: set[Incarnation] = set()
        """Targets whose crashes this box has seen itself."""
        self.last_crash_at = 0.0
        self.report_at = NEVER
        self.is_known_to_peers = False
        """Whether other boxes have recorded crashes of this request too."""
        self.suspect_since = NEVER

    @property
    def due_at(self) -> float:
        """Return when the next report or decision is due."""
        return min(self.report_at, self.suspect_since + DECISION_DELAY_S)

    def add(self, incarnations: Iterable[Incarnation], threshold: int, now: float) -> None:
        """Record crashed targets; the request becomes a suspect at `threshold` of them."""
        self.incarnations.update(incarnations)
        self.last_crash_at = now
        if len(self.incarnations) >= threshold and self.suspect_since == NEVER:
            self.suspect_since = now

    def add_own(self, incarnation: Incarnation, now: float) -> None:
        """Record that this box has seen one of the crashes itself, and schedule its report."""
        self.own_incarnations.add(incarnation)
        if self.report_at == NEVER:
            self.report_at = now + REPORT_DELAY_S

    def mark_reported(self) -> None:
        """Record that the crashes seen by this box have been reported."""
        self.report_at = NEVER
        self.is_known_to_peers = True

    def remove_attributed(self, incarnations: Set[Incarnation]) -> None:
        """Remove crashes that are attributed to another request."""
        self.incarnations -= incarnations
        self.own_incarnations -= incarnations
        if len(self.incarnations) < MIN_CRASHES_TO_HOLD:
            self.suspect_since = NEVER


class Trial:
    """A period in which a request goes to a single target before it may go to others."""

    def __init__(self, expires_at: float) -> None:
        self.expires_at = expires_at
        self.started_at = -NEVER

    def is_active(self, now: float) -> bool:
        """Return whether the request still has to pass a single target first."""
        return now < self.expires_at

    def is_in_progress(self, now: float) -> bool:
        """Return whether the result of the single target is still awaited."""
        return now - self.started_at < TRIAL_TIMEOUT_S
