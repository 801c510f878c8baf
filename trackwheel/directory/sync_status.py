"""Whether this box is in sync with the store, by its own watches or through peers, without I/O."""

from typing import NamedTuple

from trackwheel.directory.const import BEACON_LIFETIME_S


class WatchStatus:
    """Status of one watch of the store, judged by its own answers (monotonic seconds).

    A watch on a connection that has gone silent gets nothing while the other one is answered.
    `name` is the name of the watch in the log.
    """

    def __init__(self, name: str, timeout_s: float) -> None:
        self.name = name
        self._timeout_s = timeout_s
        self._answered_at = float("-inf")
        self._failing = False

    @property
    def failing(self) -> bool:
        """Return whether the last call failed."""
        return self._failing

    def record_answer(self, now: float) -> bool:
        """Record an answer of the store; return whether it is the first one after a failure."""
        self._answered_at = now
        regained, self._failing = self._failing, False
        return regained

    def record_failure(self) -> bool:
        """Record a failed call; return whether it is the first one after an answer."""
        newly = not self._failing
        self._failing = True
        return newly

    def in_sync(self, now: float) -> bool:
        """Return whether the store has answered this watch recently."""
        return not self._failing and now - self._answered_at < self._timeout_s


class LagDetector:
    """Decide when to ask a peer that knows newer targets.

    A box whose own watch works lags only for moments. One that has stayed at one revision for
    longer than the time between two watches asks, whatever the status of its own watch.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._stalled_revision = -1
        self._behind_since = 0.0

    def should_ask(self, own_revision: int, peer_revision: int, in_sync: bool, now: float) -> bool:
        """Return whether to ask a peer now, given its revision.

        Peers that are not ahead say nothing of those that are.
        """
        if peer_revision <= own_revision:
            return False
        if self._stalled_revision != own_revision:
            self._stalled_revision = own_revision
            self._behind_since = now
        return not in_sync or now - self._behind_since >= self._timeout_s


class SyncPosition(NamedTuple):
    """The versions up to which a box knows all changes."""

    routes_version: int
    targets_revision: int

    def covers(self, routes_version: int, targets_revision: int) -> bool:
        """Return whether a box at this position knows all that another one knows."""
        return self.routes_version >= routes_version and self.targets_revision >= targets_revision


class _AheadPeer(NamedTuple):
    """A position of a peer that this box has not reached yet."""

    address: str
    routes_version: int
    targets_revision: int
    heard_at: float


class PeerSync:
    """Follow peers that the store answers: a box that has caught up with one is in sync through it.

    A watcher that the store rejects thus serves its failure domain through the watchers of others,
    and no further box of its domain calls the store.
    """

    def __init__(self) -> None:
        self._address = ""
        self._synced_at = float("-inf")
        self._ahead: _AheadPeer | None = None

    def record_peer(
        self,
        address: str,
        routes_version: int,
        targets_revision: int,
        now: float,
        own: SyncPosition,
    ) -> None:
        """Record the position of a peer that reads the store, and that of this box."""
        if own.covers(routes_version, targets_revision):
            self._address, self._synced_at, self._ahead = address, now, None
        elif self._ahead is None or now - self._ahead.heard_at >= BEACON_LIFETIME_S:
            self._ahead = _AheadPeer(address, routes_version, targets_revision, now)

    def record_progress(self, own: SyncPosition) -> None:
        """Record the new position of this box."""
        ahead = self._ahead
        if ahead is not None and own.covers(ahead.routes_version, ahead.targets_revision):
            self._address, self._synced_at, self._ahead = ahead.address, ahead.heard_at, None

    def synced_peer(self, now: float) -> str:
        """Return the peer with which this box has recently caught up, empty when there is none."""
        return self._address if self.peer_age_s(now) < BEACON_LIFETIME_S else ""

    def peer_age_s(self, now: float) -> float:
        """Return how long ago the beacon of that peer arrived (seconds)."""
        return now - self._synced_at
