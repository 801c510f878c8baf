"""How soon every box holds a request, in fleets of up to 195 boxes in virtual time.

The load: a request ends the targets of all shards of a service, which boxes of three failure
domains ask; or one target at a time, each asked by another box. Messages get lost, as while links
are opened anew. The strictest platform known leaves four seconds from the third end.
"""

from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest

from trackwheel.quarantine.const import TELL_AGAIN_S
from trackwheel.quarantine.models import CrashReport, Message, RequestsAnswered, TellAll
from trackwheel.quarantine.suspects import Suspects
from trackwheel.relay.models import SendPermission

ENDS = b"ends"
WAY_S = 0.02
"""How long a message takes; the longest way between regions known takes 0.012 s."""
DOMAINS = 3


class Fleet:
    """Boxes that tell each other; the first one of each failure domain passes news on to it."""

    def __init__(self, boxes: int, loss: float, seed: int) -> None:
        self.suspects = [Suspects() for _ in range(boxes)]
        self.now = 0.0
        self.sent = 0
        self._loss = loss
        self._random = Random(seed)
        self._order = count()
        self._mail: list[tuple[float, int, int, int, Message]] = []
        self._tell_again_at = TELL_AGAIN_S

    def run(self, until: float) -> None:
        """Let time pass."""
        while self.now < until:
            self.now += 0.005
            while self._mail and self._mail[0][0] <= self.now:
                _, _, sender, box, message = heappop(self._mail)
                self._receive(sender, box, message)
            for box, suspects in enumerate(self.suspects):
                if suspects.next_wake() <= self.now:
                    self._act(box)
            if self.now >= self._tell_again_at:
                self._tell_again_at += TELL_AGAIN_S
                for box in range(DOMAINS):
                    self._tell_all(box, self.suspects[box].held_requests(self.now))

    def held_at(self) -> int:
        """Return at how many boxes the request is held."""
        permissions = [suspects.permission(ENDS, self.now) for suspects in self.suspects]
        return permissions.count(SendPermission.SHUT)

    def _act(self, box: int) -> None:
        for command in self.suspects[box].tick(self.now):
            if isinstance(command, TellAll):
                self._tell_all(box, command.message)

    def _near(self, box: int) -> list[int]:
        return [
            other for other in range(box % DOMAINS, len(self.suspects), DOMAINS) if other != box
        ]

    def _tell_all(self, box: int, message: Message) -> None:
        far = [other for other in range(DOMAINS) if other != box % DOMAINS]
        for other in self._near(box) + far:
            self._send(box, other, message)

    def _send(self, sender: int, box: int, message: Message) -> None:
        self.sent += 1
        if self._random.random() >= self._loss:
            at = self.now + WAY_S
            heappush(self._mail, (at, next(self._order), sender, box, message))

    def _receive(self, sender: int, box: int, message: Message) -> None:
        suspects = self.suspects[box]
        if isinstance(message, CrashReport):
            suspects.take_report(message, self.now)
        elif isinstance(message, RequestsAnswered):
            suspects.take_answered(message, self.now)
        else:
            suspects.take_held(message, self.now)
        if sender % DOMAINS != box % DOMAINS:
            for other in self._near(box):
                self._send(box, other, message)


SIZES = pytest.mark.parametrize("boxes", [6, 60, 195])


@SIZES
@pytest.mark.parametrize(("loss", "within_s"), [(0.0, 0.8), (0.1, 3.0)], ids=["calm", "loss"])
@pytest.mark.parametrize("ends_each", [7, 1], ids=["all-shards", "one-target-each"])
def test_every_box_holds_it_in_time(
    boxes: int, loss: float, within_s: float, ends_each: int
) -> None:
    for seed in range(5):
        fleet = Fleet(boxes, loss, seed)
        for box in range(DOMAINS):
            # Boxes that pass nothing on, where there are such.
            asker = (box + DOMAINS) % boxes
            for number in range(ends_each):
                fleet.suspects[asker].closed(ENDS, (f"t{box}-{number}", 0), 0.0)
        fleet.run(within_s)
        assert fleet.held_at() == boxes
        # Some messages a box, however large the fleet.
        assert fleet.sent <= 40 * boxes


@SIZES
@pytest.mark.parametrize("answered_at", [-0.1, 0.1, 0.3], ids=["before", "soon", "late"])
def test_answer_at_one_box_clears_it_at_all(boxes: int, answered_at: float) -> None:
    fleet = Fleet(boxes, 0.0, seed=1)
    fleet.now = answered_at
    if answered_at < 0.0:
        fleet.suspects[-1].answered(ENDS, answered_at)
    for box in range(DOMAINS):
        for number in range(7):
            fleet.suspects[box].closed(ENDS, (f"t{box}-{number}", 0), 0.0)
    fleet.now = 0.0
    fleet.run(max(0.0, answered_at))
    if answered_at >= 0.0:
        fleet.suspects[-1].answered(ENDS, answered_at)
    fleet.run(3.0)
    assert fleet.held_at() == 0


def test_box_that_lost_all_news_is_told_again() -> None:
    fleet = Fleet(6, 0.0, seed=1)
    for number in range(3):
        fleet.suspects[0].closed(ENDS, (f"t{number}", 0), 0.0)
    fleet.run(0.8)
    fleet.suspects[4] = Suspects()
    fleet.run(0.8 + 1.1 * TELL_AGAIN_S)
    assert fleet.held_at() == 6
