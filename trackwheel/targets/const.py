"""Headers, paths and limits of the target protocol."""

from typing import Final

HEADER_RUN: Final = "Trackwheel-Run"
HEADER_DRAINING: Final = "Trackwheel-Draining"
HEADER_BOOT: Final = "Trackwheel-Target-Boot"
HEADER_DEADLINE: Final = "Trackwheel-Deadline-Ms"
HEADER_RETRY_AFTER: Final = "Retry-After"
RUN_NOT_EXECUTED: Final = "no"

PATH_QUERY: Final = "/query"
PATH_EXECUTE: Final = "/execute"
PATH_HEALTH: Final = "/health"

MAX_ANSWER_BYTES: Final = 4_000_000
KEEP_ALIVE_S: Final = 60.0
HEALTH_TIMEOUT_S: Final = 0.5
"""Short, because a health page is only a hint."""
