"""How much may run at one target at a time, learnt from what it delivers.

The limit is the smallest concurrency whose measured throughput is within a few per cent of the
best. Higher ones are tried now and then while work waits; shedding halves the limit and pauses.
"""

import random

from trackwheel.dispatch.const import (
    EXPLORE_COMPLETIONS,
    EXPLORE_FIRST_S,
    EXPLORE_LAST_S,
    GOOD_ENOUGH_RATE,
    SHED_PAUSE_FIRST_S,
    SHED_PAUSE_LAST_S,
    SLOW_START_SUCCESSES,
    SMOOTHING,
    SPARE_CONNECTIONS,
)
from trackwheel.dispatch.service_time import ServiceTime


class Limiter:
    """Adapt the concurrency towards one target (times in seconds)."""

    def __init__(self, slots: int, connections: int, seed: int) -> None:
        self._cap = max(1, connections - SPARE_CONNECTIONS)
        self._claim = min(slots, self._cap)
        self._random = random.Random(seed)
        self._mean_by_level: dict[int, float] = {}
        self._slow_start_left = SLOW_START_SUCCESSES
        self._starting = True
        self._exploring_left = 0
        self._explore_wait_s = EXPLORE_FIRST_S
        self._explore_at = 0.0
        self._pause_s = SHED_PAUSE_FIRST_S
        self.paused_until = 0.0
        self.limit = 1
        self.service_time = ServiceTime()

    def restart(self) -> None:
        """Begin again at one, as for a cold target."""
        self.limit = 1
        self._starting = True
        self._slow_start_left = SLOW_START_SUCCESSES
        self._exploring_left = 0
        self._mean_by_level.clear()

    @property
    def mean_s(self) -> float:
        """Return the mean service time (seconds)."""
        return self.service_time.mean_s

    @property
    def likely_s(self) -> float:
        """Return a service time that most requests stay under (seconds)."""
        return self.service_time.likely_s

    def rate(self) -> float:
        """Return how many requests a second the target is expected to finish."""
        return self.limit / self.mean_s

    def succeeded(
        self, level: int, started: float, service_s: float, waiting: bool, now: float
    ) -> None:
        """Take a finished request that ran as one of `level` at the target."""
        learnt_s = self.service_time.add(started, service_s, now)
        if learnt_s is None:
            return
        self._learn(level, learnt_s)
        self._pause_s = SHED_PAUSE_FIRST_S
        if self._starting:
            self._slow_start()
        elif self._exploring_left:
            self._explore(level, now)
        elif waiting and level >= self.limit:
            self._adapt(now)

    def relearn(self, service_s: float) -> None:
        """Take the service time of a trial in place of what was learnt before it."""
        self._mean_by_level.clear()
        self.service_time.replace(service_s)

    def shed(self, now: float) -> None:
        """Take a target's refusal: halve the limit and leave the target alone for a while."""
        if now < self.paused_until:
            return
        self.limit = max(1, self.limit // 2)
        self._starting = True
        self._slow_start_left = SLOW_START_SUCCESSES
        self._exploring_left = 0
        self.paused_until = now + self._pause_s * self._random.uniform(0.75, 1.25)
        self._pause_s = min(SHED_PAUSE_LAST_S, self._pause_s * 2)

    def _learn(self, level: int, service_s: float) -> None:
        mean = self._mean_by_level.get(level, service_s)
        self._mean_by_level[level] = mean + SMOOTHING * (service_s - mean)

    def _slow_start(self) -> None:
        self._slow_start_left -= 1
        if self._slow_start_left > 0:
            return
        self._slow_start_left = SLOW_START_SUCCESSES
        if self.limit >= self._claim:
            self._starting = False
            return
        self.limit += 1

    def _explore(self, level: int, now: float) -> None:
        """Count completions at the tried limit, then keep it or go back."""
        if level < self.limit:
            return
        self._exploring_left -= 1
        if self._exploring_left > 0:
            return
        tried = self.limit
        self.limit = self._best_level()
        if self.limit >= tried:
            self._explore_wait_s = EXPLORE_FIRST_S
        else:
            self._explore_wait_s = min(EXPLORE_LAST_S, self._explore_wait_s * 2)
        self._explore_at = now + self._explore_wait_s

    def _adapt(self, now: float) -> None:
        best = self._best_level()
        if best != self.limit:
            self.limit = best
            return
        if now >= self._explore_at and self.limit < self._cap:
            self.limit += 1
            self._mean_by_level.pop(self.limit, None)
            self._exploring_left = EXPLORE_COMPLETIONS

    def _best_level(self) -> int:
        rate_by_level = {level: level / mean for level, mean in self._mean_by_level.items()}
        enough = GOOD_ENOUGH_RATE * max(rate_by_level.values())
        best = min(level for level, rate in rate_by_level.items() if rate >= enough)
        return max(1, min(best, self._cap))
