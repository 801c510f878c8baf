"""Wake times of the target schedulers, kept in a heap so that no event scans all of them."""

import heapq


class WakeSchedule:
    """Keep one wake time per key, in order of time (seconds)."""

    def __init__(self) -> None:
        self._time_by_key: dict[str, float] = {}
        self._heap: list[tuple[float, str]] = []

    def set(self, key: str, time: float) -> None:
        """Set the wake time of a key."""
        if self._time_by_key.get(key) != time:
            self._time_by_key[key] = time
            heapq.heappush(self._heap, (time, key))

    def next(self) -> float:
        """Return the earliest wake time, infinity if there is none."""
        self._trim()
        return self._heap[0][0] if self._heap else float("inf")

    def take_due(self, now: float) -> list[str]:
        """Remove and return the keys that are due."""
        due = []
        while self.next() <= now:
            key = heapq.heappop(self._heap)[1]
            del self._time_by_key[key]
            due.append(key)
        return due

    def _trim(self) -> None:
        """Remove outdated heap entries, whose key has a different wake time by now."""
        while self._heap and self._time_by_key.get(self._heap[0][1]) != self._heap[0][0]:
            heapq.heappop(self._heap)
