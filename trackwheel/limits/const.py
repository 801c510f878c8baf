"""Constants of the limits of groups."""

from typing import Final

CREDIT_PART: Final = 0.2
"""Part of the margin that counting boxes grant to which no box delegates yet."""
CAPACITY_PART: Final = 0.2
"""Part of the margin that buckets may hold above the burst."""
LEASE_PART: Final = 0.2
"""Part of the margin for tokens that are held during one lease."""
START_PART: Final = 0.05
"""Part of the margin that all boxes together bring when they settle."""
MAX_LEASE_S: Final = 0.25
"""Longest time from the ask for a token to its use."""
MIN_LEASE_S: Final = 0.05
"""Shortest such time, for limits without a margin: a token must outlast its way."""
DELEGATION_PERIOD_S: Final = 0.5
DELEGATION_VALID_S: Final = 2.0
"""Time for which a box delegates to one counting box only."""
YOUNG_S: Final = DELEGATION_VALID_S
"""Age from which a box delegates to a counting box that knows the fleet: what its last life
promised has lapsed."""
SETTLE_S: Final = 4.0
"""Age from which a box knows the fleet: two probe periods."""
MEMBER_MEMORY_S: Final = 600.0
"""Time for which a lost box still counts among those that divide a limit."""
COUNT_AT_START_PART: Final = 0.5
"""Part of the limits that counts while all boxes start: two views of the fleet, each with its own
counting boxes, count the whole together."""
COUNT_AT_START_UNTIL_S: Final = SETTLE_S + 2.0 * DELEGATION_PERIOD_S
"""Age until which it does so: all boxes have delegated by then."""
PRESUMED_MEMBERS_S: Final = 60.0
"""Age until which a box presumes boxes in the failure domains of which it knows none."""
ANSWER_TIMEOUT_S: Final = 0.045
"""Time after which a counting box that has not answered counts as silent."""
GIFT_WAIT_S: Final = 0.036
"""Time for which an ask waits for gifts: less than the asking box waits."""
GIFT_PERIOD_S: Final = 0.1
"""Shortest time between two rounds of asks for gifts to a group."""
GIFT_AHEAD_S: Final = 0.2
"""Time of recent demand for which gifts are asked."""
ASK_AHEAD_S: Final = 0.05
"""Time of recent demand at which a counting box asks for gifts before it runs out."""
MAX_GIFT_PERIOD_S: Final = 0.8
"""Time between two rounds while gifts bring nothing."""
RESERVE_S: Final = 0.5
"""Time of its own recent demand that a counting box keeps when it gives tokens away."""
SILENT_S: Final = 0.5
"""Time for which a counting box that did not answer is not asked."""
MAX_TRIES: Final = 2
"""Counting boxes that one request asks, one after the other."""
REFUSAL_HOLD_S: Final = 0.05
"""Longest time after a refusal for which a box refuses the group without another ask."""
DEMAND_DECAY_S: Final = 2.0
"""Time constant of the recent demand of a group."""
SHORT_MEMORY_S: Final = 1.0
"""Time for which a group that was refused is told as short."""
MAX_SHORT_TOLD: Final = 32
"""Groups told as short in one message."""
MAX_WAITING: Final = 256
"""Requests of one group that wait for an answer at one box."""
MAX_RETRY_AFTER_S: Final = 10.0
RETRY_SPREAD: Final = 0.25
"""Random part by which a time to come back is lengthened."""
MAX_GROUPS_SHOWN: Final = 50
"""Groups with their own counters; the others are counted together."""
GIFT_ROUNDING: Final = 0.01
"""Tokens asked beyond an equal part, so that the parts sum to a whole token."""
