"""What one counting box counts of the parts that boxes delegate."""

import pytest

from trackwheel.limits.models import Delegation, Stamp
from trackwheel.limits.shares import DelegatedParts

LIFE = 9


def delegation(at: float | None, members: int = 4, settled: bool = True) -> Delegation:
    return Delegation(members, None if at is None else Stamp(LIFE, at), False, settled)


@pytest.mark.parametrize(
    ("message", "received_at", "until"),
    [
        pytest.param(delegation(10.0), 10.0, 12.0, id="at-once"),
        pytest.param(delegation(10.0), 11.5, 12.0, id="late"),
        pytest.param(delegation(10.0), 12.5, 0.0, id="too-late"),
        pytest.param(delegation(None), 10.0, 0.0, id="without-a-stamp"),
        pytest.param(delegation(20.0), 10.0, 0.0, id="from-a-clock-ahead"),
        pytest.param(
            Delegation(4, Stamp(LIFE + 1, 10.0), False, True), 10.0, 0.0, id="of-another-life"
        ),
    ],
)
def test_a_delegation_counts_from_its_stamp(
    message: Delegation, received_at: float, until: float
) -> None:
    """Load: a message that waited in a queue while its sender went to another counting box."""
    parts = DelegatedParts(LIFE, 0.0)
    parts.delegate("box", message, received_at)
    parts.advance(100.0)
    assert parts.accrued == pytest.approx(max(0.0, until - received_at) / 4.0)
    assert parts.sum == 0.0


def test_the_largest_number_of_members_divides() -> None:
    """Load: a box that knows few members delegates beside one that knows all."""
    parts = DelegatedParts(LIFE, 0.0)
    parts.delegate("old", delegation(10.0, members=10), 10.0)
    parts.delegate("young", delegation(10.0, members=1, settled=False), 10.0)
    assert parts.sum == pytest.approx(0.2)


def test_a_young_box_counts_once_the_fleet_is_known() -> None:
    """Load: all boxes of a failure domain restart."""
    parts = DelegatedParts(LIFE, 0.0)
    parts.delegate("young", delegation(10.0, members=2, settled=False), 10.0)
    assert parts.sum == 0.0
    parts.confirm(10)
    parts.delegate("young", delegation(10.5, members=2, settled=False), 10.5)
    assert parts.sum == pytest.approx(0.1)
