"""The budget of repeats holds for all boxes together in every window."""

from random import Random

import pytest

from tests.relay.conftest import OLD
from trackwheel.relay.budget import RetryBudget, RetryBudgetLimits

RULE = RetryBudgetLimits(0.2, 10.0, 54.0)
LARGE_RULE = RetryBudgetLimits(0.2, 10.0, 160.0)
"""The rule of a fleet of 60."""


def worst_excess(rule: RetryBudgetLimits, firsts: list[float], repeats: list[float]) -> float:
    """Return the largest excess of repeats over the rule in windows that begin at a repeat."""
    worst = float("-inf")
    for start in repeats:
        end = start + rule.window_s
        asked = sum(start <= at < end for at in firsts)
        extra = sum(start <= at < end for at in repeats)
        worst = max(worst, extra - rule.ratio * asked - rule.extra)
    return worst


@pytest.mark.parametrize("boxes", [1, 3, 7, 10, 60], ids=lambda boxes: f"{boxes}-boxes")
@pytest.mark.parametrize("rate", [0.0, 2.0, 20.0], ids=lambda rate: f"{rate:.0f}-a-second")
def test_all_boxes_together_stay_within_the_rule(boxes: int, rate: float) -> None:
    random = Random(boxes)
    rule = LARGE_RULE if boxes == 60 else RULE
    budgets = [RetryBudget(rule, OLD) for _ in range(boxes)]
    for budget in budgets:
        budget.set_members(boxes, 0.0)
    firsts: list[float] = []
    repeats: list[float] = []
    for step in range(800):
        now = step * 0.05
        for budget in budgets:
            if random.random() < rate * 0.05:
                budget.count_first("s", now)
                firsts.append(now)
            if budget.try_spend("s", now):
                repeats.append(now)
    assert repeats
    assert worst_excess(rule, firsts, repeats) <= 0


@pytest.mark.parametrize("killed", [1, 4, 7], ids=lambda killed: f"{killed}-killed")
def test_members_that_come_anew_fit_under_the_rule(killed: int) -> None:
    """Some boxes are killed and come back with empty books, each thinking that it is alone."""
    repeats = 0
    for _ in range(7):
        budget = RetryBudget(RULE, OLD)
        budget.set_members(7, 0.0)
        repeats += sum(budget.try_spend("s", 1.0) for _ in range(100))
    for _ in range(killed):
        budget = RetryBudget(RULE, 2.0)
        budget.set_members(1, 2.0)
        repeats += sum(budget.try_spend("s", 3.0) for _ in range(100))
    assert 0 < repeats <= RULE.extra


def test_box_that_is_cut_off_remembers_how_many_there_were() -> None:
    budget = RetryBudget(RULE, OLD)
    budget.set_members(7, 0.0)
    budget.set_members(1, 5.0)
    assert sum(budget.try_spend("s", 6.0) for _ in range(100)) <= RULE.extra / 7
    budget.set_members(1, 100.0)
    assert sum(budget.try_spend("s", 101.0) for _ in range(100)) > RULE.extra / 7


def test_services_have_books_of_their_own() -> None:
    budget = RetryBudget(RULE, OLD)
    budget.set_members(1, 0.0)
    while budget.try_spend("a", 0.0):
        pass
    assert budget.try_spend("b", 0.0)


def test_window_slides() -> None:
    budget = RetryBudget(RULE, OLD)
    budget.set_members(1, 0.0)
    while budget.try_spend("a", 0.0):
        pass
    assert not budget.try_spend("a", RULE.window_s - 0.1)
    assert budget.try_spend("a", RULE.window_s + 1.1)


SHARD = {"s": frozenset(("a", "b"))}
"""A shard with targets in two failure domains."""


@pytest.mark.parametrize("gatherers", [1, 3, 14], ids=str)
def test_boxes_beside_the_targets_share_most_of_the_allowance(gatherers: int) -> None:
    """Whatever the division, all boxes together stay within it, and most of it can be used."""
    taken_by_domain = dict.fromkeys("abcdef", 0)
    for domain in taken_by_domain:
        for box in range(14):
            budget = RetryBudget(LARGE_RULE, OLD)
            budget.set_members(84, OLD)
            budget.set_gatherers(dict.fromkeys("abcdef", gatherers), domain, box < gatherers, OLD)
            budget.set_shards(SHARD)
            taken_by_domain[domain] += sum(budget.try_spend("s", 0.0) for _ in range(200))
    assert LARGE_RULE.extra * 0.5 < sum(taken_by_domain.values()) <= LARGE_RULE.extra
    assert taken_by_domain["a"] > 5 * taken_by_domain["c"]


def test_service_that_every_box_asks_is_shared_evenly() -> None:
    budget = RetryBudget(LARGE_RULE, OLD)
    budget.set_members(10, OLD)
    budget.set_gatherers({"a": 1}, "a", False, OLD)
    budget.set_shards(SHARD)
    assert sum(budget.try_spend("single", 0.0) for _ in range(100)) >= LARGE_RULE.extra * 0.7 // 10


def test_box_that_takes_the_place_of_another_waits_for_a_window() -> None:
    """The box that asked before it may have used its part up."""
    budget = RetryBudget(RULE, OLD)
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
def test_part_of_the_allowance_is_kept_for_what_is_needed(needed: bool) -> None:
    budget = RetryBudget(RULE, OLD)
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
    ("rule", "ever"),
    [
        (RetryBudgetLimits(0.0, 10.0, 0.0), False),
        (RetryBudgetLimits(0.2, 10.0, 0.0), True),
        (RULE, True),
    ],
)
def test_budget_says_whether_waiting_can_help(rule: RetryBudgetLimits, ever: bool) -> None:
    assert RetryBudget(rule, OLD).allows_any is ever
