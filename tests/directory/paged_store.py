"""An in-memory store whose reads take several pages, between which it changes.

It can be restored from a copy; then later writes are lost and their revisions are assigned again.
"""

from collections.abc import Callable
from random import Random

from trackwheel.directory.models import EntryRemoved, HistoryGoneError, TargetEntry, TargetsRead
from trackwheel.directory.revisions import era_of, make_revision
from trackwheel.errors import Problem

PAGE_ENTRIES = 5


class PagedStore:
    """Hold entries and their history; targets start, leave, send heartbeats and stop by a seed."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.era = 1
        self.written = 0
        self.entry_by_instance: dict[str, TargetEntry] = {}
        self.last_by_instance: dict[str, TargetEntry] = {}
        """The last write of each target that has not been removed for good."""
        self._history: list[TargetEntry | EntryRemoved] = []

    @property
    def revision(self) -> int:
        """Return the newest revision."""
        return make_revision(self.era, self.written)

    def put(self, instance: str, leaving: bool = False) -> None:
        """Write the entry of a target."""
        self.written += 1
        last = self.last_by_instance.get(instance)
        sequence = 1 if last is None else last.sequence + 1
        entry = TargetEntry(
            instance, "s", "127.0.0.1:1", "a", 2, leaving, 0.0, self.revision, 0, sequence
        )
        self.entry_by_instance[instance] = self.last_by_instance[instance] = entry
        self._history.append(entry)

    def remove(self, instance: str) -> None:
        """Remove the entry of a target for good."""
        self.written += 1
        self.last_by_instance.pop(instance, None)
        del self.entry_by_instance[instance]
        self._history.append(EntryRemoved(instance, self.revision))

    def snapshot(self) -> tuple[int, dict[str, TargetEntry]]:
        """Return the current content."""
        return self.written, dict(self.entry_by_instance)

    def restore(self, earlier: tuple[int, dict[str, TargetEntry]]) -> None:
        """Replace the content by that of a copy."""
        self.era += 1
        self.written, entries = earlier[0], earlier[1]
        self.entry_by_instance = {
            instance: entry._replace(
                revision=make_revision(self.era, entry.revision - make_revision(self.era - 1, 0))
            )
            for instance, entry in entries.items()
        }
        self._history.clear()

    def rewrite(self) -> None:
        """Repeat the last write of each target and the removals that the copy lacks."""
        for instance in sorted(self.entry_by_instance.keys() - self.last_by_instance.keys()):
            self.remove(instance)
        for instance, last in sorted(self.last_by_instance.items()):
            self.put(instance, last.leaving)

    def change(self, times: int) -> None:
        """Make a number of random changes."""
        for _ in range(times):
            self._change_one()

    def _change_one(self) -> None:
        there = sorted(self.entry_by_instance)
        kind = self.random.choice(["come", "beat", "beat", "leave", "go"] if there else ["come"])
        if kind == "come":
            self.put(f"t-{self.random.randrange(10**6):06}")
            return
        instance = self.random.choice(there)
        if kind == "go":
            self.remove(instance)
        else:
            leaving = kind == "leave" or self.entry_by_instance[instance].leaving
            self.put(instance, leaving)

    def read(self, between_pages: Callable[[], None]) -> TargetsRead:
        """Return all entries, each page as of the time when it was read."""
        as_of, last, found = self.revision, "", list[TargetEntry]()
        while True:
            names = [name for name in sorted(self.entry_by_instance) if name > last]
            found += [self.entry_by_instance[name] for name in names[:PAGE_ENTRIES]]
            if len(names) <= PAGE_ENTRIES:
                return TargetsRead(None, found, [], as_of)
            last = names[PAGE_ENTRIES - 1]
            between_pages()

    def watch(self, after: int) -> TargetsRead:
        """Return the changes after a revision; raise `HistoryGoneError` for one of another era."""
        if era_of(after) != self.era:
            raise HistoryGoneError(Problem("history_gone", "watch", "store", "came back"))
        events = [event for event in self._history if event.revision > after]
        entries = [event for event in events if isinstance(event, TargetEntry)]
        removals = [event for event in events if isinstance(event, EntryRemoved)]
        return TargetsRead(after, entries, removals, self.revision)
