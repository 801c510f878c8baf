"""How old a box takes its targets to be, and when it asks watchers of other failure domains."""

import pytest

from trackwheel.directory.const import (
    POLL_PERIOD_S,
    REMOTE_ASK_PERIOD_FRACTION,
    REMOTE_ASKER_BATCHES,
    REMOTE_ASKERS,
    TARGETS_WATCH_PAUSE_FRACTION,
    TARGETS_WATCH_WAIT_FRACTION,
)
from trackwheel.directory.targets_age import RemoteWatcherRotation, TargetsAge

START = 100.0
DRAIN_S = 3.0
ANSWER_S = 0.2
"""Time to open a link to the most distant box and to get its answer."""
PERIOD_S = DRAIN_S * REMOTE_ASK_PERIOD_FRACTION
MAX_AGE_S = DRAIN_S * (TARGETS_WATCH_PAUSE_FRACTION + TARGETS_WATCH_WAIT_FRACTION)


def test_targets_of_a_peer_are_as_old_as_at_the_peer() -> None:
    age = TargetsAge(START)
    age.record_peer(revision=5, known_until=START + 1.0, own_revision=5, now=START + 2.0)
    assert age.age_s(START + 3.0) == pytest.approx(2.0)


def test_beacon_that_comes_late_makes_targets_no_older() -> None:
    age = TargetsAge(START)
    age.record_answer(START + 2.0)
    age.record_peer(revision=5, known_until=START + 1.0, own_revision=5, now=START + 2.0)
    assert age.age_s(START + 3.0) == pytest.approx(1.0)


def test_revision_of_a_peer_counts_once_it_is_reached() -> None:
    age = TargetsAge(START)
    age.record_peer(revision=9, known_until=START + 2.0, own_revision=5, now=START + 2.0)
    assert age.age_s(START + 3.0) == pytest.approx(3.0)
    age.record_progress(8)
    assert age.age_s(START + 3.0) == pytest.approx(3.0)
    age.record_progress(9)
    assert age.age_s(START + 3.0) == pytest.approx(1.0)


def test_revision_that_is_never_reached_keeps_out_no_newer_one() -> None:
    """A box that had caught up with all peers but one went on to take its targets for old."""
    age = TargetsAge(START)
    age.record_peer(revision=90, known_until=START, own_revision=5, now=START)
    age.record_peer(revision=6, known_until=START + 4.0, own_revision=5, now=START + 4.0)
    age.record_progress(6)
    assert age.age_s(START + 5.0) == pytest.approx(1.0)


def test_all_remote_watchers_are_asked_in_turn_while_the_targets_are_too_old() -> None:
    """Load: an outage of the store for all boxes; each of them asks one watcher at a time."""
    rotation = RemoteWatcherRotation("own", DRAIN_S)
    rotation.set_peers(1, ["b", "c", "d"])
    asked = [
        address for step in range(120) if (address := rotation.due(MAX_AGE_S, START + step * 0.05))
    ]
    period_s = DRAIN_S * REMOTE_ASK_PERIOD_FRACTION
    assert len(asked) <= 6.0 / period_s + 1
    assert {len({*asked[at : at + 3]}) for at in range(len(asked) - 2)} == {3}


@pytest.mark.parametrize(
    ("age_s", "predecessors", "watchers"),
    [
        pytest.param(MAX_AGE_S - 0.01, 1, ["b"], id="as-old-as-between-two-answers"),
        pytest.param(2 * MAX_AGE_S, 1, [], id="one-failure-domain"),
        pytest.param(2 * MAX_AGE_S, REMOTE_ASKER_BATCHES * REMOTE_ASKERS, ["b"], id="others-ask"),
        pytest.param(MAX_AGE_S + PERIOD_S - 0.01, REMOTE_ASKERS, ["b"], id="others-ask-first"),
    ],
)
def test_no_remote_watcher_is_asked(age_s: float, predecessors: int, watchers: list[str]) -> None:
    rotation = RemoteWatcherRotation("own", DRAIN_S)
    rotation.set_peers(predecessors, watchers)
    assert rotation.due(age_s, START) == ""


@pytest.mark.parametrize("drain_s", [3.0, 5.0])
def test_two_of_three_remote_watchers_may_be_silent(drain_s: float) -> None:
    """Targets got work after their drain time when the box that was asked first was cut off too."""
    rotation = RemoteWatcherRotation("own", drain_s)
    rotation.set_peers(1, ["b", "c", "d"])
    now = START
    asked: list[str] = []
    while len(asked) < 3:
        now += POLL_PERIOD_S
        address = rotation.due(now - START, now)
        if address:
            asked.append(address)
    assert now - START + POLL_PERIOD_S + ANSWER_S <= drain_s
