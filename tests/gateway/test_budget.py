"""The retry budget: a ratio of the first attempts, with a bounded debt."""

import pytest

from trackwheel.gateway.budget import RetryBudget
from trackwheel.gateway.const import BUDGET_INITIAL, BUDGET_MAX, BUDGET_MAX_DEBT


def count_spent(budget: RetryBudget, count: int) -> int:
    return sum(budget.try_spend() for _ in range(count))


@pytest.mark.parametrize("ratio", [0.01, 0.05, 0.2], ids=str)
def test_extra_load_is_limited_to_a_ratio_of_first_attempts(ratio: float) -> None:
    budget = RetryBudget(ratio)
    allowed = 0
    for _ in range(1000):
        budget.record_first_attempts(30)
        allowed += count_spent(budget, 30)
    assert allowed <= ratio * 30_000 + BUDGET_INITIAL
    assert allowed >= 0.99 * ratio * 30_000


def test_saved_tokens_are_capped() -> None:
    budget = RetryBudget(0.05)
    budget.record_first_attempts(1_000_000)
    assert count_spent(budget, 10_000) == BUDGET_MAX


def test_zero_ratio_allows_only_mandatory_sub_requests() -> None:
    budget = RetryBudget(0.0)
    budget.record_first_attempts(1000)
    assert not budget.try_spend()
    assert budget.try_spend(mandatory=True)


def test_hedges_resume_soon_after_a_version_switch() -> None:
    """Thirty queries of thirty shards pay off the debt of 2,000 mandatory sub-requests."""
    budget = RetryBudget(0.05)
    assert all(budget.try_spend(mandatory=True) for _ in range(2000))
    assert not budget.try_spend()
    for _ in range(30):
        budget.record_first_attempts(30)
    assert count_spent(budget, 100) >= 0.05 * 900 - BUDGET_MAX_DEBT - 1
