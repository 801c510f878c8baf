"""Numbers of the directory."""

from typing import Final

STORE_TIMEOUT_S: Final = 1.0
"""Longest wait for an answer of the store beyond the time that a watch may rest. It answers in
milliseconds; a hundredfold of that is still heard."""
SLOW_ANSWER_S: Final = 0.3
"""An answer that comes so much after its watch had to end says that the store was away: its
answers take milliseconds, and fifty times that when it is slow."""
ORDERS_WAIT_S: Final = 5.0
"""How long a watch of the operator's orders waits for a change. Longer means fewer calls; a
connection that goes silent meanwhile is noticed by TCP's keep-alive."""
ORDERS_PATIENCE_S: Final = ORDERS_WAIT_S + STORE_TIMEOUT_S + 0.5
"""A watcher whose orders the store confirmed longer ago no longer counts as in step: the longest
watch, and half a second for its pause and for timers."""
TARGETS_WAIT_SHARE: Final = 0.4
"""How long a watch of the targets waits for a change, as part of the time in which a leaving target
gets its last work. With the pause between two watches and the slack it stays below that time, so
that a connection that has gone silent is given up before its news are overdue at all boxes that
trust this one."""
BEACON_PERIOD_S: Final = 0.5
"""How often watchers say how far they are; a push that was lost heals within one period."""
BEACON_LIFETIME_S: Final = 1.5
"""How long a watcher's word counts: two of three beacons may be lost."""
TAKEOVER_DELAY_S: Final = 2.0
"""After so long without word from a box in step, the next box reads the store itself."""
TAKEOVER_STEP_S: Final = 0.3
"""How much later the box after it begins. Within it, the first one's word that it reads has come:
two looks, and the way between two boxes of a failure domain."""
START_SETTLE_S: Final = 0.6
"""How long a box that starts goes by a copy of the store before it reads the store itself.

Its peers are known after some 0.1 s, and a watcher's word comes within half a second. Where all
boxes start at once, each thinks that it is alone and read everything anew: 1,180 of 1,509 calls of
a day on 195 boxes that were lost once."""
START_PEER_WAIT_S: Final = 1.5
"""How long a box that starts waits for its peers before it reads the store itself."""
LAST_RESORT_S: Final = 1.5
"""How long a target whose entry went without notice is still used as a last resort."""
WARMUP_TOLERANCE_S: Final = 0.5
"""A target whose told cold time ends so much later than was known has turned cold again. Entries
tell what was left when they were written; the way here and the rest between two watches make that
end earlier or later by some tenths of a second."""
ENTRY_RETURN_S: Final = 2.0
"""How long after a return of the store the entries of living targets come back to it."""
ENTRY_PROPAGATION_S: Final = 0.5
"""How long the news of an entry that is back takes to a box: one rest of a watcher after a return,
and the way there."""
ORDERS_WRITTEN_AGAIN_S: Final = 30.0
"""How long after the store came back from a copy the operator may take to write anew what that
lacks. An evacuation that is kept too long costs capacity, one that is forgotten is broken."""
RETURN_REST_S: Final = 0.25
"""Pause between two watches of the targets while lapsed entries come back. With the usual pause a
target that had written its entry in time was out of use for another second."""
RETRY_FIRST_S: Final = 0.1
"""First pause after a failed call on the store."""
RETRY_LONGEST_S: Final = 0.8
"""Longest pause after failed calls: the store's return is noticed within it."""
LOOK_PERIOD_S: Final = 0.1
"""How often a box that does not watch looks whether it should."""
ORDERS_REST_S: Final = 0.05
"""Pause between two watches of the orders, so that a storm of versions costs fewer calls."""
TARGETS_REST_SHARE: Final = 0.2
"""The same for targets, as part of the time in which a leaving one gets its last work; their
heartbeats end each watch within a second, and each call is paid for."""
PACK_LEVEL: Final = 1
"""zlib's fastest level: a megabyte of routes would hold a link of 10 Mbit/s for a second a peer."""
