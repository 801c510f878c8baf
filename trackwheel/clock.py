"""The steady clock by which every part decides."""

import time
from typing import Final

_CLOCK: Final = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Counts the time in which the machine was suspended too, where the system has such a clock."""


def steady_now() -> float:
    """Return seconds since some moment before the start; they never go back.

    `time.monotonic` stands still while a machine is suspended. A box that wakes would take what it
    knew before for fresh, hand targets deadlines that are over, and not notice that it was away.
    """
    return time.clock_gettime(_CLOCK)
