"""Whether this box's own watches of the store keep it in step, decided without I/O."""


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
