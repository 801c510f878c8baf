"""Constants of the returns of refused callers."""

from typing import Final

MIN_RETRY_AFTER_S: Final = 0.05
"""Shortest Retry-After: the next attempt needs a new connection, which takes as long."""
UNKNOWN_READY_S: Final = 0.2
"""When a shard without a target is believed to have one again."""
MAX_RETRY_AFTER_S: Final = 2.0
"""Longest Retry-After: what is believed of a target is too old after that."""
RETURN_JITTER: Final = 0.5
"""Relative spread of returns."""
