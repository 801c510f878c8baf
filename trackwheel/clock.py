"""Monotonic clock that includes the time in which the machine is suspended."""

import time
from typing import Final

_CLOCK: Final = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""CLOCK_BOOTTIME also advances while the machine is suspended; not every system has it."""


def steady_now() -> float:
    """Return seconds since an arbitrary moment before the start; the value never decreases.

    `time.monotonic` stops while the machine is suspended. With it, a resumed box would treat old
    information as fresh, send expired deadlines to targets and not notice its absence.
    """
    return time.clock_gettime(_CLOCK)
