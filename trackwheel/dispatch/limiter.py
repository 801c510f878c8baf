"""Adaptive concurrency limit of one target, from its measured throughput.

The limit is the smallest concurrency whose measured throughput is within a few per cent of the
best. Higher limits are explored periodically while work waits. When the target sheds a request,
the limit is halved and sending pauses.
"""

import random

from trackwheel.dispatch.const import (
    EXPLORE_COMPLETIONS,
    EXPLORE_INTERVAL_INITIAL_S,
    EXPLORE_INTERVAL_MAX_S,
    MIN_THROUGHPUT_FRACTION,
    RESERVED_CONNECTIONS,
    SERVICE_TIME_SMOOTHING,
    SHED_BACKOFF_INITIAL_S,
    SHED_BACKOFF_MAX_S,
    SLOW_START_SUCCESSES,
)
from trackwheel.dispatch.service_time import ServiceTime


class Limiter:
    """Adapt the concurrency limit of one target (times in seconds)."""

    def __init__(self, slots: int, connections: int, seed: int) -> None:
        self._max_limit = max(1, connections - RESERVED_CONNECTIONS)
        self._configured_slots = min(slots, self._max_limit)
        self._random = random.Random(seed)
        self._mean_s_by_concurrency: dict[int, float] = {}
        self._slow_start_left = SLOW_START_SUCCESSES
        self._in_slow_start = True
        self._exploring_left = 0
        self._explore_interval_s = EXPLORE_INTERVAL_INITIAL_S
        self._next_explore_at = 0.0
        self._backoff_s = SHED_BACKOFF_INITIAL_S
        self.paused_until = 0.0
        self.limit = 1
        self.service_time = ServiceTime()

    def restart(self) -> None:
        """Reset the limit to 1 and repeat the slow start."""
        self.limit = 1
        self._in_slow_start = True
        self._slow_start_left = SLOW_START_SUCCESSES
        self._exploring_left = 0
        self._mean_s_by_concurrency.clear()

    @property
    def mean_s(self) -> float:
        """Return the mean service time (seconds)."""
        return self.service_time.mean_s

    @property
    def likely_s(self) -> float:
        """Return a service time that most requests do not exceed (seconds)."""
        return self.service_time.likely_s

    def rate(self) -> float:
        """Return the expected throughput of the target (requests per second)."""
        return self.limit / self.mean_s

    def record_success(
        self, concurrency: int, started: float, service_s: float, waiting: bool, now: float
    ) -> None:
        """Record a successful request that ran at a given concurrency."""
        sample_s = self.service_time.add(started, service_s, now)
        if sample_s is None:
            return
        self._record_service_time(concurrency, sample_s)
        self._backoff_s = SHED_BACKOFF_INITIAL_S
        if self._in_slow_start:
            self._slow_start()
        elif self._exploring_left:
            self._explore(concurrency, now)
        elif waiting and concurrency >= self.limit:
            self._adapt(now)

    def replace_service_time(self, service_s: float) -> None:
        """Replace all measurements by the service time of a trial."""
        self._mean_s_by_concurrency.clear()
        self.service_time.replace(service_s)

    def record_shed(self, now: float) -> None:
        """Record a request that the target shed: halve the limit and pause sending."""
        if now < self.paused_until:
            return
        self.limit = max(1, self.limit // 2)
        self._in_slow_start = True
        self._slow_start_left = SLOW_START_SUCCESSES
        self._exploring_left = 0
        self.paused_until = now + self._backoff_s * self._random.uniform(0.75, 1.25)
        self._backoff_s = min(SHED_BACKOFF_MAX_S, self._backoff_s * 2)

    def _record_service_time(self, concurrency: int, service_s: float) -> None:
        mean = self._mean_s_by_concurrency.get(concurrency, service_s)
        self._mean_s_by_concurrency[concurrency] = mean + SERVICE_TIME_SMOOTHING * (
            service_s - mean
        )

    def _slow_start(self) -> None:
        self._slow_start_left -= 1
        if self._slow_start_left > 0:
            return
        self._slow_start_left = SLOW_START_SUCCESSES
        if self.limit >= self._configured_slots:
            self._in_slow_start = False
            return
        self.limit += 1

    def _explore(self, concurrency: int, now: float) -> None:
        """Count completions at the explored limit, then keep the limit or revert it."""
        if concurrency < self.limit:
            return
        self._exploring_left -= 1
        if self._exploring_left > 0:
            return
        tried = self.limit
        self.limit = self._best_concurrency()
        if self.limit >= tried:
            self._explore_interval_s = EXPLORE_INTERVAL_INITIAL_S
        else:
            self._explore_interval_s = min(EXPLORE_INTERVAL_MAX_S, self._explore_interval_s * 2)
        self._next_explore_at = now + self._explore_interval_s

    def _adapt(self, now: float) -> None:
        best = self._best_concurrency()
        if best != self.limit:
            self.limit = best
            return
        if now >= self._next_explore_at and self.limit < self._max_limit:
            self.limit += 1
            self._mean_s_by_concurrency.pop(self.limit, None)
            self._exploring_left = EXPLORE_COMPLETIONS

    def _best_concurrency(self) -> int:
        rate_by_concurrency = {
            concurrency: concurrency / mean
            for concurrency, mean in self._mean_s_by_concurrency.items()
        }
        min_rate = MIN_THROUGHPUT_FRACTION * max(rate_by_concurrency.values())
        best = min(
            concurrency for concurrency, rate in rate_by_concurrency.items() if rate >= min_rate
        )
        return max(1, min(best, self._max_limit))
