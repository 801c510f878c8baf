"""Division of the margin above a group's limit among what may be admitted beyond it."""

from typing import NamedTuple

from trackwheel.groups.models import GroupLimit
from trackwheel.limits.const import (
    CAPACITY_PART,
    CREDIT_PART,
    LEASE_PART,
    MAX_LEASE_S,
    MIN_LEASE_S,
    START_PART,
)


class LimitMargin(NamedTuple):
    """What may be admitted above a limit: within any window, over all boxes together.

    The bound is `(rate x window + burst) x (1 + overshoot) + slack`.
    """

    window_s: float
    overshoot: float
    slack: float


class LimitBudget(NamedTuple):
    """What the buckets of a group may hold and accrue, over all boxes together.

    `start` tokens are brought by boxes when they settle; granted tokens lapse after `lease_s`.
    `credit` is what counting boxes may grant in a window while no box delegates to them.
    """

    rate_per_s: float
    capacity: float
    lease_s: float
    start: float
    credit: float


def limit_bound(limit: GroupLimit, margin: LimitMargin) -> float:
    """Return the most requests of a group that may reach targets within a window."""
    usual = limit.rate_per_s * margin.window_s + limit.burst
    return usual * (1.0 + margin.overshoot) + margin.slack


def limit_budget(limit: GroupLimit, margin: LimitMargin) -> LimitBudget:
    """Return the budget by which buckets keep to the bound."""
    usual = limit.rate_per_s * margin.window_s + limit.burst
    spare = limit_bound(limit, margin) - usual
    return LimitBudget(
        limit.rate_per_s,
        limit.burst + spare * CAPACITY_PART,
        min(MAX_LEASE_S, max(MIN_LEASE_S, spare * LEASE_PART / limit.rate_per_s)),
        spare * START_PART,
        spare * CREDIT_PART,
    )
