"""What counts against one request."""

from collections.abc import Iterable, Set

from trackwheel.quarantine.const import ENDS_TO_HOLD, NEVER, REPORT_AFTER_S, SETTLE_S, TRIAL_S
from trackwheel.relay.models import Incarnation


class Evidence:
    """The targets that ended under one request, none of which was answered (monotonic seconds)."""

    def __init__(self) -> None:
        self.lives: set[Incarnation] = set()
        self.own: set[Incarnation] = set()
        """Those that ended under it at this box."""
        self.last_at = 0.0
        self.report_at = NEVER
        self.is_told = False
        """Whether other boxes know of it too."""
        self.suspect_since = NEVER

    @property
    def due_at(self) -> float:
        """Return when it is to be reported or judged."""
        return min(self.report_at, self.suspect_since + SETTLE_S)

    def add(self, lives: Iterable[Incarnation], enough: int, now: float) -> None:
        """Take ends of targets; so many are enough to be a suspect."""
        self.lives.update(lives)
        self.last_at = now
        if len(self.lives) >= enough and self.suspect_since == NEVER:
            self.suspect_since = now

    def add_own(self, life: Incarnation, now: float) -> None:
        """Take that one of the targets ended at this box; others are told of it soon."""
        self.own.add(life)
        if self.report_at == NEVER:
            self.report_at = now + REPORT_AFTER_S

    def told(self) -> None:
        """Take that the other boxes are told what ended at this one."""
        self.report_at = NEVER
        self.is_told = True

    def take_out(self, explained: Set[Incarnation]) -> None:
        """Take that another request ended some of the targets."""
        self.lives -= explained
        self.own -= explained
        if len(self.lives) < ENDS_TO_HOLD:
            self.suspect_since = NEVER


class Trial:
    """A request that may go to one target, until when, and since when it is at one."""

    def __init__(self, until: float) -> None:
        self.until = until
        self.began_at = -NEVER

    def is_on(self, now: float) -> bool:
        """Return whether the request still goes to one target first."""
        return now < self.until

    def is_at_target(self, now: float) -> bool:
        """Return whether its one target has not ended it yet."""
        return now - self.began_at < TRIAL_S
