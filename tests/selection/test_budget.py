"""The retry budget limits the retries of all boxes together in every window."""

from random import Random

import pytest

from tests.relay.conftest import OLD
from trackwheel.selection.budget import RetryBudget, RetryBudgetLimits

LIMITS = RetryBudgetLimits(0.2, 10.0, 54.0)
LARGE_LIMITS = RetryBudgetLimits(0.2, 10.0, 160.0)
"""Limits of a fleet of 60 boxes."""


def largest_excess(
    limits: RetryBudgetLimits, first_requests: list[float], retries: list[float]
) -> float:
    """Return the largest excess of retries over the limit in windows that begin at a retry."""
    worst = float("-inf")
    for start in retries:
        end = start + limits.window_s
        asked = sum(start <= at < end for at in first_requests)
        extra = sum(start <= at < end for at in retries)
        worst = max(worst, extra - limits.ratio * asked - limits.extra)
    return worst


@pytest.mark.parametrize("boxes", [1, 3, 7, 10, 60], ids=lambda boxes: f"{boxes}-boxes")
@pytest.mark.parametrize("rate", [0.0, 2.0, 20.0], ids=lambda rate: f"{rate:.0f}-a-second")
def test_all_boxes_together_stay_within_the_limit(boxes: int, rate: float) -> None:
    random = Random(boxes)
    limits = LARGE_LIMITS if boxes == 60 else LIMITS
    budgets = [RetryBudget(limits, OLD) for _ in range(boxes)]
    for budget in budgets:
        budget.set_members(boxes, 0.0)
    first_requests: list[float] = []
    retries: list[float] = []
    for step in range(800):
        now = step * 0.05
        for budget in budgets:
            if random.random() < rate * 0.05:
                budget.count_first("s", now)
                first_requests.append(now)
            if budget.try_spend("s", now):
                retries.append(now)
    assert retries
    assert largest_excess(limits, first_requests, retries) <= 0


@pytest.mark.parametrize("killed", [1, 4, 7], ids=lambda killed: f"{killed}-killed")
def test_restarted_boxes_stay_within_the_limit(killed: int) -> None:
    """Some boxes are killed and restart with empty counters, each seeing no other box."""
    retries = 0
    for _ in range(7):
        budget = RetryBudget(LIMITS, OLD)
        budget.set_members(7, 0.0)
        retries += sum(budget.try_spend("s", 1.0) for _ in range(100))
    for _ in range(killed):
        budget = RetryBudget(LIMITS, 2.0)
        budget.set_members(1, 2.0)
        retries += sum(budget.try_spend("s", 3.0) for _ in range(100))
    assert 0 < retries <= LIMITS.extra


def test_isolated_box_keeps_the_earlier_member_count() -> None:
    budget = RetryBudget(LIMITS, OLD)
    budget.set_members(7, 0.0)
    budget.set_members(1, 5.0)
    assert sum(budget.try_spend("s", 6.0) for _ in range(100)) <= LIMITS.extra / 7
    budget.set_members(1, 100.0)
    assert sum(budget.try_spend("s", 101.0) for _ in range(100)) > LIMITS.extra / 7


def test_services_have_separate_budgets() -> None:
    budget = RetryBudget(LIMITS, OLD)
    budget.set_members(1, 0.0)
    while budget.try_spend("a", 0.0):
        pass
    assert budget.try_spend("b", 0.0)


def test_window_slides() -> None:
    budget = RetryBudget(LIMITS, OLD)
    budget.set_members(1, 0.0)
    while budget.try_spend("a", 0.0):
        pass
    assert not budget.try_spend("a", LIMITS.window_s - 0.1)
    assert budget.try_spend("a", LIMITS.window_s + 1.1)


SHARD = {"s": frozenset(("a", "b"))}
"""A shard with targets in two failure domains."""


@pytest.mark.parametrize("gatherers", [1, 3, 14], ids=str)
def test_gatherers_near_the_targets_share_most_of_the_allowance(gatherers: int) -> None:
    """For any number of gatherers, all boxes stay within the allowance and can use most of it."""
    taken_by_domain = dict.fromkeys("abcdef", 0)
    for domain in taken_by_domain:
        for box in range(14):
            budget = RetryBudget(LARGE_LIMITS, OLD)
            budget.set_members(84, OLD)
            budget.set_gatherers(dict.fromkeys("abcdef", gatherers), domain, box < gatherers, OLD)
            budget.set_shards(SHARD)
            taken_by_domain[domain] += sum(budget.try_spend("s", 0.0) for _ in range(200))
    assert LARGE_LIMITS.extra * 0.5 < sum(taken_by_domain.values()) <= LARGE_LIMITS.extra
    assert taken_by_domain["a"] > 5 * taken_by_domain["c"]


def test_allowance_of_an_unsharded_service_is_shared_evenly() -> None:
    budget = RetryBudget(LARGE_LIMITS, OLD)
    budget.set_members(10, OLD)
    budget.set_gatherers({"a": 1}, "a", False, OLD)
    budget.set_shards(SHARD)
    assert (
        sum(budget.try_spend("single", 0.0) for _ in range(100)) >= LARGE_LIMITS.extra * 0.7 // 10
    )


def test_new_gatherer_has_no_share_for_a_window() -> None:
    """The previous gatherer may have used up its share within the window."""
    budget = RetryBudget(LIMITS, OLD)
    budget.set_members(20, OLD)
    budget.set_shards({"s": frozenset("a"), "t": frozenset("a")})
    budget.set_gatherers({"a": 2}, "a", False, OLD)
    before = sum(budget.try_spend("s", 0.0) for _ in range(100))
    budget.set_gatherers({"a": 2}, "a", True, 0.1)
    assert sum(budget.try_spend("s", 9.9) for _ in range(100)) == 0
    assert sum(budget.try_spend("s", 11.2) for _ in range(100)) > before
    budget.set_gatherers({"a": 2}, "a", False, 12.0)
    assert not budget.try_spend("t", 12.0)


@pytest.mark.parametrize("needed", [True, False])
def test_reserve_is_kept_for_needed_retries(needed: bool) -> None:
    budget = RetryBudget(LIMITS, OLD)
    budget.set_members(1, 0.0)
    taken = 0
    while budget.try_spend("s", 1.0, needed):
        taken += 1
    rest = 0
    while budget.try_spend("s", 1.0):
        rest += 1
    assert (rest == 0) is needed
    assert needed or taken == pytest.approx(3 * rest, abs=2)


@pytest.mark.parametrize(
    ("limits", "possible"),
    [
        (RetryBudgetLimits(0.0, 10.0, 0.0), False),
        (RetryBudgetLimits(0.2, 10.0, 0.0), True),
        (LIMITS, True),
    ],
)
def test_budget_tells_whether_a_retry_is_ever_possible(
    limits: RetryBudgetLimits, possible: bool
) -> None:
    assert RetryBudget(limits, OLD).allows_any is possible
