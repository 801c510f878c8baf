"""Reports of targets that refuse connections, between gatherers of a domain, without I/O."""

from typing import NamedTuple

from trackwheel.relay.models import Incarnation, Outcome, Target
from trackwheel.selection.const import (
    DOWN_REPORT_DISTRUST_S,
    DOWN_REPORT_INTERVAL_S,
    REPORTED_DOWN_S,
)
from trackwheel.selection.target_selector import TargetSelector
from trackwheel.units import MILLISECONDS


class TargetDown(NamedTuple):
    """Report that a connection to a target failed `age_ms` before this was sent.

    `born_ms` is the target's start time (Unix milliseconds); it says nothing of later incarnations.
    """

    instance: str
    age_ms: float
    born_ms: int = 0

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation of the target that this is about."""
        return self.instance, self.born_ms


DOWN_REPORT_MESSAGES = (TargetDown,)


class _Reporter(NamedTuple):
    """The box that reported a target down, the time of the failure, and the end of its effect."""

    box: str
    failed_at: float
    until: float


class DownReports:
    """Decides which failed connections to report to other boxes, and which reports to apply.

    When a third of a fleet's targets end or are replaced at once, each box that sends them requests
    would otherwise detect each of them on its own: 2,031 failed connections in a day on 195 boxes,
    42 of which send requests to targets. A box reports only failures of its own connections and
    never passes a report on, so that a false report ends with its source. A report makes a target a
    last resort for at most one second. If a target answers here although a box reported it down,
    that box is distrusted for a while: it may be the one that is cut off.
    """

    def __init__(self, selector: TargetSelector) -> None:
        self._selector = selector
        self._reported_at_by_incarnation: dict[Incarnation, float] = {}
        self._reporter_by_incarnation: dict[Incarnation, _Reporter] = {}
        self._distrusted_until_by_box: dict[str, float] = {}
        self._next_clean_up = 0.0

    def request_ended(
        self, target: Target, outcome: Outcome, sent_at: float, now: float
    ) -> TargetDown | None:
        """Record the outcome of a request of this box; return the report to send, if any."""
        if outcome is Outcome.OK:
            self._note_contradiction(target.incarnation, sent_at)
            return None
        if outcome is not Outcome.NOT_SENT:
            return None
        self._reporter_by_incarnation.pop(target.incarnation, None)
        if (
            now - self._reported_at_by_incarnation.get(target.incarnation, float("-inf"))
            < DOWN_REPORT_INTERVAL_S
        ):
            return None
        self._clean_up(now)
        self._reported_at_by_incarnation[target.incarnation] = now
        return TargetDown(target.instance, 0.0, target.born_ms)

    def receive(self, box: str, report: TargetDown, now: float) -> bool:
        """Apply a report of another box; return whether it had any effect."""
        if self._distrusted_until_by_box.get(box, 0.0) > now:
            return False
        failed_at = now - max(0.0, report.age_ms) / MILLISECONDS
        until = failed_at + REPORTED_DOWN_S
        if until <= now or not self._selector.report_down(report.incarnation, failed_at, until):
            return False
        self._clean_up(now)
        self._reported_at_by_incarnation[report.incarnation] = now
        self._reporter_by_incarnation[report.incarnation] = _Reporter(box, failed_at, until)
        return True

    def _note_contradiction(self, incarnation: Incarnation, sent_at: float) -> None:
        """Distrust the box that reported a target down if a request sent after that succeeded."""
        reporter = self._reporter_by_incarnation.get(incarnation)
        if reporter is None or not reporter.failed_at <= sent_at < reporter.until:
            return
        del self._reporter_by_incarnation[incarnation]
        self._distrusted_until_by_box[reporter.box] = sent_at + DOWN_REPORT_DISTRUST_S

    def _clean_up(self, now: float) -> None:
        """Remove expired entries, at most once a second."""
        if now < self._next_clean_up:
            return
        self._next_clean_up = now + 1.0
        self._reported_at_by_incarnation = {
            incarnation: at
            for incarnation, at in self._reported_at_by_incarnation.items()
            if now - at < DOWN_REPORT_INTERVAL_S
        }
        self._reporter_by_incarnation = {
            incarnation: reporter
            for incarnation, reporter in self._reporter_by_incarnation.items()
            if reporter.until > now
        }
        self._distrusted_until_by_box = {
            box: until for box, until in self._distrusted_until_by_box.items() if until > now
        }
