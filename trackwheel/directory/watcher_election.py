"""Whether this box reads the store itself, decided without I/O."""

from collections.abc import Sequence

from trackwheel.directory.const import (
    BEACON_LIFETIME_S,
    SILENT_STEP_S,
    START_SETTLE_S,
    START_WAIT_S,
    UNHEARD_S,
)


class WatcherElection:
    """Decide from the own place in the fleet and from what watchers say.

    The boxes of a failure domain stand in an order that all of them know. The first one watches
    the store, and every other one trusts a box that goes by an answer of the store. Where nobody
    is in step any more, the next ones begin to read in that order:

    - boxes before this one that have fallen silent are passed over after a short step each;
    - a box before this one that reads and gets no answer says so. It is the store that is away
      then, so that each further box begins only after twice the time. However many boxes lose
      the store at once, those that call it grow with the logarithm of the outage.
    """

    def __init__(self, now: float, own_address: str, first: bool) -> None:
        self._own_address = own_address
        self._settled_at = now + (0.0 if first else START_SETTLE_S)
        self._trusted_at = now - UNHEARD_S + (0.0 if first else START_WAIT_S)
        self._before: frozenset[str] = frozenset()
        self._reads_in_vain_at_by_address: dict[str, float] = {}
        self._began = False

    def set_boxes_before(self, addresses: Sequence[str]) -> None:
        """Take which boxes of the failure domain come before this one; none: it is the watcher."""
        self._before = frozenset(addresses)
        self._reads_in_vain_at_by_address = {
            address: at
            for address, at in self._reads_in_vain_at_by_address.items()
            if address in self._before
        }

    def settles(self, now: float) -> bool:
        """Return whether this box has just started and goes by a copy of the store."""
        return now < self._settled_at

    @property
    def boxes_before(self) -> int:
        """Return how many boxes of the failure domain come before this one."""
        return len(self._before)

    def heard(self, address: str, goes_by: str, now: float, ago_s: float = 0.0) -> None:
        """Take the word of a box that reads the store.

        `goes_by` is the box whose reading of the store it goes by, empty when it is out of step.
        A box that reads itself leaves that only to one before it: two that heard of each other
        would both stop.

        A box that goes by another one heard that `ago_s` before (seconds). Counted from its own
        word, all watchers that lose the store at once went on vouching for each other, and boxes
        after them began 1.5 s too late to learn of a configuration in time.
        """
        if not goes_by:
            self._reads_in_vain_at_by_address[address] = now
            return
        self._reads_in_vain_at_by_address.pop(address, None)
        if goes_by == self._own_address:
            return
        if address in self._before or not self.watches(now):
            self._trusted_at = max(self._trusted_at, now - ago_s)
            self._began = False

    def watches(self, now: float) -> bool:
        """Return whether this box reads the store now."""
        if now < self._settled_at:
            return False
        if not self._before:
            return True
        if not self._began:
            self._began = now - self._trusted_at >= self._patience_s(now)
        return self._began

    def _patience_s(self, now: float) -> float:
        """Return how long after the last trusted word this box begins to read."""
        reading = sum(
            now - self._reads_in_vain_at_by_address.get(address, float("-inf")) < BEACON_LIFETIME_S
            for address in self._before
        )
        silent = len(self._before) - reading
        if not reading:
            return UNHEARD_S + SILENT_STEP_S * (silent - 1)
        doublings = reading - 1
        return UNHEARD_S * 2.0**doublings + SILENT_STEP_S * silent
