"""Event queue of a task, filled by other tasks and read in batches."""

import math
from collections import deque
from typing import Generic, TypeVar

import anyio

from trackwheel.clock import steady_now

T = TypeVar("T")


class Inbox(Generic[T]):
    """Unbounded queue of events for the task that owns the state they change."""

    def __init__(self) -> None:
        self._events: deque[T] = deque()
        self._not_empty = anyio.Event()

    def put(self, event: T) -> None:
        """Add an event without blocking."""
        self._events.append(event)
        self._not_empty.set()

    async def take(self, wake_at: float) -> list[T]:
        """Wait for events and return all of them, or none at `wake_at` (as of `steady_now`)."""
        if not self._events:
            await self._wait(wake_at)
        events = list(self._events)
        self._events.clear()
        return events

    async def _wait(self, wake_at: float) -> None:
        self._not_empty = anyio.Event()
        if math.isinf(wake_at):
            await self._not_empty.wait()
            return
        with anyio.move_on_after(max(0.0, wake_at - steady_now())):
            await self._not_empty.wait()
