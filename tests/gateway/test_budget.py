"""The budget of extra load: a part of the first tries, with a debt that is soon paid."""

import pytest

from trackwheel.gateway.budget import Budget
from trackwheel.gateway.const import BUDGET_INITIAL, BUDGET_MAX, BUDGET_MAX_DEBT


def taken(budget: Budget, count: int) -> int:
    return sum(budget.take() for _ in range(count))


@pytest.mark.parametrize("part", [0.01, 0.05, 0.2], ids=str)
def test_extra_load_is_a_part_of_the_first_tries(part: float) -> None:
    budget = Budget(part)
    allowed = 0
    for _ in range(1000):
        budget.first(30)
        allowed += taken(budget, 30)
    assert allowed <= part * 30_000 + BUDGET_INITIAL
    assert allowed >= 0.99 * part * 30_000


def test_calm_time_saves_no_more_than_the_cap() -> None:
    budget = Budget(0.05)
    budget.first(1_000_000)
    assert taken(budget, 10_000) == BUDGET_MAX


def test_no_part_allows_nothing_but_what_is_owed() -> None:
    budget = Budget(0.0)
    budget.first(1000)
    assert not budget.take()
    assert budget.take(owed=True)


def test_hedges_return_soon_after_an_index_has_flipped() -> None:
    """Two thousand asks at the new version, then thirty queries of thirty shards."""
    budget = Budget(0.05)
    assert all(budget.take(owed=True) for _ in range(2000))
    assert not budget.take()
    for _ in range(30):
        budget.first(30)
    assert taken(budget, 100) >= 0.05 * 900 - BUDGET_MAX_DEBT - 1
