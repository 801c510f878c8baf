"""Time until every box holds a request, in fleets of up to 195 boxes in virtual time.

A request crashes the targets of all shards of a service, sent by boxes of three failure domains, or
one target from each of three boxes. Messages are lost, as they are while connections are
reopened. The strictest platform known allows four seconds from the third crash.
"""

from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest

from trackwheel.quarantine.const import REBROADCAST_INTERVAL_S
from trackwheel.quarantine.crash_tracker import CrashTracker
from trackwheel.quarantine.models import Broadcast, CrashReport, Message, RequestsAnswered
from trackwheel.relay.models import SendPermission

CRASHING = b"crashing"
MESSAGE_DELAY_S = 0.02
"""Transit time of a message (seconds); the longest known route between regions takes 0.012 s."""
DOMAINS = 3


class Fleet:
    """Simulated boxes; each forwards messages from other failure domains to its own."""

    def __init__(self, boxes: int, loss: float, seed: int) -> None:
        self.trackers = [CrashTracker() for _ in range(boxes)]
        self.now = 0.0
        self.sent = 0
        self._loss = loss
        self._random = Random(seed)
        self._order = count()
        self._in_flight: list[tuple[float, int, int, int, Message]] = []
        self._rebroadcast_at = REBROADCAST_INTERVAL_S

    def run(self, until: float) -> None:
        """Advance the virtual time and deliver messages."""
        while self.now < until:
            self.now += 0.005
            while self._in_flight and self._in_flight[0][0] <= self.now:
                _, _, sender, box, message = heappop(self._in_flight)
                self._receive(sender, box, message)
            for box, tracker in enumerate(self.trackers):
                if tracker.next_due_at() <= self.now:
                    self._run_due(box)
            if self.now >= self._rebroadcast_at:
                self._rebroadcast_at += REBROADCAST_INTERVAL_S
                for box in range(DOMAINS):
                    self._broadcast(box, self.trackers[box].held_requests(self.now))

    def held_count(self) -> int:
        """Return the number of boxes that hold the request."""
        permissions = [tracker.permission(CRASHING, self.now) for tracker in self.trackers]
        return permissions.count(SendPermission.SHUT)

    def _run_due(self, box: int) -> None:
        for command in self.trackers[box].tick(self.now):
            if isinstance(command, Broadcast):
                self._broadcast(box, command.message)

    def _near(self, box: int) -> list[int]:
        return [
            other for other in range(box % DOMAINS, len(self.trackers), DOMAINS) if other != box
        ]

    def _broadcast(self, box: int, message: Message) -> None:
        far = [other for other in range(DOMAINS) if other != box % DOMAINS]
        for other in self._near(box) + far:
            self._send(box, other, message)

    def _send(self, sender: int, box: int, message: Message) -> None:
        self.sent += 1
        if self._random.random() >= self._loss:
            at = self.now + MESSAGE_DELAY_S
            heappush(self._in_flight, (at, next(self._order), sender, box, message))

    def _receive(self, sender: int, box: int, message: Message) -> None:
        tracker = self.trackers[box]
        if isinstance(message, CrashReport):
            tracker.handle_crash_report(message, self.now)
        elif isinstance(message, RequestsAnswered):
            tracker.handle_requests_answered(message, self.now)
        else:
            tracker.handle_requests_held(message, self.now)
        if sender % DOMAINS != box % DOMAINS:
            for other in self._near(box):
                self._send(box, other, message)


SIZES = pytest.mark.parametrize("boxes", [6, 60, 195])


@SIZES
@pytest.mark.parametrize(("loss", "within_s"), [(0.0, 0.8), (0.1, 3.0)], ids=["no-loss", "loss"])
@pytest.mark.parametrize("crashes_each", [7, 1], ids=["all-shards", "one-target-each"])
def test_every_box_holds_the_request_in_time(
    boxes: int, loss: float, within_s: float, crashes_each: int
) -> None:
    for seed in range(5):
        fleet = Fleet(boxes, loss, seed)
        for box in range(DOMAINS):
            # Boxes that receive no message from another domain directly, if the fleet has any.
            sender = (box + DOMAINS) % boxes
            for number in range(crashes_each):
                fleet.trackers[sender].connection_closed(CRASHING, (f"t{box}-{number}", 0), 0.0)
        fleet.run(within_s)
        assert fleet.held_count() == boxes
        # The number of messages per box is bounded for any fleet size.
        assert fleet.sent <= 40 * boxes


@SIZES
@pytest.mark.parametrize("answered_at", [-0.1, 0.1, 0.3], ids=["before", "soon", "late"])
def test_answer_at_one_box_clears_the_request_at_all(boxes: int, answered_at: float) -> None:
    fleet = Fleet(boxes, 0.0, seed=1)
    fleet.now = answered_at
    if answered_at < 0.0:
        fleet.trackers[-1].request_answered(CRASHING, answered_at)
    for box in range(DOMAINS):
        for number in range(7):
            fleet.trackers[box].connection_closed(CRASHING, (f"t{box}-{number}", 0), 0.0)
    fleet.now = 0.0
    fleet.run(max(0.0, answered_at))
    if answered_at >= 0.0:
        fleet.trackers[-1].request_answered(CRASHING, answered_at)
    fleet.run(3.0)
    assert fleet.held_count() == 0


def test_restarted_box_receives_the_held_requests() -> None:
    fleet = Fleet(6, 0.0, seed=1)
    for number in range(3):
        fleet.trackers[0].connection_closed(CRASHING, (f"t{number}", 0), 0.0)
    fleet.run(0.8)
    fleet.trackers[4] = CrashTracker()
    fleet.run(0.8 + 1.1 * REBROADCAST_INTERVAL_S)
    assert fleet.held_count() == 6
