"""Numbers of the membership protocol and of ownership."""

from typing import Final

PROBE_RINGS: Final = 3
INDIRECT_PROBES: Final = 2
MAX_RUMOURS_PER_MESSAGE: Final = 16
RUMOUR_SENDS_PER_DOUBLING: Final = 3
"""A rumour is sent this many times the binary logarithm of the fleet's size."""
SYNC_BUCKETS: Final = 64
SYNC_AFTER_MISMATCHES: Final = 3
TOMBSTONE_S: Final = 60.0
NOTE_LIFETIME_S: Final = 600.0
SEED_PERIOD_S: Final = 1.0
BOX_LIST_PERIOD_S: Final = 5.0
ALONE_PERIOD_S: Final = 0.5
HEARSAY_FACTOR: Final = 4.0
"""How much longer than its own probers others wait before they bury a suspect."""
INSISTENT_PROBES: Final = 6
"""How often a suspect is probed again by each of its probers before it is buried."""
AWAY_FACTOR: Final = 4.0
"""A box that did not run for this many probe periods has been away."""

TARGETS_PER_OWNER: Final = 8
LEAST_OWNERS: Final = 2
WATCHERS_PER_DOMAIN: Final = 2
UNREACHABLE_S: Final = 2.0
"""How long a gateway passes over an owner to which its link broke."""
RESERVE_OWNERS: Final = 6
"""How many boxes after a group's owners are kept ranked, to step in without a new ranking."""
