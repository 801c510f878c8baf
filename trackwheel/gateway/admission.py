"""How many queries of a group a gateway lets in, by the queues that they meet.

A query is of use only when its slowest shard answers, so load is held where queues stay
short: each group has a window of queries at each service, which grows while the slowest
queue stays under a part of the deadline and shrinks when it does not. A group that stays
within its share meets short queues at the owners, so its window grows.
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


class QueryEnd(NamedTuple):
    """Say how a query that was let in went (seconds)."""

    started: float
    longest_delay_s: float
    shed: bool
    deadline_s: float


class Window:
    """Adapt how many queries of one group at one service run through this gateway."""

    def __init__(self) -> None:
        self.size = WINDOW_INITIAL
        self.running = 0
        self._mean_s = 0.0
        self._shrunk_at = 0.0

    def enter(self) -> bool:
        """Let one more query in, or not."""
        if self.running >= int(self.size):
            return False
        self.running += 1
        return True

    def leave(self, end: QueryEnd, now: float) -> None:
        """Take the end of a query that was let in."""
        full = self.running >= int(self.size)
        self.running -= 1
        took_s = now - end.started
        self._mean_s += 0.1 * (took_s - self._mean_s)
        if end.shed or end.longest_delay_s > WINDOW_DELAY_FRACTION * end.deadline_s:
            self._shrink(end, now)
        elif full:
            self.size = min(WINDOW_MAX, self.size + 1.0 / self.size)

    def wait_s(self) -> float:
        """Return how long it takes until there is room for one more (seconds)."""
        return self._mean_s / max(1.0, self.size)

    def _shrink(self, end: QueryEnd, now: float) -> None:
        # Queries that started before the last step back say nothing of its effect.
        if end.started < self._shrunk_at:
            return
        self._shrunk_at = now
        self.size = max(WINDOW_MIN, self.size * WINDOW_DECREASE_FACTOR)


class Admission:
    """Keep a window for each group at each service."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._window_by_group_and_service: dict[tuple[str, str], Window] = {}

    def window(self, group: str, service: str) -> Window:
        """Return the window of a group at a service."""
        key = (group, service)
        window = self._window_by_group_and_service.get(key)
        if window is None:
            window = self._window_by_group_and_service[key] = Window()
        return window

    def sizes(self) -> dict[tuple[str, str], float]:
        """Return the size of every window."""
        windows = self._window_by_group_and_service.items()
        return {key: window.size for key, window in windows}

    def retry_after(self, needed_s: float) -> float:
        """Return when to come back, spread so that callers do not return together."""
        least = max(MIN_RETRY_AFTER_S, needed_s)
        spread = self._random.uniform(0.0, RETRY_AFTER_JITTER * least)
        return min(MAX_RETRY_AFTER_S, least + spread)
