"""Health and load of one incarnation of a target, as seen from this box's requests."""

from math import exp2
from typing import NamedTuple

from trackwheel.relay.models import Load, Outcome, RouteKey
from trackwheel.selection.const import (
    CONNECT_BACKOFF_S,
    DISCONNECT_EJECT_S,
    EJECT_AFTER_FAILURES,
    EJECT_S,
    FAILURE_HALF_LIFE_S,
    FAILURE_WEIGHT,
    FASTER_WEIGHT,
    LOAD_REPORT_LIFETIME_S,
    MAX_CONNECT_BACKOFF_S,
    MAX_EJECT_S,
    MAX_SLOWNESS,
    REPLACED_EJECT_S,
    SLOWER_WEIGHT,
    SLOWNESS_HALF_LIFE_S,
    STALL_FACTOR,
)


class InFlightRequest(NamedTuple):
    """A request that a target has not answered yet; `started` is monotonic seconds."""

    started: float
    expected_s: float
    route: RouteKey


class TargetRecord:
    """Estimates of one target's speed and failure rate; times are monotonic seconds."""

    def __init__(self) -> None:
        self.in_flight_by_token: dict[object, InFlightRequest] = {}
        self.ejected_until = 0.0
        self.gone_until = 0.0
        self.backoff_until = 0.0
        self.reported_down_until = 0.0
        self.answered_at = float("-inf")
        self.cold_until = float("-inf")
        self._slowness = 1.0
        self._slowness_at = 0.0
        self._failure_rate = 0.0
        self._failure_at = 0.0
        self._consecutive_failures = 0
        self._consecutive_refusals = 0
        self._load: Load | None = None
        self._load_at = 0.0

    @property
    def is_ejected(self) -> bool:
        """Return whether it was ejected because its last requests failed."""
        return self.ejected_until > 0.0

    def is_last_resort(self, now: float) -> bool:
        """Return whether failures here or at other boxes make it a last resort."""
        return max(self.ejected_until, self.reported_down_until) > now

    def update_load(self, load: Load, now: float) -> None:
        """Store the load that the target reported."""
        self._load, self._load_at = load, now

    def load(self, now: float) -> Load | None:
        """Return the last reported load, or None if the report is too old."""
        return self._load if now - self._load_at < LOAD_REPORT_LIFETIME_S else None

    def stalled_s(self, now: float) -> float:
        """Return the age of the oldest overdue request, 0 if none is overdue."""
        oldest = 0.0
        for request in self.in_flight_by_token.values():
            age = now - request.started
            if age > STALL_FACTOR * request.expected_s:
                oldest = max(oldest, age)
        return oldest

    def slowness(self, now: float) -> float:
        """Return how many times longer than usual the target takes; decays towards 1."""
        decay = exp2((self._slowness_at - now) / SLOWNESS_HALF_LIFE_S)
        return 1.0 + (self._slowness - 1.0) * decay

    def add_slowness_sample(self, ratio: float, now: float) -> None:
        """Add the ratio of one response time to the usual one."""
        before = self.slowness(now)
        ratio = min(MAX_SLOWNESS, ratio)
        weight = SLOWER_WEIGHT if ratio > before else FASTER_WEIGHT
        self._slowness = before + (ratio - before) * weight
        self._slowness_at = now

    def failure_rate(self, now: float) -> float:
        """Return the estimated share of requests that fail; decays towards 0."""
        return self._failure_rate * exp2((self._failure_at - now) / FAILURE_HALF_LIFE_S)

    def add_outcome(self, outcome: Outcome, now: float) -> None:
        """Record the outcome of a request."""
        failed = 0.0 if outcome is Outcome.OK else 1.0
        before = self.failure_rate(now)
        self._failure_rate = before + (failed - before) * FAILURE_WEIGHT
        self._failure_at = now
        if outcome is not Outcome.NOT_SENT:
            self._consecutive_refusals = 0
            self.backoff_until = 0.0
        if outcome is Outcome.OK:
            self._consecutive_failures = 0
            self.ejected_until = self.gone_until = self.reported_down_until = 0.0
            self.answered_at = now
        elif outcome is not Outcome.NOT_RUN:
            self._eject(outcome, now)

    def _eject(self, outcome: Outcome, now: float) -> None:
        """Eject the target for a time that depends on the kind of failure."""
        self._consecutive_failures += 1
        if outcome is Outcome.ELSEWHERE:
            self.ejected_until = self.gone_until = now + REPLACED_EJECT_S
        elif outcome is Outcome.NOT_SENT:
            self.ejected_until = now + DISCONNECT_EJECT_S
            backoff_s = CONNECT_BACKOFF_S * 2.0**self._consecutive_refusals
            self.backoff_until = now + min(MAX_CONNECT_BACKOFF_S, backoff_s)
            self._consecutive_refusals += 1
        elif self._consecutive_failures >= EJECT_AFTER_FAILURES:
            doublings = self._consecutive_failures - EJECT_AFTER_FAILURES
            self.ejected_until = now + min(MAX_EJECT_S, EJECT_S * 2**doublings)
