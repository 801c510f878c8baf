"""Targets, boards and results shared by the relay tests."""

from collections.abc import Callable

import pytest

from trackwheel.http1.models import Response
from trackwheel.relay.models import Load, Outcome, Place, RouteKey, Target, TargetResult
from trackwheel.selection.budget import RetryBudget, RetryBudgetLimits
from trackwheel.selection.target_selector import TargetSelector

HERE = Place("here", "here-a")
THERE = Place("there", "there-a")
ROUTE = RouteKey("r", 0.2)
OLD = -100.0
"""Start time of a box that has been running for long (monotonic seconds)."""
SelectorMaker = Callable[..., TargetSelector]


def target(
    name: str,
    service: str,
    place: Place = HERE,
    leaving: bool = False,
    presumed_gone: bool = False,
) -> Target:
    return Target(name, service, "127.0.0.1:1", place, 2, leaving, presumed_gone, 0.0)


def target_result(outcome: Outcome, load: Load | None = None) -> TargetResult:
    answer = Response(500, (), b"") if outcome is Outcome.FAILED else None
    if outcome is Outcome.OK:
        answer = Response(200, (), b"body")
    return TargetResult(outcome, answer, b"sig", load, outcome.value)


@pytest.fixture
def selector() -> TargetSelector:
    """Return a selector with shards s0 to s9, each with one near and one far target."""
    selector = TargetSelector(HERE, seed=1)
    selector.set_targets(
        {
            f"s{number}": (target(f"s{number}-near", f"s{number}"),)
            + (target(f"s{number}-far", f"s{number}", THERE),)
            for number in range(10)
        },
        0.0,
    )
    return selector


@pytest.fixture
def budget() -> RetryBudget:
    """Return a budget that is never exhausted."""
    budget = RetryBudget(RetryBudgetLimits(10.0, 10.0, 1000.0), OLD)
    budget.set_members(1, 0.0)
    return budget


@pytest.fixture
def no_budget() -> RetryBudget:
    """Return a budget that allows no repeat."""
    return RetryBudget(RetryBudgetLimits(0.0, 10.0, 0.0), OLD)
