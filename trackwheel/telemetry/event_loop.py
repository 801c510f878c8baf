"""Reports when the event loop ran late."""

from typing import Final

import anyio

from trackwheel.clock import steady_now
from trackwheel.telemetry.events import EventLog
from trackwheel.units import MILLISECONDS

CHECK_PERIOD_S: Final = 0.1
LAG_THRESHOLD_S: Final = 0.04


async def report_event_loop_lag(log: EventLog) -> None:
    """Write an event for each timer that fired late, until cancelled.

    A paused or starved process delays its own timers: durations that it measured meanwhile say
    nothing about its peers or targets.
    """
    while True:
        due = steady_now() + CHECK_PERIOD_S
        await anyio.sleep(CHECK_PERIOD_S)
        late_s = steady_now() - due
        if late_s > LAG_THRESHOLD_S:
            log.write("event_loop_late", late_ms=round(late_s * MILLISECONDS, 1))
