"""The inbox of a task: events from other tasks, taken several at a time."""

import math
from collections import deque
from typing import Generic, TypeVar

import anyio

from trackwheel.clock import steady_now

T = TypeVar("T")


class Inbox(Generic[T]):
    """Hold events for the one task that owns the state they change."""

    def __init__(self) -> None:
        self._events: deque[T] = deque()
        self._filled = anyio.Event()

    def put(self, event: T) -> None:
        """Add an event; never blocks."""
        self._events.append(event)
        self._filled.set()

    async def take(self, wake_at: float) -> list[T]:
        """Return all events that wait, or none when the time has come (monotonic seconds)."""
        if not self._events:
            await self._wait(wake_at)
        events = list(self._events)
        self._events.clear()
        return events

    async def _wait(self, wake_at: float) -> None:
        self._filled = anyio.Event()
        if math.isinf(wake_at):
            await self._filled.wait()
            return
        with anyio.move_on_after(max(0.0, wake_at - steady_now())):
            await self._filled.wait()
