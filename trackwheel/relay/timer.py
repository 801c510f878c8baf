"""A timer that may be moved."""

import asyncio
from collections.abc import Callable
from typing import Final

from trackwheel.clock import steady_now

MAX_SLEEP_S: Final = 0.5
"""A timer looks at the time at least so often. Those of the event loop stand still while the box is
suspended: without a look a request would be held on for as long as the box was away."""


class Timer:
    """Call an action at a time that may be moved."""

    def __init__(self, action: Callable[[], None]) -> None:
        self._action = action
        self._handle: asyncio.TimerHandle | None = None

    def set(self, at: float) -> None:
        """Call the action at a time (steady seconds), instead of any earlier setting."""
        self.stop()
        delay_s = max(0.0, at - steady_now())
        loop = asyncio.get_running_loop()
        if delay_s > MAX_SLEEP_S:
            self._handle = loop.call_later(MAX_SLEEP_S, self.set, at)
        else:
            self._handle = loop.call_later(delay_s, self._action)

    def stop(self) -> None:
        """Call the action no more."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
