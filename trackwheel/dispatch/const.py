"""Numbers of queues, limits and ejection."""

from typing import Final

ADMIT_MARGIN: Final = 0.85
"""Work is shed on arrival when its estimated end uses more than this part of its time."""
SMOOTHING: Final = 0.1
DEFAULT_SERVICE_S: Final = 0.005
LIKELY_DEVIATIONS: Final = 1.5
GROUP_IDLE_S: Final = 5.0

SLOW_START_SUCCESSES: Final = 2
GOOD_ENOUGH_RATE: Final = 0.95
EXPLORE_COMPLETIONS: Final = 12
EXPLORE_FIRST_S: Final = 1.0
EXPLORE_LAST_S: Final = 30.0
SPARE_CONNECTIONS: Final = 1
"""Connections left free for health checks and for work that is being cancelled."""

SHED_PAUSE_FIRST_S: Final = 0.01
SHED_PAUSE_LAST_S: Final = 0.5

TRIAL_PAUSE_FIRST_S: Final = 0.1
TRIAL_PAUSE_LAST_S: Final = 1.0
"""How long after a failed trial the next one waits, at first and at most."""

EJECT_AFTER_FAILURES: Final = 3
EJECT_AFTER_STALLS: Final = 5
EJECT_FIRST_S: Final = 0.5
EJECT_LAST_S: Final = 30.0

HEALTH_PERIOD_S: Final = 1.0
SCHEDULER_IDLE_S: Final = 60.0
PERMIT_TIMEOUT_S: Final = 1.0
EXECUTE_TIMEOUT_S: Final = 20.0
"""How long a permitted request may run at its target before its outcome is unknown."""
LEAST_RETRY_AFTER_S: Final = 0.05
MAX_NOTES: Final = 10_000
"""How many targets' leavings an owner remembers, the latest."""
MAX_QUEUED_PER_TARGET: Final = 2_000
WAKE_MARGIN_S: Final = 0.0002
"""Work is dropped this long after its last start, so that a wake always finds it due."""
