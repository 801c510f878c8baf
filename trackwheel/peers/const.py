"""Limits of the links between boxes."""

from typing import Final

PROTOCOL_VERSION: Final = 7
"""Boxes of other versions refuse each other's links; raised whenever a message changes."""
MAX_FRAME_BYTES: Final = 8_000_000
"""Largest frame, before it is packed."""
PACK_OVER_BYTES: Final = 200
"""Bodies larger than this are packed; smaller ones gain less than the packing adds."""
PACK_LEVEL: Final = 1
"""zlib's fastest level: 1,200 bytes of ids took 10 us (682 left), with level 6 11 us (679)."""
MAX_WAITING_MESSAGES: Final = 20_000
MAX_FRAME_MESSAGES: Final = 256
CONNECT_TIMEOUT_S: Final = 1.0
RECONNECT_DELAY_S: Final = 0.1
"""How long a link that could not be opened drops messages before it is tried again."""
CLOSE_TIMEOUT_S: Final = 0.5
CLOSE_CODE_REFUSED: Final = 1008
CLOSE_CODE_GARBAGE: Final = 1003
LINK_UNACKNOWLEDGED_MS: Final = 2_000
"""How long sent bytes may wait to be acknowledged. A link that has gone silent is then opened anew;
without a bound both ends would count each other as dead for as long as they run."""
