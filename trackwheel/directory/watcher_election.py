"""Decides, without I/O, whether this box watches the store."""

from collections.abc import Sequence

from trackwheel.directory.const import (
    BEACON_LIFETIME_S,
    START_PEER_WAIT_S,
    START_SETTLE_S,
    TAKEOVER_DELAY_S,
    TAKEOVER_STEP_S,
)


class WatcherElection:
    """Decide by the order of the boxes and by the beacons of watchers.

    The boxes of a failure domain have an order that all of them know. The first one watches the
    store, and each other one relies on a box that is in sync with it. When no box is in sync any
    more, the next ones start to read in that order:

    - silent predecessors are skipped after a short step each;
    - a predecessor that reads without getting an answer says so. Then the store is unavailable, and
      each further box starts only after twice the time. However many boxes lose the store at once,
      the number of those that call it grows with the logarithm of the outage.
    """

    def __init__(self, now: float, own_address: str, first: bool) -> None:
        self._own_address = own_address
        self._settled_at = now + (0.0 if first else START_SETTLE_S)
        self._trusted_at = now - TAKEOVER_DELAY_S + (0.0 if first else START_PEER_WAIT_S)
        self._predecessors: frozenset[str] = frozenset()
        self._failing_at_by_address: dict[str, float] = {}
        self._elected = False

    def set_predecessors(self, addresses: Sequence[str]) -> None:
        """Set the boxes of the failure domain that precede this one; the first is the watcher."""
        self._predecessors = frozenset(addresses)
        self._failing_at_by_address = {
            address: at
            for address, at in self._failing_at_by_address.items()
            if address in self._predecessors
        }

    def is_starting(self, now: float) -> bool:
        """Return whether this box has just started and uses a stale copy of the store."""
        return now < self._settled_at

    @property
    def predecessor_count(self) -> int:
        """Return how many boxes of the failure domain precede this one."""
        return len(self._predecessors)

    def receive_beacon(
        self, address: str, synced_via: str, now: float, synced_ago_s: float = 0.0
    ) -> None:
        """Handle the beacon of a box that reads the store.

        `synced_via` is the box through which it is in sync, empty when it is out of sync. A box
        that reads the store itself stops only for a predecessor: two that heard of each other would
        both stop.

        A box that is in sync through another one got the beacon of that one `synced_ago_s` before
        (seconds). When this was counted from its own beacon, watchers that lost the store at once
        kept confirming each other, and the next boxes started 1.5 s too late to get a configuration
        in time.
        """
        if not synced_via:
            self._failing_at_by_address[address] = now
            return
        self._failing_at_by_address.pop(address, None)
        if synced_via == self._own_address:
            return
        if address in self._predecessors or not self.should_watch(now):
            self._trusted_at = max(self._trusted_at, now - synced_ago_s)
            self._elected = False

    def should_watch(self, now: float) -> bool:
        """Return whether this box reads the store now."""
        if now < self._settled_at:
            return False
        if not self._predecessors:
            return True
        if not self._elected:
            self._elected = now - self._trusted_at >= self._takeover_delay_s(now)
        return self._elected

    def _takeover_delay_s(self, now: float) -> float:
        """Return how long after the last trusted beacon this box starts to read."""
        failing = sum(
            now - self._failing_at_by_address.get(address, float("-inf")) < BEACON_LIFETIME_S
            for address in self._predecessors
        )
        silent = len(self._predecessors) - failing
        if not failing:
            return TAKEOVER_DELAY_S + TAKEOVER_STEP_S * (silent - 1)
        doublings = failing - 1
        return TAKEOVER_DELAY_S * 2.0**doublings + TAKEOVER_STEP_S * silent
