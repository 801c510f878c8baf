"""Limits of the links between boxes."""

from typing import Final

PROTOCOL_VERSION: Final = 1
MAX_FRAME_BYTES: Final = 8_000_000
MAX_WAITING_MESSAGES: Final = 20_000
MAX_FRAME_MESSAGES: Final = 256
CONNECT_TIMEOUT_S: Final = 1.0
RECONNECT_DELAY_S: Final = 0.1
"""How long a link that could not be opened drops messages before it is tried again."""
CLOSE_TIMEOUT_S: Final = 0.5
CLOSE_CODE_REFUSED: Final = 1008
CLOSE_CODE_GARBAGE: Final = 1003
