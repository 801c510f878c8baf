"""Membership: a few boxes in virtual time, with loss, kills, pauses and partitions by seed."""

import pytest

from bench.virtual_fleet import TIMING, VirtualFleet
from trackwheel.fleet.models import Ack, LeavingTarget, Probe, Send, Status


@pytest.mark.parametrize("count", [2, 3, 7, 40])
def test_boxes_find_each_other(count: int) -> None:
    fleet = VirtualFleet(count)
    assert fleet.agree()


@pytest.mark.parametrize("seed", range(3))
def test_killed_box_is_removed_everywhere_within_two_seconds(seed: int) -> None:
    fleet = VirtualFleet(7, seed=seed)
    fleet.stopped.add("10.0.0.3:82")
    fleet.run(fleet.now + 2.0)
    assert fleet.agree()


@pytest.mark.parametrize(("loss", "seed"), [(0.1, 0), (0.1, 1), (0.2, 2), (0.2, 3)])
def test_no_false_death_while_messages_are_lost(loss: float, seed: int) -> None:
    fleet = VirtualFleet(7, loss=loss, seed=seed)
    fleet.run(fleet.now + 300.0)
    assert fleet.deaths == []
    assert fleet.agree()


def test_paused_box_is_removed_then_rejoins_as_itself() -> None:
    fleet = VirtualFleet(7)
    paused = "10.0.0.2:82"
    fleet.stopped.add(paused)
    fleet.run(fleet.now + 5.0)
    assert fleet.agree()
    fleet.stopped.discard(paused)
    fleet.run(fleet.now + 4.0)
    assert fleet.rejoins == [paused]
    assert fleet.agree()


def test_replaced_box_at_the_same_address_is_known_by_its_new_boot() -> None:
    fleet = VirtualFleet(5)
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


def test_answer_to_a_probe_of_an_earlier_boot_does_not_hide_a_death() -> None:
    """A killed box was found dead late: another box's answers to an earlier boot counted for it."""
    fleet = VirtualFleet(3)
    address, peer, other = fleet.box_by_address
    commands = fleet.box_by_address[address].tick(fleet.now + 1.0)
    probes = [c.message for c in commands if isinstance(c, Send) and isinstance(c.message, Probe)]
    sender = fleet.box_by_address[other].own
    last = probes[-1].sequence
    late = [Ack(number, sender, 0, 0, [], []) for number in range(last - 100, last)]
    fleet.start(address, 0, (peer, other), boot="later")
    fleet.run(fleet.now + 3.0)
    fleet.stopped.add(peer)
    # What the other box finds out itself does not arrive.
    fleet.cut = lambda sender, receiver: sender == other
    killed_at = fleet.now
    while peer in {member.address for member in fleet.box_by_address[address].members}:
        assert fleet.now < killed_at + 2.0
        for ack in late:
            fleet.box_by_address[address].receive(other, ack, fleet.now)
        fleet.run(fleet.now + 0.1)


def test_leaving_box_is_known_everywhere_within_a_second() -> None:
    fleet = VirtualFleet(7)
    box = fleet.box_by_address["10.0.0.4:82"]
    fleet.perform("10.0.0.4:82", box.leave())
    fleet.run(fleet.now + 1.0)
    statuses = [
        member.status
        for other in fleet.box_by_address.values()
        for member in other.members
        if member.address == "10.0.0.4:82"
    ]
    assert statuses == [Status.LEAVING] * 7


@pytest.mark.parametrize("cut_for", [5.0, 100.0], ids=["short", "past-tombstones"])
def test_partitioned_fleet_heals(cut_for: float) -> None:
    fleet = VirtualFleet(8)
    left = {f"10.0.0.{number}:82" for number in range(4)}
    fleet.cut = lambda sender, receiver: (sender in left) != (receiver in left)
    fleet.run(fleet.now + cut_for)
    views = fleet.views()
    assert all(views[address] == left for address in left), "each side goes on with what it reaches"
    fleet.cut = lambda sender, receiver: False
    fleet.run(fleet.now + 12.0)
    assert fleet.agree()


def test_one_way_partition_does_not_spread_a_false_death() -> None:
    fleet = VirtualFleet(7)
    prober = "10.0.0.0:82"
    subject = fleet.box_by_address[prober].monitored[0]
    before = fleet.box_by_address[subject].own.incarnation
    fleet.cut = lambda sender, receiver: (sender, receiver) == (prober, subject)
    fleet.run(fleet.now + 30.0)
    assert fleet.deaths == []
    assert fleet.box_by_address[subject].own.incarnation == before, "nobody even doubted it"


@pytest.mark.parametrize("seed", range(1, 21))
def test_leaving_target_is_known_everywhere_within_one_probe_period(seed: int) -> None:
    """A target leaves while its health page is wrong, so that one box learns it from an answer."""
    fleet = VirtualFleet(6, seed=seed)
    leaving_target = LeavingTarget("127.0.0.1:9", "boot")
    address = f"10.0.0.{seed % 6}:82"
    began = 10.0 + 0.37 * seed
    fleet.run(began)
    fleet.perform(
        address, fleet.box_by_address[address].announce_leaving_target(leaving_target, fleet.now)
    )
    fleet.run(began + TIMING.probe_period_s)
    assert all(
        leaving_target in fleet.notes_by_box.get(other, set()) for other in fleet.box_by_address
    )


def test_leaving_targets_become_known_to_all_boxes_and_new_ones() -> None:
    fleet = VirtualFleet(7)
    leaving_target = LeavingTarget("127.0.0.1:9", "boot")
    box = fleet.box_by_address["10.0.0.0:82"]
    fleet.perform("10.0.0.0:82", box.announce_leaving_target(leaving_target, fleet.now))
    fleet.run(fleet.now + 1.5)
    assert all(
        leaving_target in fleet.notes_by_box.get(address, set()) for address in fleet.box_by_address
    )
    fleet.start("10.0.0.9:82", 9, tuple(fleet.box_by_address))
    fleet.run(fleet.now + 3.0)
    assert leaving_target in fleet.notes_by_box.get("10.0.0.9:82", set())


def test_listed_box_that_is_gone_and_unlisted_one_that_is_there() -> None:
    fleet = VirtualFleet(4)
    for box in fleet.box_by_address.values():
        box.set_seeds(("10.9.9.9:82", "10.0.0.0:82"))
    fleet.run(fleet.now + 10.0)
    assert fleet.agree(), "the list alone neither adds nor removes a box"
