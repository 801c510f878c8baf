"""A store in memory whose readings take several pages, between which it changes."""

from collections.abc import Callable
from random import Random

from trackwheel.directory.models import EntryGone, TargetEntry, TargetsRead

PAGE_ENTRIES = 5


class PagedStore:
    """Hold entries and their history; targets come, leave, beat and go as a seed has it."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.revision = 0
        self.entry_by_instance: dict[str, TargetEntry] = {}
        self._history: list[TargetEntry | EntryGone] = []

    def put(self, instance: str, leaving: bool = False) -> None:
        """Let a target write its entry; it comes before or after others by its name."""
        self.revision += 1
        entry = TargetEntry(instance, "s", "127.0.0.1:1", "a", 2, leaving, 0.0, self.revision)
        self.entry_by_instance[instance] = entry
        self._history.append(entry)

    def remove(self, instance: str) -> None:
        """Let an entry go."""
        self.revision += 1
        del self.entry_by_instance[instance]
        self._history.append(EntryGone(instance, self.revision))

    def change(self) -> None:
        """Let something happen to a target."""
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
        """Return all entries, each page as it stood when it was read."""
        as_of, last, found = self.revision, "", list[TargetEntry]()
        while True:
            names = [name for name in sorted(self.entry_by_instance) if name > last]
            found += [self.entry_by_instance[name] for name in names[:PAGE_ENTRIES]]
            if len(names) <= PAGE_ENTRIES:
                return TargetsRead(None, found, [], as_of)
            last = names[PAGE_ENTRIES - 1]
            between_pages()

    def watch(self, after: int) -> TargetsRead:
        """Return the changes after a revision."""
        news = [event for event in self._history if event.revision > after]
        entries = [event for event in news if isinstance(event, TargetEntry)]
        gone = [event for event in news if isinstance(event, EntryGone)]
        return TargetsRead(after, entries, gone, self.revision)
