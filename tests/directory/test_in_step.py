"""Whether a box's own watches keep it in step."""

import pytest

from trackwheel.directory.in_step import Lag, StoreFlow


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
