"""Whether a box's own watches keep it in step."""

import pytest

from trackwheel.directory.const import BEACON_LIFETIME_S
from trackwheel.directory.in_step import HowFar, Lag, PeerFlow, StoreFlow


@pytest.mark.parametrize(
    ("answered_at", "failed", "now", "in_step"),
    [(10.0, False, 11.9, True), (10.0, False, 12.0, False), (10.0, True, 10.1, False)],
    ids=["answered-lately", "silent", "failed"],
)
def test_watch_is_in_step_while_the_store_answers_it(
    answered_at: float, failed: bool, now: float, in_step: bool
) -> None:
    flow = StoreFlow("targets", 2.0)
    flow.answered(answered_at)
    if failed:
        flow.failed()
    assert flow.in_step(now) is in_step


def test_loss_and_return_are_told_once() -> None:
    flow = StoreFlow("targets", 2.0)
    told = [flow.failed(), flow.failed(), flow.answered(1.0), flow.answered(2.0)]
    assert told == [True, False, True, False]


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
def test_box_that_stands_still_asks(steps: list[tuple[int, int, bool, float]], asks: bool) -> None:
    lag = Lag(1.0)
    answers = [lag.asks(*step) for step in steps]
    assert answers[-1] is asks


HERE = HowFar(3, 10)


@pytest.mark.parametrize(
    ("heard", "moved", "now", "synced_via"),
    [
        pytest.param([("a", 3, 10, 0.0)], [], 0.1, "a", id="level-with-a-peer"),
        pytest.param([("a", 3, 9, 0.0)], [], 0.1, "a", id="further-than-a-peer"),
        pytest.param([("a", 3, 10, 0.0)], [], BEACON_LIFETIME_S, "", id="long-ago"),
        pytest.param([("a", 3, 11, 0.0)], [], 0.1, "", id="behind"),
        pytest.param([("a", 4, 10, 0.0)], [], 0.1, "", id="behind-in-routes"),
        pytest.param([("a", 3, 11, 0.0)], [HowFar(3, 11)], 0.1, "a", id="caught-up"),
        pytest.param([("a", 3, 11, 0.0)], [HowFar(3, 10)], 0.1, "", id="not-far-enough"),
        pytest.param(
            [("a", 3, 11, 0.0), ("a", 3, 12, 0.5)],
            [HowFar(3, 11)],
            0.6,
            "a",
            id="always-a-little-behind-a-peer-that-moves-on",
        ),
        pytest.param(
            [("a", 3, 11, 0.0), ("b", 3, 12, BEACON_LIFETIME_S)],
            [HowFar(3, 11)],
            BEACON_LIFETIME_S,
            "",
            id="caught-up-with-old-news-only",
        ),
    ],
)
def test_box_is_in_step_with_a_peer_that_it_has_caught_up_with(
    heard: list[tuple[str, int, int, float]], moved: list[HowFar], now: float, synced_via: str
) -> None:
    flow = PeerFlow()
    for address, version, newest, at in heard:
        flow.heard(address, version, newest, at, HERE)
    for how_far in moved:
        flow.moved(how_far)
    assert flow.synced_via(now) == synced_via
