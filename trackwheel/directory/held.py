"""What is kept of one target: its entry while it is there, and its last word when it is gone."""

from typing import NamedTuple

from trackwheel.directory.const import COLD_AGAIN_S
from trackwheel.directory.models import EntryRemoved, TargetEntry
from trackwheel.directory.revisions import era_of


class HeldTarget(NamedTuple):
    """Hold one entry, and whether it is still there, as far as is known.

    `lapsed` says that it went while the store was away, and may come back.
    """

    entry: TargetEntry
    changed_revision: int
    cold_until: float
    there: bool = True
    drop_at: float = 0.0
    lapsed: bool = False

    def tells_again(self, entry: TargetEntry) -> bool:
        """Return whether a newer entry says the same, but for how long the target is cold."""
        return _state(self.entry) == _state(entry)

    def turns_cold(self, entry: TargetEntry, now: float) -> bool:
        """Return whether by a newer entry the target stays cold for longer than was known."""
        return (
            entry.warmup_left_s > 0.0 and now + entry.warmup_left_s > self.cold_until + COLD_AGAIN_S
        )

    def keeps_leaving(self, entry: TargetEntry) -> TargetEntry:
        """Return a newer entry, leaving if the target has said so before in this life.

        Nobody takes that back; an entry without it was written earlier and has come late.
        """
        if entry.leaving or not self.entry.leaving or self.entry.born_ms != entry.born_ms:
            return entry
        return entry._replace(leaving=True)


def _state(entry: TargetEntry) -> tuple[str, str, str, int, bool, int]:
    """Return what heartbeats repeat; most entries are heartbeats."""
    return (
        entry.service,
        entry.address,
        entry.failure_domain,
        entry.slots,
        entry.leaving,
        entry.born_ms,
    )


def is_earlier_word(entry: TargetEntry, known: TargetEntry | EntryRemoved) -> bool:
    """Return whether a target wrote an entry no later than what is known, whatever its revision.

    A store that comes back from a copy shows old entries under new revisions.
    """
    set_back = era_of(entry.revision) > era_of(known.revision)
    return set_back and (entry.born_ms, entry.sequence) <= (known.born_ms, known.sequence)
