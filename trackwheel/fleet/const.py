"""Constants of the membership protocol and of ownership."""

from typing import Final

PROBE_RINGS: Final = 3
INDIRECT_PROBES: Final = 2
MAX_UPDATES_PER_MESSAGE: Final = 16
GOSSIP_SENDS_PER_DOUBLING: Final = 3
"""An update is sent this many times the binary logarithm of the size of the fleet."""
SYNC_BUCKETS: Final = 64
SYNC_AFTER_MISMATCHES: Final = 3
TOMBSTONE_S: Final = 60.0
LEAVING_TARGET_LIFETIME_S: Final = 600.0
SEED_PERIOD_S: Final = 1.0
BOX_LIST_PERIOD_S: Final = 5.0
ALONE_PERIOD_S: Final = 0.5
REMOTE_SUSPICION_FACTOR: Final = 4.0
"""How much longer than the boxes that probe a suspect the other boxes wait before they declare it
dead."""
SUSPECT_PROBES: Final = 6
"""How often each of its probers probes a suspect again before it is declared dead."""
PAUSE_FACTOR: Final = 4.0
"""A box that did not run for this many probe periods joins the fleet again."""

TARGETS_PER_OWNER: Final = 8
MIN_OWNERS: Final = 2
WATCHERS_PER_DOMAIN: Final = 2
UNREACHABLE_S: Final = 2.0
"""How long a gateway skips an owner after its link broke."""
RESERVE_OWNERS: Final = 6
"""Number of ranked boxes kept after the owners of a group, to replace them without a new
ranking."""
