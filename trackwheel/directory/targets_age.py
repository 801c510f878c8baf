"""How old the targets known at a box are, and when it asks other failure domains, without I/O."""

import zlib
from collections.abc import Iterable
from typing import NamedTuple

from trackwheel.directory.const import (
    BEACON_LIFETIME_S,
    REMOTE_ASK_PERIOD_FRACTION,
    REMOTE_ASKER_BATCHES,
    REMOTE_ASKERS,
    TARGETS_WATCH_PAUSE_FRACTION,
    TARGETS_WATCH_WAIT_FRACTION,
)


class _AheadPeer(NamedTuple):
    """A revision of a peer that this box has not reached, and until when the peer knows all."""

    revision: int
    known_until: float
    heard_at: float


class TargetsAge:
    """Track until when this box knows all changes of targets (monotonic seconds).

    A box that reads the store knows those until its last answer, another one those that a peer
    knows with whose revision it has caught up.
    """

    def __init__(self, now: float) -> None:
        self._known_until = now
        self._ahead: _AheadPeer | None = None

    def age_s(self, now: float) -> float:
        """Return for how long changes of targets may be unknown here (seconds)."""
        return now - self._known_until

    def record_answer(self, now: float) -> None:
        """Record that the store has returned all changes."""
        self._known_until = now

    def record_peer(self, revision: int, known_until: float, own_revision: int, now: float) -> None:
        """Record the revision of a peer, until when it knows all, and the own revision."""
        if own_revision >= revision:
            self._known_until = max(self._known_until, known_until)
        elif self._ahead is None or now - self._ahead.heard_at >= BEACON_LIFETIME_S:
            # One that is never reached must not keep out those of other peers.
            self._ahead = _AheadPeer(revision, known_until, now)

    def record_progress(self, own_revision: int) -> None:
        """Record the new own revision."""
        if self._ahead is not None and own_revision >= self._ahead.revision:
            self._known_until = max(self._known_until, self._ahead.known_until)
            self._ahead = None


class RemoteWatcherRotation:
    """Decide when to ask a watcher of another failure domain for changes of targets, and which.

    A box asks while its targets are older than the longest time between two answers of the store.
    The watcher that it relies on may have lost the store, and the other failure domains, without
    knowing it yet: to wait until another box of the domain reads the store takes longer than a
    leaving target may get work.

    Only the first boxes of a failure domain ask, and pass on what they learn: a watcher would have
    links to all boxes of the fleet otherwise. As many next ones ask one period later, when the
    targets are still old: all of the first ones may be cut off.
    """

    def __init__(self, own_address: str, drain_s: float) -> None:
        self._answer_period_s = drain_s * (
            TARGETS_WATCH_PAUSE_FRACTION + TARGETS_WATCH_WAIT_FRACTION
        )
        self._max_age_s = self._answer_period_s
        self._period_s = drain_s * REMOTE_ASK_PERIOD_FRACTION
        # Boxes of one failure domain begin with different watchers.
        self._turn = zlib.crc32(own_address.encode())
        self._next_ask_at = 0.0
        self._watchers: tuple[str, ...] = ()

    def set_peers(self, predecessor_count: int, watchers: Iterable[str]) -> None:
        """Set how many boxes precede this one, and the watchers of other failure domains."""
        batch = predecessor_count // REMOTE_ASKERS
        self._max_age_s = self._answer_period_s + batch * self._period_s
        self._watchers = tuple(watchers) if batch < REMOTE_ASKER_BATCHES else ()

    def asks(self, age_s: float) -> bool:
        """Return whether this box asks for changes while its targets are that old."""
        return age_s >= self._max_age_s and bool(self._watchers)

    def due(self, age_s: float, now: float) -> str:
        """Return the address of the watcher to ask now, empty if none is due."""
        if not self.asks(age_s) or now < self._next_ask_at:
            return ""
        self._next_ask_at = now + self._period_s
        self._turn += 1
        return self._watchers[self._turn % len(self._watchers)]
