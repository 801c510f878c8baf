"""An incremental digest of the targets, to detect that two boxes hold different ones."""

import xxhash

from trackwheel.directory.models import TargetEntry


class EntriesDigest:
    """Combine the current entries; their order and their heartbeats do not count."""

    def __init__(self) -> None:
        self.value = 0
        self.leaving_count = 0
        """Number of entries whose target is leaving."""

    def add(self, entry: TargetEntry) -> None:
        """Add an entry."""
        self.value ^= _hash_entry(entry)
        self.leaving_count += entry.leaving

    def remove(self, entry: TargetEntry) -> None:
        """Remove an entry that was added before."""
        self.value ^= _hash_entry(entry)
        self.leaving_count -= entry.leaving


def _hash_entry(entry: TargetEntry) -> int:
    text = f"{entry.instance}|{entry.born_ms}|{entry.service}|{entry.address}|{entry.leaving:d}"
    return int(xxhash.xxh32_intdigest(text.encode()))
