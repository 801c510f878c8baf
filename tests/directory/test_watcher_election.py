"""Which boxes read the store."""

from typing import NamedTuple

import pytest

from trackwheel.directory.const import (
    START_PEER_WAIT_S,
    START_SETTLE_S,
    TAKEOVER_DELAY_S,
    TAKEOVER_STEP_S,
)
from trackwheel.directory.watcher_election import WatcherElection

OWN = "own"


class Beacon(NamedTuple):
    """A beacon of a box that reads, with the box through which it is in sync."""

    at: float
    address: str
    synced_via: str


def in_sync(at: float, address: str = "w") -> Beacon:
    return Beacon(at, address, address)


def failing(at: float, address: str = "w") -> Beacon:
    return Beacon(at, address, "")


@pytest.mark.parametrize(
    ("first", "before", "words", "now", "watches"),
    [
        pytest.param(True, ["w"], [], 0.0, True, id="seed-reads-at-once"),
        pytest.param(False, ["w"], [], 0.0, False, id="others-wait-for-peers"),
        pytest.param(False, ["w"], [], START_PEER_WAIT_S, True, id="but-not-for-long"),
        pytest.param(True, ["w"], [in_sync(0.1)], 0.2, False, id="trusts-a-watcher-in-step"),
        pytest.param(
            True, ["w"], [Beacon(0.1, "w", "far")], 0.2, False, id="trusts-one-that-goes-by-another"
        ),
        pytest.param(True, ["w"], [Beacon(0.1, "w", OWN)], 0.2, True, id="not-one-that-goes-by-it"),
        pytest.param(True, ["w"], [failing(0.1)], 0.2, True, id="not-one-out-of-step"),
        pytest.param(True, [], [in_sync(0.1)], 0.2, True, id="watcher-reads-always"),
        pytest.param(False, [], [], START_SETTLE_S / 2, False, id="alone-at-first-like-all"),
        pytest.param(False, [], [], START_SETTLE_S, True, id="alone-in-truth"),
        pytest.param(
            True,
            ["w"],
            [in_sync(0.1)],
            0.1 + TAKEOVER_DELAY_S,
            True,
            id="reads-when-watchers-fall-silent",
        ),
        pytest.param(
            True,
            ["w"],
            [in_sync(0.1), failing(1.0), failing(2.0)],
            0.1 + TAKEOVER_DELAY_S,
            True,
            id="reads-when-the-store-turned-the-watcher-away",
        ),
        pytest.param(
            True,
            ["w", "x"],
            [in_sync(0.1)],
            0.1 + TAKEOVER_DELAY_S + TAKEOVER_STEP_S / 2,
            False,
            id="a-silent-box-before-it-has-its-turn",
        ),
        pytest.param(
            True,
            ["w", "x"],
            [in_sync(0.1)],
            0.1 + TAKEOVER_DELAY_S + TAKEOVER_STEP_S,
            True,
            id="and-is-passed-over-after-a-step",
        ),
        pytest.param(
            True,
            ["w", "x"],
            [in_sync(0.1), failing(1.6), failing(2.1, "x"), failing(2.6), failing(2.6, "x")],
            0.1 + 2 * TAKEOVER_DELAY_S - 0.1,
            False,
            id="waits-longer-while-two-read-in-vain",
        ),
        pytest.param(
            True,
            ["w", "x"],
            [in_sync(0.0), failing(3.6), failing(3.6, "x")],
            2 * TAKEOVER_DELAY_S,
            True,
            id="then-reads-too",
        ),
        pytest.param(
            True,
            ["w"],
            [in_sync(0.1), in_sync(1.9, "after")],
            3.1,
            False,
            id="trusts-a-box-after-it-before-it-reads",
        ),
    ],
)
def test_few_boxes_read_the_store(
    first: bool, before: list[str], words: list[Beacon], now: float, watches: bool
) -> None:
    election = WatcherElection(0.0, OWN, first)
    election.set_predecessors(before)
    for beacon in words:
        election.receive_beacon(beacon.address, beacon.synced_via, beacon.at)
    assert election.should_watch(now) is watches


def test_box_that_reads_stops_only_for_a_predecessor() -> None:
    """Two boxes that read and heard of each other both stopped, and nobody read for two seconds."""
    election = WatcherElection(0.0, OWN, True)
    election.set_predecessors(["w"])
    assert election.should_watch(0.0)
    election.receive_beacon("after", "after", 0.1)
    assert election.should_watch(0.2)
    election.receive_beacon("w", "w", 0.3)
    assert not election.should_watch(0.4)
