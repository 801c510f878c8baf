"""Selects targets by latency, queue delay, draining and ejection, as observed by this gateway."""

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
from trackwheel.telemetry.const import MAX_LATENCY_US, MIN_LATENCY_US

_DIGITS = 2
_MIN_SAMPLES = 50


class LatencyWindow:
    """Sliding-window estimate of a high latency percentile."""

    def __init__(self) -> None:
        self._current: Any = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, _DIGITS)
        self._previous: Any = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, _DIGITS)
        self._rotate_at = 0.0
        self._refresh_at = 0.0
        self._quantile_s = DEFAULT_HEDGE_DELAY_S

    def record(self, seconds: float, now: float) -> None:
        """Record one latency."""
        if now >= self._rotate_at:
            self._current, self._previous = self._previous, self._current
            self._current.reset()
            self._rotate_at = now + LATENCY_WINDOW_S
        self._current.record_value(max(MIN_LATENCY_US, min(MAX_LATENCY_US, int(seconds * 1e6))))

    def quantile(self, now: float) -> float:
        """Return the latency percentile that is used as the hedge delay (seconds)."""
        if now < self._refresh_at:
            return self._quantile_s
        self._refresh_at = now + HEDGE_DELAY_REFRESH_S
        histograms = (self._current, self._previous)
        populated = [h for h in histograms if h.get_total_count() >= _MIN_SAMPLES]
        if populated:
            values = [h.get_value_at_percentile(HEDGE_PERCENTILE) for h in populated]
            self._quantile_s = max(MIN_HEDGE_DELAY_S, max(values) / 1e6)
        return self._quantile_s


class _TargetStats:
    """Statistics of one target."""

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
        """Return the latency to record for a request, None if a stall explains it."""
        usual_s = self.latency_s or DEFAULT_HEDGE_DELAY_S
        return self.stalls.admit(now - seconds, seconds, usual_s, now)

    def smooth(self, seconds: float, now: float) -> None:
        """Update the moving average of the latency."""
        self.latency_s += LATENCY_SMOOTHING * (seconds - self.latency_s)
        self.learnt_at = now


class TargetSelector:
    """Choose among the targets of an instance by their observed performance."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._stats_by_target: dict[str, _TargetStats] = {}
        self._leaving_until_by_target: dict[str, float] = {}
        self._window_by_service: dict[str, LatencyWindow] = {}
        self._version_by_service: dict[str, int] = {}

    def evict_stale(self, now: float) -> None:
        """Drop statistics without a sample within TARGET_STATS_TTL_S, and expired leaving marks."""
        kept = self._stats_by_target.items()
        self._stats_by_target = {
            name: stats
            for name, stats in kept
            if stats.under_way or now - stats.learnt_at < TARGET_STATS_TTL_S
        }
        leaving = self._leaving_until_by_target.items()
        self._leaving_until_by_target = {name: end for name, end in leaving if end > now}

    def mark_leaving(self, target: str, now: float) -> None:
        """Skip a leaving target for LEAVING_TTL_S.

        After that its owner is asked again, since only the owner sees the target come back. While
        the target is leaving, the owner refuses at once and sends nothing to it.
        """
        self._leaving_until_by_target[target] = now + LEAVING_TTL_S

    def record_latency(self, service: str, target: str, seconds: float, now: float) -> None:
        """Record the latency of a target's answer as measured by this gateway."""
        stats = self._stats(target)
        stats.ejected_until = 0.0
        sample_s = stats.admit(seconds, now)
        if sample_s is None:
            return
        if stats.latency_s == 0.0:
            stats.latency_s = sample_s
        stats.smooth(sample_s, now)
        self._window(service).record(sample_s, now)

    def record_min_latency(self, target: str, seconds: float, now: float) -> None:
        """Record a lower bound of the latency of a request that was cancelled unanswered."""
        stats = self._stats(target)
        if seconds <= stats.latency_s:
            return
        sample_s = stats.admit(seconds, now)
        if sample_s is not None:
            stats.smooth(sample_s, now)

    def record_queue_delay(self, target: str, delay_s: float, service_s: float, now: float) -> None:
        """Record the queue delay and service time that an owner reports for a target (seconds)."""
        stats = self._stats(target)
        stats.delay_s = delay_s
        stats.delay_at = now
        if service_s > 0:
            stats.service_s += LATENCY_SMOOTHING * (service_s - stats.service_s)

    def subrequest_sent(self, target: str) -> None:
        """Count one more sub-request in flight to a target."""
        self._stats(target).under_way += 1

    def subrequest_ended(self, target: str) -> None:
        """Count one sub-request in flight less."""
        stats = self._stats(target)
        stats.under_way = max(0, stats.under_way - 1)

    def mark_ejected(self, target: str, now: float) -> None:
        """Skip a target that its owner has ejected for EJECTION_TTL_S."""
        self._stats(target).ejected_until = now + EJECTION_TTL_S

    def record_version(self, service: str, version: int) -> None:
        """Remember the index version of the latest answer of a service."""
        self._version_by_service[service] = version

    def last_version(self, service: str) -> int | None:
        """Return the index version of the latest answer of a service."""
        return self._version_by_service.get(service)

    def hedge_delay(self, service: str, now: float) -> float:
        """Return the time after which a sub-request is hedged (seconds)."""
        return self._window(service).quantile(now)

    def choose(self, targets: tuple[str, ...], excluded: set[str], now: float) -> str | None:
        """Return the target to ask, None if all are excluded, leaving or ejected."""
        available = [
            target
            for target in targets
            if target not in excluded
            and self._leaving_until_by_target.get(target, 0.0) <= now
            and self._stats(target).ejected_until <= now
        ]
        return min(available, key=lambda target: self._score(target, now), default=None)

    def choose_last_resort(self, targets: tuple[str, ...], now: float) -> str | None:
        """Return the best target including ejected ones, None if all are leaving."""
        until = self._leaving_until_by_target
        available = [target for target in targets if until.get(target, 0.0) <= now]
        return min(available, key=lambda target: self._score(target, now), default=None)

    def _score(self, target: str, now: float) -> float:
        """Return the expected latency; old samples decay so that slow targets are retried."""
        stats = self._stats(target)
        age_s = now - stats.learnt_at
        decayed_s: float = stats.latency_s * 0.5 ** (age_s / SCORE_HALF_LIFE_S)
        queue_s = stats.delay_s if now - stats.delay_at < QUEUE_DELAY_TTL_S else 0.0
        queue_s += stats.under_way * stats.service_s
        return (decayed_s + queue_s) * self._random.uniform(1 - SCORE_JITTER, 1 + SCORE_JITTER)

    def _stats(self, target: str) -> _TargetStats:
        stats = self._stats_by_target.get(target)
        if stats is None:
            stats = self._stats_by_target[target] = _TargetStats()
        return stats

    def _window(self, service: str) -> LatencyWindow:
        window = self._window_by_service.get(service)
        if window is None:
            window = self._window_by_service[service] = LatencyWindow()
        return window
