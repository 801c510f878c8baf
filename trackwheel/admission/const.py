"""Constants of the order and refusal of requests."""

from typing import Final

EXTRA_IN_FLIGHT: Final = 1
"""Requests beyond a target's slots that a box sends: the next one is there when a slot is free."""
MAX_WAITING: Final = 256
"""Most requests that wait here for one target; further ones are sent at once, as without a line."""
MIN_SERVED_SHARE: Final = 0.5
"""Share of the served requests of a precedence, relative to that of all, below which it goes first.
Callers need a quarter; the rest covers targets that do not see all requests of a precedence."""
SERVED_HALF_LIFE_S: Final = 5.0
"""Half-life of the counts of served and lost requests."""
GROUP_SHARE: Final = 1.0
"""Share of a group in the slot time of one precedence; all groups have the same."""
HOLD_SERVICE_TIMES: Final = 5.0
"""Shortest time for which a request without an answer counts as running, in usual service times."""
MIN_RETRY_AFTER_S: Final = 0.05
"""Shortest Retry-After: the next attempt needs a new connection, which takes as long."""
UNKNOWN_READY_S: Final = 0.2
"""When a shard without a target is believed to have one again."""
MAX_RETRY_AFTER_S: Final = 2.0
"""Longest Retry-After: what is believed of a target is too old after that."""
RETURN_JITTER: Final = 0.5
"""Relative spread of returns."""
