"""A few memberships in virtual time, with delay, loss, cuts, freezes and kills by seed."""

import heapq
import itertools
import random
from collections.abc import Callable, Sequence

from trackwheel.fleet.membership import Membership, Timing
from trackwheel.fleet.models import (
    FLEET_MESSAGES,
    LeavingTarget,
    LeavingTargetsLearned,
    Member,
    MembersChanged,
    Rejoined,
    Send,
    Status,
)
from trackwheel.peers.codec import Codec

TIMING = Timing(probe_period_s=0.5, probe_timeout_s=0.25, suspicion_s=0.6)
Cut = Callable[[str, str], bool]


class VirtualFleet:
    """Carry messages between memberships with a delay, a loss and cuts."""

    def __init__(
        self,
        count: int,
        loss: float = 0.0,
        seed: int = 1,
        meet: bool = True,
        timing: Timing = TIMING,
    ) -> None:
        self.timing = timing
        self.random = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.cut: Cut = lambda sender, receiver: False
        self.stopped: set[str] = set()
        self.deaths: list[tuple[float, str, str]] = []
        self.notes_by_box: dict[str, set[LeavingTarget]] = {}
        self.rejoins: list[str] = []
        self.bytes_sent = 0
        self.count_bytes = False
        self._codec = Codec(FLEET_MESSAGES)
        self._events: list[tuple[float, int, str, str, object]] = []
        self._numbers = itertools.count()
        self.box_by_address: dict[str, Membership] = {}
        addresses = tuple(f"10.0.0.{number}:82" for number in range(count))
        for number, address in enumerate(addresses):
            self.start(address, number, addresses)
        if meet:
            self.run(10.0)
            self.deaths.clear()

    def start(self, address: str, number: int, seeds: tuple[str, ...], boot: str = "") -> None:
        """Start a box, or a new boot of it."""
        incarnation = 1000 + int(self.now * 1000)
        own = Member(
            address, f"box-{number}", boot or f"boot{number}", "r", "d", incarnation, Status.ALIVE
        )
        box = Membership(own, self.timing, seed=number)
        box.set_seeds(seeds)
        self.box_by_address[address] = box
        self.stopped.discard(address)
        self._push(self.now + self.random.uniform(0, 0.3), "tick", address, None)

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= until:
            self.now, _, kind, address, payload = heapq.heappop(self._events)
            if address in self.stopped:
                if kind == "tick":
                    self._push(self.now + 0.1, "tick", address, None)
                continue
            box = self.box_by_address[address]
            if kind == "tick":
                self.perform(address, box.tick(self.now))
                self._push(max(self.now + 0.001, box.next_wake()), "tick", address, None)
            else:
                assert isinstance(payload, tuple)
                self.perform(address, box.receive(payload[0], payload[1], self.now))
        self.now = until

    def _push(self, at: float, kind: str, address: str, payload: object) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), kind, address, payload))

    def perform(self, address: str, commands: Sequence[object]) -> None:
        """Act on a membership's commands."""
        for command in commands:
            match command:
                case Send(receiver, message):
                    if self.count_bytes:
                        self.bytes_sent += len(self._codec.encode([message]))
                    lost = self.random.random() < self.loss or self.cut(address, receiver)
                    if not lost and receiver in self.box_by_address:
                        delay = self.random.uniform(0.0005, 0.012)
                        self._push(self.now + delay, "message", receiver, (address, message))
                case MembersChanged(members):
                    seen = {member.address for member in members}
                    for other in self.box_by_address:
                        if other not in seen and other not in self.stopped:
                            self.deaths.append((self.now, address, other))
                case LeavingTargetsLearned(notes):
                    self.notes_by_box.setdefault(address, set()).update(notes)
                case Rejoined():
                    self.rejoins.append(address)

    def views(self) -> dict[str, set[str]]:
        """Return whom each box believes to be present."""
        return {
            address: {member.address for member in box.members}
            for address, box in self.box_by_address.items()
            if address not in self.stopped
        }

    def agree(self, expected: set[str] | None = None) -> bool:
        """Return whether all boxes believe in the same fleet."""
        alive = set(self.box_by_address) - self.stopped if expected is None else expected
        return all(view == alive for view in self.views().values())
