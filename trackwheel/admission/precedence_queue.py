"""Queue of the requests for one target, ordered by precedence, groups and deadlines; without I/O.

Requests that can still be answered within their target latency come first, those of the smallest
precedence before others, unless another precedence is starved. Within one precedence, groups share
the slot time equally, and the earliest deadline comes first within a group. Requests that are
already late follow: their callers still get an answer, but nobody else becomes late for them. Those
that an answer can do without wait with them, until their target latency.
"""

from collections.abc import Hashable

from trackwheel.admission.const import GROUP_SHARE
from trackwheel.admission.models import WaitingRequest
from trackwheel.admission.served_share import ServedShares
from trackwheel.dispatch.fair_queue import FairQueue
from trackwheel.groups.models import Precedence

_Queues = dict[Precedence, FairQueue[WaitingRequest]]


class PrecedenceQueue:
    """Orders requests that wait for one target."""

    def __init__(self) -> None:
        self._in_time: _Queues = {}
        self._late: _Queues = {}
        self._shares = ServedShares()
        self._waiting_by_key: dict[Hashable, WaitingRequest] = {}
        self._optional: set[Hashable] = set()

    def __len__(self) -> int:
        return len(self._waiting_by_key)

    def __contains__(self, key: Hashable) -> bool:
        return key in self._waiting_by_key

    def requests(self) -> list[WaitingRequest]:
        """Return all waiting requests."""
        return list(self._waiting_by_key.values())

    def push(self, request: WaitingRequest) -> None:
        """Add a request."""
        self._waiting_by_key[request.key] = request
        _push(self._in_time, request)

    def demote(self, key: Hashable) -> None:
        """Put a request behind the others: the answer is possible without it."""
        request = self._waiting_by_key.get(key)
        if request is None or self._in_time[request.precedence].remove(key) is None:
            return
        self._optional.add(key)
        _push(self._late, request)

    def withdraw(self, key: Hashable, now: float) -> WaitingRequest | None:
        """Remove a request that is no longer needed; return it if it was waiting."""
        request = self._waiting_by_key.pop(key, None)
        if request is None:
            return None
        if self._in_time[request.precedence].remove(key) is None:
            self._late[request.precedence].remove(key)
            self._count_lost(request, now)
        return request

    def count_sent(self, request: WaitingRequest, now: float) -> None:
        """Count a request that was sent without waiting."""
        self._shares.count(request.precedence, True, now)

    def drop_expired(self, expected_s: float, now: float) -> list[WaitingRequest]:
        """Remove and return the requests that cannot end in time any more."""
        dropped: list[WaitingRequest] = []
        for precedence, queue in self._in_time.items():
            for request in queue.drop_before(now + expected_s):
                _push(self._late, request._replace(deadline=request.end_at))
            late = self._late.get(precedence)
            if late is not None:
                dropped += late.drop_before(now + expected_s)
        for request in dropped:
            del self._waiting_by_key[request.key]
            self._count_lost(request, now)
        return dropped

    def pop(self, expected_s: float, now: float) -> WaitingRequest | None:
        """Remove and return the next request."""
        queue = self._next_queue(self._in_time) or self._next_queue(self._late)
        request = queue.pop(expected_s, now) if queue is not None else None
        if queue is None or request is None:
            return None
        queue.remove_idle(now)
        self._optional.discard(request.key)
        self._shares.count(request.precedence, True, now)
        return self._waiting_by_key.pop(request.key)

    def _count_lost(self, request: WaitingRequest, now: float) -> None:
        """Count a request that was not sent, unless its caller has an answer without it."""
        if request.key in self._optional:
            self._optional.discard(request.key)
            return
        self._shares.count(request.precedence, False, now)

    def _next_queue(self, queues: _Queues) -> FairQueue[WaitingRequest] | None:
        """Return the queue of a starved precedence, else of the smallest one."""
        filled = [precedence for precedence, queue in queues.items() if len(queue)]
        if not filled:
            return None
        return queues[min(filled, key=lambda p: (not self._shares.is_starved(p), p))]


def _push(queues: _Queues, request: WaitingRequest) -> None:
    queue = queues.get(request.precedence)
    if queue is None:
        queue = queues[request.precedence] = FairQueue()
    queue.push(request, GROUP_SHARE)
