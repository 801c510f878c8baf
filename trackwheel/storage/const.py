"""Timeouts and HTTP statuses of the platform's services."""

from typing import Final

CALL_TIMEOUT_S: Final = 2.0
WATCH_WAIT_S: Final = 10.0
MAX_ANSWER_BYTES: Final = 8_000_000
"""Limit on the body of an answer; the service stores values of up to a megabyte, in base64."""
STATUS_OK: Final = 200
STATUS_CONFLICT: Final = 409
"""Sent by the key-value service if the key does not have the expected revision."""
