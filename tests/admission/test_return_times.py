"""When refused callers return, under named loads."""

from itertools import pairwise

import pytest

from trackwheel.admission.const import MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S, RETURN_JITTER
from trackwheel.admission.return_times import ReturnTimes, ShardOutlook, worst_needed
from trackwheel.groups.models import Precedence

URGENT, BULK = Precedence(0, 0), Precedence(0, 1)

BUSY = ShardOutlook(0.1, 0.02)


def test_callers_that_are_refused_at_once_return_one_after_the_other() -> None:
    """Twenty callers that return at once: a target that serves one each 20 ms gets no burst."""
    returns = ReturnTimes(seed=1)
    told = sorted(returns.retry_after_s(BULK, BUSY, 0.0) for _ in range(20))
    assert told[0] >= BUSY.ready_in_s
    assert told[-1] >= BUSY.ready_in_s + 19 * BUSY.pace_s
    assert max(later - earlier for earlier, later in pairwise(told)) < 10 * BUSY.pace_s


def test_urgent_callers_return_before_the_bulk_that_was_refused_earlier() -> None:
    """An urgent burst over bulk, all refused."""
    returns = ReturnTimes(seed=1)
    for _ in range(30):
        returns.retry_after_s(BULK, BUSY, 0.0)
    first_urgent = returns.retry_after_s(URGENT, BUSY, 0.0)
    assert first_urgent <= BUSY.ready_in_s * (1.0 + RETURN_JITTER)
    assert returns.retry_after_s(BULK, BUSY, 0.0) > 30 * BUSY.pace_s


def test_past_returns_delay_nobody() -> None:
    """A calm second after a burst of refusals."""
    returns = ReturnTimes(seed=1)
    for _ in range(100):
        returns.retry_after_s(BULK, BUSY, 0.0)
    later = MAX_RETRY_AFTER_S + 0.1
    assert returns.retry_after_s(BULK, BUSY, later) <= BUSY.ready_in_s * (1.0 + RETURN_JITTER)


@pytest.mark.parametrize(
    ("ready_in_s", "expected_s"), [(0.0, MIN_RETRY_AFTER_S), (0.4, 0.4), (60.0, MAX_RETRY_AFTER_S)]
)
def test_retry_after_follows_what_is_believed(ready_in_s: float, expected_s: float) -> None:
    """Sheds, a cold start and a dead shard: the caller is told when it can be served, bounded."""
    told = ReturnTimes(seed=1).retry_after_s(BULK, ShardOutlook(ready_in_s, 0.01), 0.0)
    assert expected_s <= told <= min(MAX_RETRY_AFTER_S, expected_s * (1.0 + RETURN_JITTER))


@pytest.mark.parametrize(("max_missing", "expected_s"), [(0, 0.9), (1, 0.3), (2, 0.1), (5, 0.1)])
def test_shards_that_may_be_left_out_delay_nobody(max_missing: int, expected_s: float) -> None:
    """One shard's targets are all down while the answer needs only some of the shards."""
    outlooks = [ShardOutlook(ready_in_s, 0.01) for ready_in_s in (0.1, 0.9, 0.3)]
    assert worst_needed(outlooks, max_missing).ready_in_s == expected_s
