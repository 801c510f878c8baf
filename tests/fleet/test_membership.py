"""Membership: a few boxes in virtual time, with loss, kills, freezes and cuts by seed."""

import heapq
import itertools
import random
from collections.abc import Callable, Sequence

import pytest

from trackwheel.fleet.membership import Membership, Timing
from trackwheel.fleet.models import (
    Member,
    MembersChanged,
    NotesLearnt,
    Rejoined,
    Send,
    Status,
    TargetNote,
)

TIMING = Timing(probe_period_s=0.3, probe_timeout_s=0.25, suspicion_s=0.7)
Cut = Callable[[str, str], bool]


class Fleet:
    """Carry messages between memberships with a delay, a loss and cuts."""

    def __init__(self, count: int, loss: float = 0.0, seed: int = 1, meet: bool = True) -> None:
        self.random = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.cut: Cut = lambda sender, receiver: False
        self.stopped: set[str] = set()
        self.deaths: list[tuple[float, str, str]] = []
        self.notes_by_box: dict[str, set[TargetNote]] = {}
        self.rejoins: list[str] = []
        self.bytes_sent = 0
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
        incarnation = 1000 + int(self.now * 1000)
        own = Member(
            address, f"box-{number}", boot or f"boot{number}", "r", "d", incarnation, Status.ALIVE
        )
        box = Membership(own, TIMING, seed=number)
        box.set_seeds(seeds)
        self.box_by_address[address] = box
        self.stopped.discard(address)
        self._push(self.now + self.random.uniform(0, 0.3), "tick", address, None)

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, kind, address, payload = heapq.heappop(self._events)
            if address in self.stopped:
                if kind == "tick":
                    self._push(self.now + 0.1, "tick", address, None)
                continue
            box = self.box_by_address[address]
            if kind == "tick":
                self._perform(address, box.tick(self.now))
                self._push(max(self.now + 0.001, box.next_wake()), "tick", address, None)
            else:
                assert isinstance(payload, tuple)
                self._perform(address, box.receive(payload[0], payload[1], self.now))
        self.now = until

    def _push(self, at: float, kind: str, address: str, payload: object) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), kind, address, payload))

    def _perform(self, address: str, commands: Sequence[object]) -> None:
        for command in commands:
            match command:
                case Send(receiver, message):
                    lost = self.random.random() < self.loss or self.cut(address, receiver)
                    if not lost and receiver in self.box_by_address:
                        delay = self.random.uniform(0.0005, 0.012)
                        self._push(self.now + delay, "message", receiver, (address, message))
                case MembersChanged(members):
                    seen = {member.address for member in members}
                    for other in self.box_by_address:
                        if other not in seen and other not in self.stopped:
                            self.deaths.append((self.now, address, other))
                case NotesLearnt(notes):
                    self.notes_by_box.setdefault(address, set()).update(notes)
                case Rejoined():
                    self.rejoins.append(address)

    def views(self) -> dict[str, set[str]]:
        return {
            address: {member.address for member in box.members}
            for address, box in self.box_by_address.items()
            if address not in self.stopped
        }

    def agree(self, expected: set[str] | None = None) -> bool:
        alive = set(self.box_by_address) - self.stopped if expected is None else expected
        return all(view == alive for view in self.views().values())


@pytest.mark.parametrize("count", [2, 3, 7, 40])
def test_boxes_meet(count: int) -> None:
    fleet = Fleet(count)
    assert fleet.agree()


@pytest.mark.parametrize("seed", range(3))
def test_killed_box_is_gone_everywhere_within_two_seconds(seed: int) -> None:
    fleet = Fleet(7, seed=seed)
    fleet.stopped.add("10.0.0.3:82")
    fleet.run(fleet.now + 2.0)
    assert fleet.agree()


@pytest.mark.parametrize("seed", range(3))
def test_no_false_death_at_ten_per_cent_loss(seed: int) -> None:
    fleet = Fleet(7, loss=0.1, seed=seed)
    fleet.run(fleet.now + 300.0)
    assert fleet.deaths == []
    assert fleet.agree()


def test_frozen_box_is_gone_then_returns_as_itself() -> None:
    fleet = Fleet(7)
    frozen = "10.0.0.2:82"
    fleet.stopped.add(frozen)
    fleet.run(fleet.now + 5.0)
    assert fleet.agree()
    fleet.stopped.discard(frozen)
    fleet.run(fleet.now + 4.0)
    assert fleet.rejoins == [frozen]
    assert fleet.agree()


def test_replaced_box_at_the_same_address_is_known_by_its_new_boot() -> None:
    fleet = Fleet(5)
    address = "10.0.0.1:82"
    fleet.start(address, 1, tuple(fleet.box_by_address), boot="other")
    fleet.run(fleet.now + 3.0)
    boots = {
        member.boot
        for box in fleet.box_by_address.values()
        for member in box.members
        if member.address == address
    }
    assert boots == {"other"}


def test_leaving_box_is_known_everywhere_within_a_second() -> None:
    fleet = Fleet(7)
    box = fleet.box_by_address["10.0.0.4:82"]
    fleet._perform("10.0.0.4:82", box.leave())
    fleet.run(fleet.now + 1.0)
    statuses = [
        member.status
        for other in fleet.box_by_address.values()
        for member in other.members
        if member.address == "10.0.0.4:82"
    ]
    assert statuses == [Status.LEAVING] * 7


@pytest.mark.parametrize("cut_for", [5.0, 100.0], ids=["short", "past-tombstones"])
def test_split_fleet_heals(cut_for: float) -> None:
    fleet = Fleet(8)
    left = {f"10.0.0.{number}:82" for number in range(4)}
    fleet.cut = lambda sender, receiver: (sender in left) != (receiver in left)
    fleet.run(fleet.now + cut_for)
    views = fleet.views()
    assert all(views[address] == left for address in left), "each side goes on with what it reaches"
    fleet.cut = lambda sender, receiver: False
    fleet.run(fleet.now + 12.0)
    assert fleet.agree()


def test_one_way_cut_does_not_kill_by_hearsay() -> None:
    fleet = Fleet(7)
    fleet.cut = lambda sender, receiver: (sender, receiver) == ("10.0.0.0:82", "10.0.0.1:82")
    fleet.run(fleet.now + 30.0)
    assert fleet.deaths == []


def test_notes_of_leaving_targets_reach_everyone_and_newcomers() -> None:
    fleet = Fleet(7)
    note = TargetNote("127.0.0.1:9", "boot")
    box = fleet.box_by_address["10.0.0.0:82"]
    fleet._perform("10.0.0.0:82", box.note_leaving_target(note, fleet.now))
    fleet.run(fleet.now + 1.5)
    assert all(note in fleet.notes_by_box.get(address, set()) for address in fleet.box_by_address)
    fleet.start("10.0.0.9:82", 9, tuple(fleet.box_by_address))
    fleet.run(fleet.now + 3.0)
    assert note in fleet.notes_by_box.get("10.0.0.9:82", set())


def test_listed_box_that_is_gone_and_unlisted_one_that_is_there() -> None:
    fleet = Fleet(4)
    for box in fleet.box_by_address.values():
        box.set_seeds(("10.9.9.9:82", "10.0.0.0:82"))
    fleet.run(fleet.now + 10.0)
    assert fleet.agree(), "the list alone neither adds nor removes a box"
