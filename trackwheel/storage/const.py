"""Numbers of the edge towards the platform."""

from typing import Final

CALL_TIMEOUT_S: Final = 2.0
WATCH_WAIT_S: Final = 10.0
STATUS_OK: Final = 200
STATUS_CONFLICT: Final = 409
"""The key-value service answers so when a key has another revision than was expected."""
