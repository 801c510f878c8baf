"""When each target's line is next due, without looking at all lines on every event."""

import heapq


class WakeSchedule:
    """Keep one wake time for each key; earlier ones are found first (seconds)."""

    def __init__(self) -> None:
        self._time_by_key: dict[str, float] = {}
        self._heap: list[tuple[float, str]] = []

    def set(self, key: str, time: float) -> None:
        """Set when a key is next due."""
        if self._time_by_key.get(key) != time:
            self._time_by_key[key] = time
            heapq.heappush(self._heap, (time, key))

    def next(self) -> float:
        """Return when the first key is due, infinity when none is."""
        self._trim()
        return self._heap[0][0] if self._heap else float("inf")

    def take_due(self, now: float) -> list[str]:
        """Return the keys that are due and forget their times."""
        due = []
        while self.next() <= now:
            key = heapq.heappop(self._heap)[1]
            del self._time_by_key[key]
            due.append(key)
        return due

    def _trim(self) -> None:
        """Drop times that were set anew since."""
        while self._heap and self._time_by_key.get(self._heap[0][1]) != self._heap[0][0]:
            heapq.heappop(self._heap)
