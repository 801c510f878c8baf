"""A timer that may be moved."""

import asyncio
import time
from collections.abc import Callable


class Timer:
    """Call an action at a time that may be moved."""

    def __init__(self, action: Callable[[], None]) -> None:
        self._action = action
        self._handle: asyncio.TimerHandle | None = None

    def set(self, at: float) -> None:
        """Call the action at a time (monotonic seconds), instead of any earlier setting."""
        self.stop()
        delay_s = max(0.0, at - time.monotonic())
        self._handle = asyncio.get_running_loop().call_later(delay_s, self._action)

    def stop(self) -> None:
        """Call the action no more."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
