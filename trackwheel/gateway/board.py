"""What a gateway has learnt of targets from answers: latency, queues, leaving, ejection."""

import random
from typing import Any

from hdrh.histogram import HdrHistogram

from trackwheel.gateway.const import (
    DEFAULT_HEDGE_DELAY_S,
    EJECTION_TTL_S,
    HEDGE_DELAY_REFRESH_S,
    HEDGE_PERCENTILE,
    LATENCY_SMOOTHING,
    LATENCY_WINDOW_S,
    LEAVING_TTL_S,
    MIN_HEDGE_DELAY_S,
    QUEUE_DELAY_TTL_S,
    SCORE_HALF_LIFE_S,
    SCORE_JITTER,
    TARGET_STATS_TTL_S,
)
from trackwheel.stalls import StallFilter
from trackwheel.telemetry.const import LEAST_US, MOST_US

_DIGITS = 2
_LEAST_SAMPLES = 50


class LatencyWindow:
    """Give a high quantile of the latencies of the last few seconds."""

    def __init__(self) -> None:
        self._current: Any = HdrHistogram(LEAST_US, MOST_US, _DIGITS)
        self._last: Any = HdrHistogram(LEAST_US, MOST_US, _DIGITS)
        self._turn_at = 0.0
        self._fresh_until = 0.0
        self._quantile_s = DEFAULT_HEDGE_DELAY_S

    def record(self, seconds: float, now: float) -> None:
        """Take one latency."""
        if now >= self._turn_at:
            self._current, self._last = self._last, self._current
            self._current.reset()
            self._turn_at = now + LATENCY_WINDOW_S
        self._current.record_value(max(LEAST_US, min(MOST_US, int(seconds * 1e6))))

    def quantile(self, now: float) -> float:
        """Return the quantile at which a hedge is worth its load (seconds)."""
        if now < self._fresh_until:
            return self._quantile_s
        self._fresh_until = now + HEDGE_DELAY_REFRESH_S
        histograms = (self._current, self._last)
        filled = [h for h in histograms if h.get_total_count() >= _LEAST_SAMPLES]
        if filled:
            values = [h.get_value_at_percentile(HEDGE_PERCENTILE) for h in filled]
            self._quantile_s = max(MIN_HEDGE_DELAY_S, max(values) / 1e6)
        return self._quantile_s


class _TargetNotes:
    """Hold what is known of one target."""

    __slots__ = (
        "delay_at",
        "delay_s",
        "ejected_until",
        "latency_s",
        "learnt_at",
        "service_s",
        "stalls",
        "under_way",
    )

    def __init__(self) -> None:
        self.latency_s = 0.0
        self.learnt_at = 0.0
        self.ejected_until = 0.0
        self.service_s = 0.0
        self.delay_s = 0.0
        self.delay_at = 0.0
        self.under_way = 0
        self.stalls = StallFilter()

    def admit(self, seconds: float, now: float) -> float | None:
        """Return what to learn from a request that took so long, None for nothing."""
        usual_s = self.latency_s or DEFAULT_HEDGE_DELAY_S
        return self.stalls.admit(now - seconds, seconds, usual_s, now)

    def smooth(self, seconds: float, now: float) -> None:
        """Take a latency as the newest of many."""
        self.latency_s += LATENCY_SMOOTHING * (seconds - self.latency_s)
        self.learnt_at = now


