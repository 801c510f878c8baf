"""Whether a box is in sync by its own watches or through a peer, and when it asks a peer."""

import pytest

from trackwheel.directory.const import BEACON_LIFETIME_S
from trackwheel.directory.sync_status import LagDetector, PeerSync, SyncPosition, WatchStatus


@pytest.mark.parametrize(
    ("answered_at", "failed", "now", "in_sync"),
    [(10.0, False, 11.9, True), (10.0, False, 12.0, False), (10.0, True, 10.1, False)],
    ids=["answered-lately", "silent", "failed"],
)
def test_watch_is_in_sync_while_the_store_answers_it(
    answered_at: float, failed: bool, now: float, in_sync: bool
) -> None:
    status = WatchStatus("targets", 2.0)
    status.record_answer(answered_at)
    if failed:
        status.record_failure()
    assert status.in_sync(now) is in_sync


def test_loss_and_return_are_reported_once() -> None:
    status = WatchStatus("targets", 2.0)
    reported = [
        status.record_failure(),
        status.record_failure(),
        status.record_answer(1.0),
        status.record_answer(2.0),
    ]
    assert reported == [True, False, True, False]


@pytest.mark.parametrize(
    ("steps", "asks"),
    [
        ([(5, 5, True, 0.0)], False),
        ([(5, 9, False, 0.0)], True),
        ([(5, 9, True, 0.0), (5, 9, True, 0.5)], False),
        ([(5, 9, True, 0.0), (5, 12, True, 1.0)], True),
        ([(5, 9, True, 0.0), (8, 12, True, 1.0)], False),
        ([(5, 9, True, 0.0), (9, 9, True, 0.5), (9, 11, True, 1.0)], False),
        ([(5, 9, True, 0.0), (5, 5, True, 0.5), (5, 9, True, 1.0)], True),
    ],
    ids=[
        "level",
        "not-in-step",
        "behind-for-a-moment",
        "stands-still-though-in-step",
        "moves-on",
        "caught-up-between",
        "another-peer-is-behind-too",
    ],
)
def test_box_that_makes_no_progress_asks(
    steps: list[tuple[int, int, bool, float]], asks: bool
) -> None:
    lag = LagDetector(1.0)
    answers = [lag.should_ask(*step) for step in steps]
    assert answers[-1] is asks


HERE = SyncPosition(3, 10)


@pytest.mark.parametrize(
    ("heard", "moved", "now", "synced_via"),
    [
        pytest.param([("a", 3, 10, 0.0)], [], 0.1, "a", id="level-with-a-peer"),
        pytest.param([("a", 3, 9, 0.0)], [], 0.1, "a", id="further-than-a-peer"),
        pytest.param([("a", 3, 10, 0.0)], [], BEACON_LIFETIME_S, "", id="long-ago"),
        pytest.param([("a", 3, 11, 0.0)], [], 0.1, "", id="behind"),
        pytest.param([("a", 4, 10, 0.0)], [], 0.1, "", id="behind-in-routes"),
        pytest.param([("a", 3, 11, 0.0)], [SyncPosition(3, 11)], 0.1, "a", id="caught-up"),
        pytest.param([("a", 3, 11, 0.0)], [SyncPosition(3, 10)], 0.1, "", id="not-far-enough"),
        pytest.param(
            [("a", 3, 11, 0.0), ("a", 3, 12, 0.5)],
            [SyncPosition(3, 11)],
            0.6,
            "a",
            id="always-a-little-behind-a-peer-that-moves-on",
        ),
        pytest.param(
            [("a", 3, 11, 0.0), ("b", 3, 12, BEACON_LIFETIME_S)],
            [SyncPosition(3, 11)],
            BEACON_LIFETIME_S,
            "",
            id="caught-up-with-old-news-only",
        ),
    ],
)
def test_box_is_in_sync_through_a_peer_that_it_has_caught_up_with(
    heard: list[tuple[str, int, int, float]], moved: list[SyncPosition], now: float, synced_via: str
) -> None:
    status = PeerSync()
    for address, version, newest, at in heard:
        status.record_peer(address, version, newest, at, HERE)
    for position in moved:
        status.record_progress(position)
    assert status.synced_peer(now) == synced_via
