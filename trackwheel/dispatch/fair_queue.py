"""Start-time fair queueing among groups, earliest deadline first inside each group."""

import itertools
from bisect import bisect_right
from operator import itemgetter

from sortedcontainers import SortedList

from trackwheel.dispatch.const import GROUP_IDLE_S
from trackwheel.dispatch.models import Work, WorkKey

QueueEntry = tuple[float, int, Work]
"""Deadline, arrival number and work, sorted by the first two."""


class _GroupQueue:
    """Queued work of one group and its finish tag in virtual time."""

    __slots__ = ("entries", "finish", "idle_since", "share")

    def __init__(self, share: float, finish: float) -> None:
        self.share = share
        self.finish = finish
        self.entries: SortedList[QueueEntry] = SortedList()
        self.idle_since = 0.0


class FairQueue:
    """Order queued work so that each group receives slot time in proportion to its share."""

    def __init__(self) -> None:
        self._queue_by_group: dict[str, _GroupQueue] = {}
        self._entry_by_key: dict[WorkKey, QueueEntry] = {}
        self._virtual_time = 0.0
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._entry_by_key)

    def __contains__(self, key: WorkKey) -> bool:
        return key in self._entry_by_key

    def keys(self) -> list[WorkKey]:
        """Return the keys of all queued work."""
        return list(self._entry_by_key)

    def push(self, work: Work, share: float) -> None:
        """Add work and set the share of its group."""
        queue = self._queue_by_group.get(work.group)
        if queue is None:
            queue = self._queue_by_group[work.group] = _GroupQueue(share, self._virtual_time)
        queue.share = share
        entry = (work.deadline, next(self._sequence), work)
        queue.entries.add(entry)
        self._entry_by_key[work.key] = entry

    def remove(self, key: WorkKey) -> Work | None:
        """Remove work from the queue and return it, None if it is not queued."""
        entry = self._entry_by_key.pop(key, None)
        if entry is None:
            return None
        self._queue_by_group[entry[2].group].entries.remove(entry)
        return entry[2]

    def pop(self, cost_s: float, now: float) -> Work | None:
        """Remove and return the next work, and charge its group the expected cost."""
        chosen: _GroupQueue | None = None
        earliest = 0.0
        for queue in self._queue_by_group.values():
            if not queue.entries:
                continue
            start = max(self._virtual_time, queue.finish)
            if chosen is None or start < earliest:
                chosen, earliest = queue, start
        if chosen is None:
            return None
        self._virtual_time = earliest
        chosen.finish = earliest + cost_s / chosen.share
        chosen.idle_since = now
        return self._pop_head(chosen)

    def charge(self, group: str, cost_s: float) -> None:
        """Charge a group for slot time beyond the expected cost (may be negative)."""
        queue = self._queue_by_group.get(group)
        if queue is not None:
            queue.finish += cost_s / queue.share

    def drop_before(self, deadline: float) -> list[Work]:
        """Remove and return all work whose deadline is before a given time."""
        dropped = []
        for queue in self._queue_by_group.values():
            while queue.entries and queue.entries[0][0] < deadline:
                dropped.append(self._pop_head(queue))
        return dropped

    def drop_all(self) -> list[Work]:
        """Remove and return all work."""
        return self.drop_before(float("inf"))

    def earliest_deadline(self) -> float:
        """Return the earliest deadline of queued work, infinity if the queue is empty."""
        waiting = (queue.entries for queue in self._queue_by_group.values() if queue.entries)
        return min((entries[0][0] for entries in waiting), default=float("inf"))

    def count_ahead(self, group: str, deadline: float) -> int:
        """Return the number of queued items of a group that precede new work with a deadline."""
        queue = self._queue_by_group.get(group)
        if queue is None:
            return 0
        return bisect_right(queue.entries, deadline, key=itemgetter(0))

    def share_fraction(self, group: str, share: float) -> float:
        """Return the fraction of the capacity that a group would get if it queued work now."""
        others = sum(
            queue.share
            for name, queue in self._queue_by_group.items()
            if name != group and queue.entries
        )
        return share / (share + others)

    def remove_idle(self, now: float) -> None:
        """Remove groups that have been idle for `GROUP_IDLE_S` and owe no slot time."""
        for group, queue in list(self._queue_by_group.items()):
            owes = queue.finish > self._virtual_time
            if not queue.entries and not owes and now - queue.idle_since > GROUP_IDLE_S:
                del self._queue_by_group[group]

    def _pop_head(self, queue: _GroupQueue) -> Work:
        work = queue.entries.pop(0)[2]
        del self._entry_by_key[work.key]
        return work
