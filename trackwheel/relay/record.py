"""What this box knows of one target in one of its lives, learnt from how its requests ended."""

from math import exp2
from typing import NamedTuple

from trackwheel.relay.const import (
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
from trackwheel.relay.models import Load, Outcome, RouteKey


class Flight(NamedTuple):
    """One request that a target has not answered yet (monotonic seconds)."""

    started: float
    expected_s: float
    route: RouteKey


class TargetRecord:
    """Keep what a target's answers and failures say of it (monotonic seconds)."""

    def __init__(self) -> None:
        self.flight_by_token: dict[object, Flight] = {}
        self.ejected_until = 0.0
        self.gone_until = 0.0
        self.rests_until = 0.0
        self.told_down_until = 0.0
        self.answered_at = float("-inf")
        self.cold_until = float("-inf")
        self._slowness = 1.0
        self._slowness_at = 0.0
        self._failure_rate = 0.0
        self._failure_at = 0.0
        self._failures_in_a_row = 0
        self._refused_in_a_row = 0
        self._load: Load | None = None
        self._load_at = 0.0

    @property
    def is_ejected(self) -> bool:
        """Return whether its last requests failed, so that it was taken out of use."""
        return self.ejected_until > 0.0

    def is_out(self, now: float) -> bool:
        """Return whether the target is a last resort, by the own failures or by another box's."""
        return max(self.ejected_until, self.told_down_until) > now

    def told(self, load: Load, now: float) -> None:
        """Take what the target says of its load."""
        self._load, self._load_at = load, now

    def load(self, now: float) -> Load | None:
        """Return what the target said of its load a moment ago; None when that is too old."""
        return self._load if now - self._load_at < LOAD_REPORT_LIFETIME_S else None

    def stalled_s(self, now: float) -> float:
        """Return the age of the oldest answer that is awaited, if that is overdue."""
        oldest = 0.0
        for flight in self.flight_by_token.values():
            age = now - flight.started
            if age > STALL_FACTOR * flight.expected_s:
                oldest = max(oldest, age)
        return oldest

    def slowness(self, now: float) -> float:
        """Return how many times longer than usual the target takes, as old knowledge fades."""
        fade = exp2((self._slowness_at - now) / SLOWNESS_HALF_LIFE_S)
        return 1.0 + (self._slowness - 1.0) * fade

    def took(self, ratio: float, now: float) -> None:
        """Take how many times longer than usual an answer took."""
        before = self.slowness(now)
        ratio = min(MAX_SLOWNESS, ratio)
        weight = SLOWER_WEIGHT if ratio > before else FASTER_WEIGHT
        self._slowness = before + (ratio - before) * weight
        self._slowness_at = now

    def failure_rate(self, now: float) -> float:
        """Return the share of requests that are thought to fail, as old knowledge fades."""
        return self._failure_rate * exp2((self._failure_at - now) / FAILURE_HALF_LIFE_S)

    def ended(self, outcome: Outcome, now: float) -> None:
        """Take how a request ended."""
        failed = 0.0 if outcome is Outcome.OK else 1.0
        before = self.failure_rate(now)
        self._failure_rate = before + (failed - before) * FAILURE_WEIGHT
        self._failure_at = now
        if outcome is not Outcome.NOT_SENT:
            self._refused_in_a_row = 0
            self.rests_until = 0.0
        if outcome is Outcome.OK:
            self._failures_in_a_row = 0
            self.ejected_until = self.gone_until = self.told_down_until = 0.0
            self.answered_at = now
        elif outcome is not Outcome.NOT_RUN:
            self._failed(outcome, now)

    def _failed(self, outcome: Outcome, now: float) -> None:
        """Take the target out of use for as long as its failure suggests."""
        self._failures_in_a_row += 1
        if outcome is Outcome.ELSEWHERE:
            self.ejected_until = self.gone_until = now + REPLACED_EJECT_S
        elif outcome is Outcome.NOT_SENT:
            self.ejected_until = now + DISCONNECT_EJECT_S
            rest_s = CONNECT_BACKOFF_S * 2.0**self._refused_in_a_row
            self.rests_until = now + min(MAX_CONNECT_BACKOFF_S, rest_s)
            self._refused_in_a_row += 1
        elif self._failures_in_a_row >= EJECT_AFTER_FAILURES:
            doublings = self._failures_in_a_row - EJECT_AFTER_FAILURES
            self.ejected_until = now + min(MAX_EJECT_S, EJECT_S * 2**doublings)
