"""The record of one target: its entry while it is present, and the last one after its removal."""

from typing import NamedTuple

from trackwheel.directory.const import WARMUP_TOLERANCE_S
from trackwheel.directory.models import EntryRemoved, TargetEntry
from trackwheel.directory.revisions import era_of


class TargetRecord(NamedTuple):
    """One entry, and whether it is still present, as far as is known.

    `may_return` says that its lease ended while the store was unavailable: the target may write it
    again.
    """

    entry: TargetEntry
    changed_revision: int
    warmup_until: float
    present: bool = True
    remove_at: float = 0.0
    may_return: bool = False

    def same_state(self, entry: TargetEntry) -> bool:
        """Return whether a newer entry differs at most in its warm-up."""
        return _state(self.entry) == _state(entry)

    def warms_up_longer(self, entry: TargetEntry, now: float) -> bool:
        """Return whether a newer entry announces a longer warm-up than was known."""
        return (
            entry.warmup_left_s > 0.0
            and now + entry.warmup_left_s > self.warmup_until + WARMUP_TOLERANCE_S
        )

    def keep_leaving(self, entry: TargetEntry) -> TargetEntry:
        """Return a newer entry, marked as leaving if an earlier one of the same run was.

        A target never stops leaving; an entry without the mark was written earlier and arrived
        late.
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


def is_older_write(entry: TargetEntry, known: TargetEntry | EntryRemoved) -> bool:
    """Return whether a target wrote an entry no later than the known one, whatever its revision.

    A store that was restored from a copy shows old entries under new revisions.
    """
    after_restore = era_of(entry.revision) > era_of(known.revision)
    return after_restore and (entry.born_ms, entry.sequence) <= (known.born_ms, known.sequence)
