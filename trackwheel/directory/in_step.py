"""Whether this box is in step with the store, by its own watches or by peers, without I/O."""

from typing import NamedTuple

from trackwheel.directory.const import BEACON_LIFETIME_S


class StoreFlow:
    """Follow one watch of the store; each is judged by its own answers (monotonic seconds).

    A watch on a connection that has gone silent hears nothing while the other one is answered.
    `name` says in the log what it watches.
    """

    def __init__(self, name: str, patience_s: float) -> None:
        self.name = name
        self._patience_s = patience_s
        self._answered_at = float("-inf")
        self._lost = False

    @property
    def lost(self) -> bool:
        """Return whether the last call failed."""
        return self._lost

    def answered(self, now: float) -> bool:
        """Take an answer of the store; return whether it is the first one after a failure."""
        self._answered_at = now
        regained, self._lost = self._lost, False
        return regained

    def failed(self) -> bool:
        """Take a failed call; return whether it is the first one after an answer."""
        newly = not self._lost
        self._lost = True
        return newly

    def in_step(self, now: float) -> bool:
        """Return whether the store has answered this watch lately."""
        return not self._lost and now - self._answered_at < self._patience_s


class Lag:
    """Decide when a peer that knows newer targets is asked for them.

    A box whose own watch works is behind for moments only. One that has stood still at one
    revision for longer than two watches lie apart asks, whatever it believes of its own watch.
    """

    def __init__(self, patience_s: float) -> None:
        self._patience_s = patience_s
        self._stands_at = -1
        self._behind_since = 0.0

    def asks(self, own_newest: int, peer_newest: int, in_step: bool, now: float) -> bool:
        """Take how far a peer is; return whether to ask it now.

        Peers that are no further say nothing of those that are.
        """
        if peer_newest <= own_newest:
            return False
        if self._stands_at != own_newest:
            self._stands_at = own_newest
            self._behind_since = now
        return not in_step or now - self._behind_since >= self._patience_s


class HowFar(NamedTuple):
    """Say up to which news a box is."""

    routes_version: int
    targets_newest: int

    def reaches(self, routes_version: int, targets_newest: int) -> bool:
        """Return whether it knows all that another box knows."""
        return self.routes_version >= routes_version and self.targets_newest >= targets_newest


class _Ahead(NamedTuple):
    """Remember how far a peer was that this box has not caught up with."""

    address: str
    routes_version: int
    targets_newest: int
    heard_at: float


class PeerFlow:
    """Follow peers whom the store answers: who has caught up with one lately is in step too.

    So a watcher that the store turns away serves its failure domain by what the watchers of
    others read, and no further box of its domain calls the store.
    """

    def __init__(self) -> None:
        self._address = ""
        self._level_at = float("-inf")
        self._ahead: _Ahead | None = None

    def heard(
        self, address: str, routes_version: int, targets_newest: int, now: float, own: HowFar
    ) -> None:
        """Take how far a peer is that goes by its own reading, and how far this box is."""
        if own.reaches(routes_version, targets_newest):
            self._address, self._level_at, self._ahead = address, now, None
        elif self._ahead is None or now - self._ahead.heard_at >= BEACON_LIFETIME_S:
            self._ahead = _Ahead(address, routes_version, targets_newest, now)

    def moved(self, own: HowFar) -> None:
        """Take how far this box is now."""
        ahead = self._ahead
        if ahead is not None and own.reaches(ahead.routes_version, ahead.targets_newest):
            self._address, self._level_at, self._ahead = ahead.address, ahead.heard_at, None

    def synced_via(self, now: float) -> str:
        """Return the peer whom this box has caught up with lately, empty when there is none."""
        return self._address if self.ago_s(now) < BEACON_LIFETIME_S else ""

    def ago_s(self, now: float) -> float:
        """Return how long ago the peer was heard whom this box goes by (seconds)."""
        return now - self._level_at
