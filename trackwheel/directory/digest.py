"""One number that differs when two boxes hold other targets, kept up change by change."""

import xxhash

from trackwheel.directory.models import TargetEntry


class EntriesDigest:
    """Combine the entries that are held; their order and their heartbeats do not count."""

    def __init__(self) -> None:
        self.value = 0
        self.leaving = 0
        """How many of the entries say that their target is leaving."""

    def add(self, entry: TargetEntry) -> None:
        """Take an entry in."""
        self.value ^= _hash_entry(entry)
        self.leaving += entry.leaving

    def remove(self, entry: TargetEntry) -> None:
        """Take an entry out that was taken in before."""
        self.value ^= _hash_entry(entry)
        self.leaving -= entry.leaving


def _hash_entry(entry: TargetEntry) -> int:
    text = f"{entry.instance}|{entry.born_ms}|{entry.service}|{entry.address}|{entry.leaving:d}"
    return int(xxhash.xxh32_intdigest(text.encode()))
