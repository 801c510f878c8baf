"""Counts of the ends of requests by group."""

from collections import Counter
from collections.abc import Iterable


class GroupCounts:
    """Counts by group and kind of end; the counts of groups that are gone are dropped."""

    def __init__(self) -> None:
        self.number_by_group_and_kind: Counter[tuple[str, str]] = Counter()
        self._names: frozenset[str] = frozenset()

    def set_groups(self, names: Iterable[str]) -> None:
        """Set the groups of the configuration in force."""
        self._names = frozenset(names)
        for group, kind in list(self.number_by_group_and_kind):
            if group not in self._names:
                del self.number_by_group_and_kind[group, kind]

    def add(self, group: str, kind: str) -> None:
        """Count the end of a request, unless its group is gone or it has none."""
        if group in self._names:
            self.number_by_group_and_kind[group, kind] += 1
