"""Constants of the directory."""

from typing import Final

STORE_TIMEOUT_S: Final = 1.0
"""Time-out of a call on the store, beyond the time that a watch may wait for a change. The store
answers in milliseconds; an answer that takes a hundred times as long is still accepted."""
SLOW_ANSWER_S: Final = 0.3
"""An answer that comes this long after the end of its watch means that the store was unavailable:
its answers take milliseconds, and fifty times that when it is slow."""
OPERATOR_WATCH_WAIT_S: Final = 5.0
"""How long a watch of the operator's keys waits for a change. A longer wait means fewer calls; a
connection that goes silent meanwhile is detected by TCP keep-alive."""
OPERATOR_WATCH_TIMEOUT_S: Final = OPERATOR_WATCH_WAIT_S + STORE_TIMEOUT_S + 0.5
"""A watcher whose watch of the operator's keys was answered longer ago than this is out of sync:
the longest watch, and half a second for the pause between watches and for timers."""
TARGETS_WATCH_WAIT_FRACTION: Final = 0.4
"""How long a watch of the targets waits for a change, as a fraction of the time in which a leaving
target gets its last work. Together with the pause between two watches and the time-out it stays
below that time, so that a silent connection is closed before its changes are overdue at the boxes
that rely on this one."""
BEACON_PERIOD_S: Final = 0.5
"""How often watchers send a beacon; a lost push is made up for within one period."""
BEACON_LIFETIME_S: Final = 1.5
"""How long a beacon is valid: two of three may be lost."""
TAKEOVER_DELAY_S: Final = 2.0
"""A box starts to read the store itself when no box in sync was heard of for this long."""
TAKEOVER_STEP_S: Final = 0.3
"""How much later the next box in order starts to read. Within it, the beacon of the one before has
arrived: two polls, and the delay between two boxes of a failure domain."""
START_SETTLE_S: Final = 0.6
"""How long a starting box uses a stale copy of the store before it reads the store itself.

Its peers are known after about 0.1 s, and a beacon arrives within half a second. Without this wait,
boxes that all start at once each consider themselves alone and read everything.
"""
START_PEER_WAIT_S: Final = 1.5
"""How long a starting box waits for beacons of its peers before it reads the store itself."""
LAST_RESORT_S: Final = 1.5
"""How long a target whose entry was removed without notice is still used as a last resort."""
WARMUP_TOLERANCE_S: Final = 0.5
"""A target whose announced warm-up ends this much later than known has started to warm up again. An
entry states the time left when it was written; network delay and the pause between two watches
shift the resulting end by some tenths of a second."""
ENTRY_RETURN_S: Final = 2.0
"""Within this time after the store is available again, live targets have written their entries."""
ENTRY_PROPAGATION_S: Final = 0.5
"""How long a rewritten entry takes to reach a box: one pause of a watcher after the store is
available again, and the network delay."""
OPERATOR_REWRITE_S: Final = 30.0
"""Time for the operator to rewrite what a store that was restored from a copy lacks. An evacuation
that is kept too long costs capacity; one that is forgotten violates the operator's request."""
RETURN_WATCH_PAUSE_S: Final = 0.25
"""Pause between two watches of the targets while expired entries are written again. With the usual
pause, a target that had rewritten its entry in time was out of use for another second."""
RETRY_MIN_PAUSE_S: Final = 0.1
"""First pause after a failed call on the store."""
RETRY_MAX_PAUSE_S: Final = 0.8
"""Longest pause after failed calls; the return of the store is noticed within it."""
POLL_PERIOD_S: Final = 0.1
"""How often a box that does not watch the store checks whether it should."""
OPERATOR_WATCH_PAUSE_S: Final = 0.05
"""Pause between two watches of the operator's keys, so that a burst of versions costs fewer
calls."""
TARGETS_WATCH_PAUSE_FRACTION: Final = 0.2
"""Pause between two watches of the targets, as a fraction of the time in which a leaving target
gets its last work; heartbeats end each watch within a second, and each call is paid for."""
REMOTE_ASK_PERIOD_FRACTION: Final = 0.1
"""How often a box whose targets are too old asks a watcher of another failure domain, as a fraction
of the time in which a leaving target gets its last work: two of three may not answer."""
REMOTE_ASKERS: Final = 4
"""Boxes of a failure domain that ask watchers of other ones at once and pass on what they learn:
all but one of them may be cut off."""
REMOTE_ASKER_BATCHES: Final = 2
"""How many times as many boxes ask in all, each batch a period later, in case the one before is cut
off as a whole. The links of a watcher grow with the number of domains only."""
COMPRESSION_LEVEL: Final = 1
"""Fastest level of zlib: a megabyte of routes would occupy a link of 10 Mbit/s for a second for
each peer."""
