"""Timeouts and HTTP statuses of the platform's services."""

from typing import Final

CALL_TIMEOUT_S: Final = 2.0
WATCH_WAIT_S: Final = 10.0
STATUS_OK: Final = 200
STATUS_CONFLICT: Final = 409
"""Sent by the key-value service if the key does not have the expected revision."""
