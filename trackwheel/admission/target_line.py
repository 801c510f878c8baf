"""Decides which requests a box sends to one target and which it keeps for now; without I/O.

A target serves what it has got in the order of arrival, and what it runs cannot be taken back
without closing a connection. A box therefore sends little more than the target can run at once and
keeps the rest, where urgent requests can still overtake others and withdrawn ones cost nothing.
"""

from collections.abc import Hashable
from math import inf
from typing import NamedTuple

from trackwheel.admission.const import EXTRA_IN_FLIGHT, HOLD_SERVICE_TIMES, MAX_WAITING
from trackwheel.admission.models import Drop, LineCommand, Send, WaitingRequest
from trackwheel.admission.precedence_queue import PrecedenceQueue
from trackwheel.dispatch.service_time import ServiceTime


class _Sent(NamedTuple):
    """A request at the target; from `holds_until` on it is presumed lost (monotonic seconds)."""

    sent_at: float
    holds_until: float


class TargetLine:
    """The requests of one box for one target."""

    def __init__(self) -> None:
        self._queue = PrecedenceQueue()
        self._sent_by_key: dict[Hashable, _Sent] = {}
        self._service_time = ServiceTime()

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    @property
    def in_flight(self) -> int:
        """Return the number of requests that were sent and have not ended."""
        return len(self._sent_by_key)

    def submit(self, request: WaitingRequest, slots: int, now: float) -> list[LineCommand]:
        """Add a request for a target with a number of slots."""
        commands = self.fill(slots, now)
        if len(self._queue) < MAX_WAITING and (len(self._queue) or not self._room(slots, now)):
            self._queue.push(request)
            return commands
        self._queue.count_sent(request, now)
        return [*commands, self._send(request, now)]

    def next_room_at(self, now: float) -> float:
        """Return when a request at the target stops holding room while others wait."""
        if not len(self._queue):
            return inf
        holding = (sent.holds_until for sent in self._sent_by_key.values())
        return min((until for until in holding if until > now), default=inf)

    def fill(self, slots: int, now: float) -> list[LineCommand]:
        """Send what the target has room for by now."""
        if not len(self._queue):
            return []
        expected_s = self._service_time.mean_s
        commands: list[LineCommand] = [
            Drop(request) for request in self._queue.drop_expired(expected_s, now)
        ]
        for _ in range(self._room(slots, now)):
            request = self._queue.pop(expected_s, now)
            if request is None:
                break
            commands.append(self._send(request, now))
        return commands

    def ended(self, key: Hashable, slots: int, answered: bool, now: float) -> list[LineCommand]:
        """Handle the end of a request that was sent, or its withdrawal."""
        sent = self._sent_by_key.pop(key, None)
        if sent is not None and answered:
            self._service_time.add(sent.sent_at, now - sent.sent_at, now)
        return self.fill(slots, now)

    def demote(self, key: Hashable) -> None:
        """Put a waiting request behind the others: the answer is possible without it."""
        self._queue.demote(key)

    def withdraw(self, key: Hashable, now: float) -> WaitingRequest | None:
        """Remove a request that is not needed any more; return it if it was not sent yet."""
        return self._queue.withdraw(key, now)

    def take_waiting(self, now: float) -> list[WaitingRequest]:
        """Remove and return all waiting requests: the target gets no more work."""
        waiting = self._queue.requests()
        for request in waiting:
            self._queue.withdraw(request.key, now)
        return waiting

    def _send(self, request: WaitingRequest, now: float) -> Send:
        hold_s = max(
            request.deadline - request.since, HOLD_SERVICE_TIMES * self._service_time.mean_s
        )
        self._sent_by_key[request.key] = _Sent(now, now + hold_s)
        return Send(request)

    def _room(self, slots: int, now: float) -> int:
        """Return how many more requests the target should get.

        One that is not answered within its target latency does not count: a silent connection must
        not keep others from the target.
        """
        running = sum(1 for sent in self._sent_by_key.values() if sent.holds_until > now)
        return max(0, max(1, slots) + EXTRA_IN_FLIGHT - running)
