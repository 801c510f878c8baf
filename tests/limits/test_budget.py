"""The division of the margin above a limit."""

import pytest

from trackwheel.groups.models import GroupLimit
from trackwheel.limits.budget import LimitMargin, limit_bound, limit_budget


@pytest.mark.parametrize("window_s", [2.0, 5.0, 60.0])
@pytest.mark.parametrize(("overshoot", "slack"), [(0.1, 20.0), (0.5, 0.0), (0.0, 40.0)])
@pytest.mark.parametrize(("rate_per_s", "burst"), [(0.02, 0.0), (0.16, 1.0), (5.0, 5.0), (50, 9.0)])
def test_all_that_may_be_admitted_stays_within_the_bound(
    rate_per_s: float, burst: float, overshoot: float, slack: float, window_s: float
) -> None:
    """Load: full buckets, full stocks, all boxes settle twice, and all credit in one window."""
    limit = GroupLimit(rate_per_s, burst)
    margin = LimitMargin(window_s, overshoot, slack)
    budget = limit_budget(limit, margin)
    most = budget.capacity + rate_per_s * (window_s + 2.0 * budget.lease_s)
    most += 2.0 * budget.start + budget.credit
    assert most <= limit_bound(limit, margin) + 1e-9
