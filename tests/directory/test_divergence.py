"""When a box that keeps differing from another one requests a full resync."""

from itertools import pairwise

import pytest

from trackwheel.directory.divergence import MAX_RESYNC_INTERVAL_S, DivergenceDetector

SAME, OTHER, ELSEWHERE = "same", "other", "elsewhere"


@pytest.mark.parametrize(
    ("heard", "asks_at"),
    [
        pytest.param([(0.0, OTHER), (1.9, OTHER)], [], id="not-yet"),
        pytest.param([(0.0, OTHER), (2.0, OTHER)], [2.0], id="long-enough"),
        pytest.param([(0.0, OTHER), (1.0, SAME), (2.5, OTHER)], [], id="the-same-between"),
        pytest.param([(0.0, OTHER), (1.0, ELSEWHERE), (2.5, OTHER)], [], id="moved-between"),
        pytest.param(
            [(float(at), OTHER) for at in range(20)], [2.0, 6.0, 14.0], id="more-and-more-seldom"
        ),
    ],
)
def test_box_that_keeps_differing_asks(
    heard: list[tuple[float, str]], asks_at: list[float]
) -> None:
    detector = DivergenceDetector(2.0)
    asked = []
    for at, what in heard:
        if what == SAME:
            detector.record_match()
        elif what == ELSEWHERE:
            detector.record_other_revision()
        elif detector.record_mismatch(at):
            asked.append(at)
    assert asked == asks_at


def test_it_asks_at_least_once_per_longest_interval() -> None:
    detector = DivergenceDetector(2.0)
    asked = [at for at in range(1000) if detector.record_mismatch(float(at))]
    assert max(later - earlier for earlier, later in pairwise(asked)) == MAX_RESYNC_INTERVAL_S
