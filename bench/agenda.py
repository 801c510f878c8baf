"""Events in virtual time, and a processor that does one thing after the other."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

Action = Callable[[], None]


class Agenda:
    """Call actions in the order of their times (seconds)."""

    def __init__(self) -> None:
        self._events: list[tuple[float, int, Action]] = []
        self._order = count()
        self.now = 0.0

    def at(self, when: float, action: Action) -> None:
        """Call an action at a time, now at the earliest."""
        heappush(self._events, (max(when, self.now), next(self._order), action))

    def run(self, until: float) -> None:
        """Call what is due up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heappop(self._events)
            action()
        self.now = until


class Processor:
    """Do work one piece after the other; `speed` is in cores."""

    def __init__(self, agenda: Agenda, speed: float) -> None:
        self._agenda = agenda
        self.speed = speed
        self._free_at = 0.0

    def do(self, work_s: float, action: Action) -> None:
        """Call an action once its work, counted for one core, is done."""
        self._free_at = max(self._free_at, self._agenda.now) + work_s / self.speed
        self._agenda.at(self._free_at, action)