class Board:
    """Choose among an instance's targets by what their answers have shown."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._notes_by_target: dict[str, _TargetNotes] = {}
        self._leaving_until_by_target: dict[str, float] = {}
        self._window_by_service: dict[str, LatencyWindow] = {}
        self._version_by_service: dict[str, int] = {}

    def forget_old(self, now: float) -> None:
        """Drop what is known of targets that nobody has asked for long."""
        kept = self._notes_by_target.items()
        self._notes_by_target = {
            name: notes
            for name, notes in kept
            if notes.under_way or now - notes.learnt_at < TARGET_STATS_TTL_S
        }
        left = self._leaving_until_by_target.items()
        self._leaving_until_by_target = {name: end for name, end in left if end > now}

    def learn_leaving(self, target: str, now: float) -> None:
        """Take that a target is leaving.

        After a while its owner is asked again, since only the owner sees it come back; while it
        is leaving, the owner refuses at once and nothing reaches the target.
        """
        self._leaving_until_by_target[target] = now + LEAVING_TTL_S

    def learn_latency(self, service: str, target: str, seconds: float, now: float) -> None:
        """Take how long a target's answer took, seen from this gateway."""
        notes = self._notes(target)
        notes.ejected_until = 0.0
        learnt_s = notes.admit(seconds, now)
        if learnt_s is None:
            return
        if notes.latency_s == 0.0:
            notes.latency_s = learnt_s
        notes.smooth(learnt_s, now)
        self._window(service).record(learnt_s, now)

    def learn_at_least(self, target: str, seconds: float, now: float) -> None:
        """Take that a target had not answered after a time."""
        notes = self._notes(target)
        if seconds <= notes.latency_s:
            return
        learnt_s = notes.admit(seconds, now)
        if learnt_s is not None:
            notes.smooth(learnt_s, now)

    def learn_queue(self, target: str, delay_s: float, service_s: float, now: float) -> None:
        """Take what an owner says of a target's queue and of its service time (seconds)."""
        notes = self._notes(target)
        notes.delay_s = delay_s
        notes.delay_at = now
        if service_s > 0:
            notes.service_s += LATENCY_SMOOTHING * (service_s - notes.service_s)

    def asked(self, target: str) -> None:
        """Take that this gateway waits for one more answer of a target."""
        self._notes(target).under_way += 1

    def ended(self, target: str) -> None:
        """Take that this gateway waits for one answer less."""
        notes = self._notes(target)
        notes.under_way = max(0, notes.under_way - 1)

    def learn_ejected(self, target: str, now: float) -> None:
        """Take that the owner leaves a target out."""
        self._notes(target).ejected_until = now + EJECTION_TTL_S

    def learn_version(self, service: str, version: int) -> None:
        """Take the version of a service's index that was last answered from."""
        self._version_by_service[service] = version

    def version(self, service: str) -> int | None:
        """Return the version to ask a service for first."""
        return self._version_by_service.get(service)

    def hedge_delay(self, service: str, now: float) -> float:
        """Return after how long a second target is asked (seconds)."""
        return self._window(service).quantile(now)

    def choose(self, targets: tuple[str, ...], excluded: set[str], now: float) -> str | None:
        """Return the target to ask, None when every one is excluded, leaving or ejected."""
        able = [
            target
            for target in targets
            if target not in excluded
            and self._leaving_until_by_target.get(target, 0.0) <= now
            and self._notes(target).ejected_until <= now
        ]
        return min(able, key=lambda target: self._score(target, now), default=None)

    def last_resort(self, targets: tuple[str, ...], now: float) -> str | None:
        """Return the target to ask when all others are out; never one that is leaving."""
        until = self._leaving_until_by_target
        able = [target for target in targets if until.get(target, 0.0) <= now]
        return min(able, key=lambda target: self._score(target, now), default=None)

    def _score(self, target: str, now: float) -> float:
        """Return the latency to expect; what was learnt fades, so that all are tried again."""
        notes = self._notes(target)
        age_s = now - notes.learnt_at
        faded: float = notes.latency_s * 0.5 ** (age_s / SCORE_HALF_LIFE_S)
        queue_s = notes.delay_s if now - notes.delay_at < QUEUE_DELAY_TTL_S else 0.0
        queue_s += notes.under_way * notes.service_s
        return (faded + queue_s) * self._random.uniform(1 - SCORE_JITTER, 1 + SCORE_JITTER)

    def _notes(self, target: str) -> _TargetNotes:
        notes = self._notes_by_target.get(target)
        if notes is None:
            notes = self._notes_by_target[target] = _TargetNotes()
        return notes

    def _window(self, service: str) -> LatencyWindow:
        window = self._window_by_service.get(service)
        if window is None:
            window = self._window_by_service[service] = LatencyWindow()
        return window
