"""Which boxes read the store."""

from typing import NamedTuple

import pytest

from trackwheel.directory.const import SILENT_STEP_S, START_SETTLE_S, START_WAIT_S, UNHEARD_S
from trackwheel.directory.watcher_election import WatcherElection

OWN = "own"


class Word(NamedTuple):
    """What a box that reads says: by whose reading it goes."""

    at: float
    address: str
    goes_by: str


def in_step(at: float, address: str = "w") -> Word:
    return Word(at, address, address)


def in_vain(at: float, address: str = "w") -> Word:
    return Word(at, address, "")


@pytest.mark.parametrize(
    ("first", "before", "words", "now", "watches"),
    [
        pytest.param(True, ["w"], [], 0.0, True, id="seed-reads-at-once"),
        pytest.param(False, ["w"], [], 0.0, False, id="others-wait-for-peers"),
        pytest.param(False, ["w"], [], START_WAIT_S, True, id="but-not-for-long"),
        pytest.param(True, ["w"], [in_step(0.1)], 0.2, False, id="trusts-a-watcher-in-step"),
        pytest.param(
            True, ["w"], [Word(0.1, "w", "far")], 0.2, False, id="trusts-one-that-goes-by-another"
        ),
        pytest.param(True, ["w"], [Word(0.1, "w", OWN)], 0.2, True, id="not-one-that-goes-by-it"),
        pytest.param(True, ["w"], [in_vain(0.1)], 0.2, True, id="not-one-out-of-step"),
        pytest.param(True, [], [in_step(0.1)], 0.2, True, id="watcher-reads-always"),
        pytest.param(False, [], [], START_SETTLE_S / 2, False, id="alone-at-first-like-all"),
        pytest.param(False, [], [], START_SETTLE_S, True, id="alone-in-truth"),
        pytest.param(
            True, ["w"], [in_step(0.1)], 0.1 + UNHEARD_S, True, id="reads-when-watchers-fall-silent"
        ),
        pytest.param(
            True,
            ["w"],
            [in_step(0.1), in_vain(1.0), in_vain(2.0)],
            0.1 + UNHEARD_S,
            True,
            id="reads-when-the-store-turned-the-watcher-away",
        ),
        pytest.param(
            True,
            ["w", "x"],
            [in_step(0.1)],
            0.1 + UNHEARD_S + SILENT_STEP_S / 2,
            False,
            id="a-silent-box-before-it-has-its-turn",
        ),
        pytest.param(
            True,
            ["w", "x"],
            [in_step(0.1)],
            0.1 + UNHEARD_S + SILENT_STEP_S,
            True,
            id="and-is-passed-over-after-a-step",
        ),
        pytest.param(
            True,
            ["w", "x"],
            [in_step(0.1), in_vain(1.6), in_vain(2.1, "x"), in_vain(2.6), in_vain(2.6, "x")],
            0.1 + 2 * UNHEARD_S - 0.1,
            False,
            id="waits-longer-while-two-read-in-vain",
        ),
        pytest.param(
            True,
            ["w", "x"],
            [in_step(0.0), in_vain(3.6), in_vain(3.6, "x")],
            2 * UNHEARD_S,
            True,
            id="then-reads-too",
        ),
        pytest.param(
            True,
            ["w"],
            [in_step(0.1), in_step(1.9, "after")],
            3.1,
            False,
            id="trusts-a-box-after-it-before-it-reads",
        ),
    ],
)
def test_few_boxes_read_the_store(
    first: bool, before: list[str], words: list[Word], now: float, watches: bool
) -> None:
    election = WatcherElection(0.0, OWN, first)
    election.set_boxes_before(before)
    for word in words:
        election.heard(word.address, word.goes_by, word.at)
    assert election.watches(now) is watches


def test_box_that_reads_leaves_that_only_to_one_before_it() -> None:
    """Two boxes that read and heard of each other both stopped, and nobody read for two seconds."""
    election = WatcherElection(0.0, OWN, True)
    election.set_boxes_before(["w"])
    assert election.watches(0.0)
    election.heard("after", "after", 0.1)
    assert election.watches(0.2)
    election.heard("w", "w", 0.3)
    assert not election.watches(0.4)
