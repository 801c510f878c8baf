"""A timer that can be rescheduled."""

import asyncio
from collections.abc import Callable
from typing import Final

from trackwheel.clock import steady_now

MAX_SLEEP_S: Final = 0.5
"""Longest interval between two checks of the clock. The event loop's timers do not advance while
the box is suspended: without checks, a request would be held for as long as the suspension."""


class Timer:
    """Calls an action at a time that can be changed."""

    def __init__(self, action: Callable[[], None]) -> None:
        self._action: Callable[[], None] | None = action
        self._handle: asyncio.TimerHandle | None = None

    def set(self, at: float) -> None:
        """Schedule the action for `at` (steady seconds), replacing any earlier schedule."""
        self.stop()
        if self._action is None:
            return
        delay_s = max(0.0, at - steady_now())
        loop = asyncio.get_running_loop()
        if delay_s > MAX_SLEEP_S:
            self._handle = loop.call_later(MAX_SLEEP_S, self.set, at)
        else:
            self._handle = loop.call_later(delay_s, self._action)

    def stop(self) -> None:
        """Cancel the scheduled action."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def close(self) -> None:
        """Stop for good and drop the action, which mostly refers back to the timer's owner."""
        self.stop()
        self._action = None
