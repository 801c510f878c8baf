"""Admission control: an adaptive concurrency window for each group at each service.

A query is complete only when its slowest shard has answered, so its latency depends on the
longest queue that it waits in. The window increases additively while the longest queue delay
stays below a fraction of the deadline, and decreases multiplicatively above it or when targets
shed load. Groups within their share have short queues at the owners, so their windows grow.
"""

import random
from typing import NamedTuple

from trackwheel.gateway.const import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    RETRY_AFTER_JITTER,
    WINDOW_DECREASE_FACTOR,
    WINDOW_DELAY_FRACTION,
    WINDOW_INITIAL,
    WINDOW_MAX,
    WINDOW_MIN,
)


class QueryCompletion(NamedTuple):
    """Outcome of an admitted query that the window adapts to (seconds)."""

    started_at: float
    max_queue_delay_s: float
    shed: bool
    deadline_s: float


class ConcurrencyWindow:
    """Limit the concurrent queries of one group at one service through this gateway."""

    def __init__(self) -> None:
        self.size = WINDOW_INITIAL
        self.running = 0
        self._mean_duration_s = 0.0
        self._last_decrease_at = 0.0

    def try_acquire(self) -> bool:
        """Admit one more query; return False if the window is full."""
        if self.running >= int(self.size):
            return False
        self.running += 1
        return True

    def release(self, end: QueryCompletion, now: float) -> None:
        """Record the end of an admitted query and adapt the window."""
        full = self.running >= int(self.size)
        self.running -= 1
        took_s = now - end.started_at
        self._mean_duration_s += 0.1 * (took_s - self._mean_duration_s)
        if end.shed or end.max_queue_delay_s > WINDOW_DELAY_FRACTION * end.deadline_s:
            self._decrease(end, now)
        elif full:
            self.size = min(WINDOW_MAX, self.size + 1.0 / self.size)

    def expected_wait_s(self) -> float:
        """Return the expected time until a slot becomes free (seconds)."""
        return self._mean_duration_s / max(1.0, self.size)

    def _decrease(self, end: QueryCompletion, now: float) -> None:
        # Queries that started before the last decrease do not show its effect yet.
        if end.started_at < self._last_decrease_at:
            return
        self._last_decrease_at = now
        self.size = max(WINDOW_MIN, self.size * WINDOW_DECREASE_FACTOR)


class Admission:
    """Concurrency windows by group and service."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._window_by_group_and_service: dict[tuple[str, str], ConcurrencyWindow] = {}

    def window(self, group: str, service: str) -> ConcurrencyWindow:
        """Return the window of a group at a service."""
        key = (group, service)
        window = self._window_by_group_and_service.get(key)
        if window is None:
            window = self._window_by_group_and_service[key] = ConcurrencyWindow()
        return window

    def sizes(self) -> dict[tuple[str, str], float]:
        """Return the size of every window."""
        windows = self._window_by_group_and_service.items()
        return {key: window.size for key, window in windows}

    def retry_after(self, needed_s: float) -> float:
        """Return the retry delay for a caller, with jitter against synchronized retries."""
        min_s = max(MIN_RETRY_AFTER_S, needed_s)
        spread = self._random.uniform(0.0, RETRY_AFTER_JITTER * min_s)
        return min(MAX_RETRY_AFTER_S, min_s + spread)
