"""A process that was paused reports its event loop lag."""

import json
import os
import time

import anyio

from trackwheel.telemetry.event_loop import CHECK_PERIOD_S, report_event_loop_lag
from trackwheel.telemetry.events import EventLog

PAUSE_S = 0.3


async def _run(log: EventLog, pause_s: float) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(report_event_loop_lag, log)
        await anyio.sleep(CHECK_PERIOD_S / 2)
        time.sleep(pause_s)
        await anyio.sleep(CHECK_PERIOD_S)
        tasks.cancel_scope.cancel()


def test_paused_event_loop_is_reported() -> None:
    reader, writer = os.pipe()
    anyio.run(_run, EventLog("box-0", writer), PAUSE_S)
    lines = [json.loads(line) for line in os.read(reader, 65_536).splitlines()]
    longest_ms = max(line["late_ms"] for line in lines if line["event"] == "event_loop_late")
    assert longest_ms >= (PAUSE_S - CHECK_PERIOD_S) * 1000
    os.close(reader)
    os.close(writer)
