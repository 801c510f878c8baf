"""When a box that differs from another one asks for everything."""

from itertools import pairwise

import pytest

from trackwheel.directory.agreement import LONGEST_PATIENCE_S, Agreement

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
def test_box_that_goes_on_differing_asks(
    heard: list[tuple[float, str]], asks_at: list[float]
) -> None:
    agreement = Agreement(2.0)
    asked = []
    for at, what in heard:
        if what == SAME:
            agreement.agrees()
        elif what == ELSEWHERE:
            agreement.moved()
        elif agreement.differs(at):
            asked.append(at)
    assert asked == asks_at


def test_it_never_asks_more_seldom_than_the_longest_patience() -> None:
    agreement = Agreement(2.0)
    asked = [at for at in range(1000) if agreement.differs(float(at))]
    assert max(later - earlier for earlier, later in pairwise(asked)) == LONGEST_PATIENCE_S
