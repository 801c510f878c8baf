"""Limits and time windows of the telemetry of a box."""

from typing import Final

MAX_TRACES: Final = 2_000
MAX_STEPS_PER_TRACE: Final = 400
MAX_TOTAL_STEPS: Final = 40_000
"""Limits the memory of all traces to some ten megabytes, whatever the fan-out."""

BUCKET_S: Final = 10.0
FAST_WINDOW_S: Final = 300.0
SLOW_WINDOW_S: Final = 3600.0
GOOD: Final = "good"
LATE: Final = "late"
MIN_LATENCY_US: Final = 1
MAX_LATENCY_US: Final = 60_000_000
