"""Limits and timeouts of the links between boxes."""

from typing import Final

PROTOCOL_VERSION: Final = 10
"""Incremented whenever a message changes; boxes refuse links from other versions."""
MAX_FRAME_BYTES: Final = 8_000_000
"""Largest frame before compression."""
COMPRESS_OVER_BYTES: Final = 200
"""Smaller frames are sent uncompressed: they save less than the compression overhead."""
COMPRESSION_LEVEL: Final = 1
"""zlib's fastest level; 1,200 bytes of ids shrink to 682 in 10 us, at level 6 to 679 in 11 us."""
MAX_QUEUED_MESSAGES: Final = 20_000
MAX_MESSAGES_PER_FRAME: Final = 256
CONNECT_TIMEOUT_S: Final = 1.0
RECONNECT_DELAY_S: Final = 0.1
"""Messages to an unreachable peer are dropped for this long before the next attempt."""
CLOSE_TIMEOUT_S: Final = 0.5
CLOSE_CODE_REFUSED: Final = 1008
CLOSE_CODE_INVALID_FRAME: Final = 1003
LINK_USER_TIMEOUT_MS: Final = 2_000
"""TCP user timeout: a link whose sent data stays unacknowledged this long is closed and reopened.
Without it, both ends of a silently broken link would regard each other as dead indefinitely."""
