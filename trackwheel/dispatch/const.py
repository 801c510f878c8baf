"""Limits, timeouts and backoff intervals of dispatch."""

from typing import Final

ADMISSION_DEADLINE_FRACTION: Final = 0.85
"""New work is refused if it is expected to use more than this fraction of its remaining time."""
SERVICE_TIME_SMOOTHING: Final = 0.1
"""Weight of the newest sample in the moving averages of service time."""
DEFAULT_SERVICE_S: Final = 0.005
"""Assumed service time of a target until the first answer is measured."""
LIKELY_DEVIATIONS: Final = 1.5
"""Mean deviations added to the mean service time to cover most requests."""
GROUP_IDLE_S: Final = 5.0
"""A group's queue is removed after it has been empty for this long and owes no slot time."""

SLOW_START_SUCCESSES: Final = 2
"""Successful requests per increase of the limit during slow start."""
MIN_THROUGHPUT_FRACTION: Final = 0.95
"""The lowest concurrency that reaches this fraction of the best throughput is used."""
EXPLORE_COMPLETIONS: Final = 12
"""Requests measured at a higher limit before it is kept or reverted."""
EXPLORE_INTERVAL_INITIAL_S: Final = 1.0
EXPLORE_INTERVAL_MAX_S: Final = 30.0
RESERVED_CONNECTIONS: Final = 1
"""Connections reserved for health checks and for requests that are being cancelled."""

SHED_BACKOFF_INITIAL_S: Final = 0.01
SHED_BACKOFF_MAX_S: Final = 0.5

TRIAL_BACKOFF_INITIAL_S: Final = 0.1
TRIAL_BACKOFF_MAX_S: Final = 1.0
"""Longest delay after a failed trial; the delay doubles with each failure."""

EJECT_AFTER_FAILURES: Final = 3
EJECT_AFTER_STALLS: Final = 5
EJECTION_INITIAL_S: Final = 0.5
EJECTION_MAX_S: Final = 30.0

HEALTH_PERIOD_S: Final = 1.0
SCHEDULER_IDLE_S: Final = 60.0
"""The scheduler of a target is removed after this long without work."""
PERMIT_TIMEOUT_S: Final = 1.0
EXECUTE_TIMEOUT_S: Final = 20.0
"""How long a permitted request may run at its target before its outcome is unknown."""
MIN_RETRY_AFTER_S: Final = 0.05
MAX_LEAVING_REPORTS: Final = 10_000
"""An owner keeps the latest leaving reports, one per target, up to this number."""
MAX_QUEUED_PER_TARGET: Final = 2_000
WAKE_MARGIN_S: Final = 0.0002
"""Expired work is dropped this long after its latest start time, so that it is due on waking."""
