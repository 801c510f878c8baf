"""Rate limit of requests to cold targets, over all boxes together.

A failure domain's targets return cold while queries of 60 boxes wait for them, the fleet is split
by a partition, boxes restart, and the gatherers event. The limit in each second is that of the
users' specification: `per_s` times an overshoot of 1.5, plus a slack of 5.
"""

import itertools

import pytest

from tests.relay.conftest import HERE, OLD, ROUTE, THERE, target
from trackwheel.gathering.gather import Gather
from trackwheel.gathering.gather_models import GatherPlan, SendPart
from trackwheel.relay.causes import Cause
from trackwheel.relay.models import Outcome, Target
from trackwheel.relay.single import SendSingle, Single, SingleFailed, SinglePlan
from trackwheel.selection.allowance_sharers import AllowanceSharers
from trackwheel.selection.budget import RetryBudget, RetryBudgetLimits
from trackwheel.selection.cold import MAX_FLEET_VIEWS, ColdLimit, ColdLimitMargin, ColdTargetLimiter
from trackwheel.selection.target_selector import NoTargetReason, TargetSelector

MARGIN = ColdLimitMargin(1.5, 5.0)
SERVICE = "s"
COLD_S = 3.0
ALWAYS = 1e9


def limit(per_s: float) -> float:
    return per_s * MARGIN.overshoot + MARGIN.slack


def make_limiter(
    per_s: float, boxes: int = 1, shard: bool = True, started_at: float = OLD, gathers: bool = True
) -> ColdTargetLimiter:
    counts = AllowanceSharers(started_at, 10.0)
    counts.set_members(boxes, OLD)
    counts.set_gatherers({"here-a": boxes}, "here-a", gathers, OLD)
    limiter = ColdTargetLimiter(MARGIN, counts)
    limiter.set_limits({SERVICE: ColdLimit(per_s, COLD_S)}, frozenset({SERVICE} if shard else ()))
    return limiter


def cold_target(name: str = "t", until: float = ALWAYS) -> Target:
    return target(name, SERVICE)._replace(cold_until=until)


def max_in_a_second(times: list[float]) -> int:
    return max((sum(start <= at < start + 1.0 for at in times) for start in times), default=0)


@pytest.mark.parametrize("per_s", [0.5, 2.0, 10.0, 40.0])
@pytest.mark.parametrize("boxes", [1, 2, 3, 7])
def test_all_boxes_together_keep_the_limit_in_every_second(per_s: float, boxes: int) -> None:
    """Each box tries to send two hundred requests a second."""
    limiters = [make_limiter(per_s, boxes) for _ in range(boxes)]
    sent: list[float] = []
    for step in range(600):
        now = step * 0.005
        for limiter in limiters:
            if limiter.allows(cold_target(), now):
                limiter.sent(cold_target(), now)
                sent.append(now)
    assert max_in_a_second(sent) <= limit(per_s)
    assert sent or boxes * MAX_FLEET_VIEWS > limit(per_s)


@pytest.mark.parametrize("per_s", [0.5, 1.0, 2.0, 4.0, 10.0, 25.0])
@pytest.mark.parametrize("boxes", range(1, 9))
def test_partitioned_fleet_keeps_the_limit(per_s: float, boxes: int) -> None:
    """Try all splits of up to eight boxes in two halves, with all member counts each may have.

    A half counts at least its own boxes and at most the whole fleet, since boxes seen within the
    last minute count whether they are reachable or not.
    """
    for half in range(boxes + 1):
        halves = [size for size in (half, boxes - half) if size]
        for member_counts in itertools.product(*(range(size, boxes + 1) for size in halves)):
            shares = [
                size * make_limiter(per_s, member_count).share(cold_target(), 0.0)
                for size, member_count in zip(halves, member_counts, strict=True)
            ]
            assert sum(shares) <= limit(per_s)


def make_limiter_since(since: float, event: str) -> ColdTargetLimiter:
    """Return the limiter of a box that restarted or became a gatherer at a time."""
    counts = AllowanceSharers(since if event == "restarts" else OLD, 10.0)
    counts.set_members(1, since)
    counts.set_gatherers({"here-a": 1}, "here-a", True, since)
    limiter = ColdTargetLimiter(MARGIN, counts)
    limiter.set_limits({SERVICE: ColdLimit(4.0, COLD_S)}, frozenset({SERVICE}))
    return limiter


@pytest.mark.parametrize("event", ["restarts", "becomes-gatherer"])
@pytest.mark.parametrize("period_s", [0.1, 0.3, 0.7])
@pytest.mark.parametrize("first_at", [0.0, 0.45, 1.3, 9.95])
def test_new_gatherers_have_no_share_while_earlier_ones_may_have_used_it(
    event: str, period_s: float, first_at: float
) -> None:
    """Four times in a row another box takes over, or the same one restarts."""
    holders = [(OLD, make_limiter(4.0))]
    for number in range(4):
        since = first_at + number * period_s
        holders.append((since, make_limiter_since(since, event)))
    sent: list[float] = []
    for step in range(2500):
        now = step / 100
        holder = [limiter for since, limiter in holders if since <= now][-1]
        if holder.allows(cold_target(), now):
            holder.sent(cold_target(), now)
            sent.append(now)
    assert max_in_a_second(sent) <= limit(4.0)
    assert any(at > holders[-1][0] + 10.0 for at in sent)


@pytest.mark.parametrize(
    ("shard", "gathers", "place", "share"),
    [
        pytest.param(True, True, HERE, 5, id="gatherer-in-the-domain"),
        pytest.param(True, False, HERE, 0, id="not-a-gatherer"),
        pytest.param(True, True, THERE, 0, id="in-another-domain"),
        pytest.param(False, False, THERE, 5, id="not-a-shard"),
    ],
)
def test_which_boxes_have_a_share(
    shard: bool, gathers: bool, place: tuple[str, str], share: int
) -> None:
    limiter = make_limiter(4.0, shard=shard, gathers=gathers)
    assert limiter.share(cold_target()._replace(place=place), 0.0) == share  # type: ignore[arg-type]


def make_selector(limiter: ColdTargetLimiter, *targets: Target) -> TargetSelector:
    selector = TargetSelector(HERE, 1, limiter)
    selector.set_targets({SERVICE: targets}, 0.0)
    return selector


def budget() -> RetryBudget:
    found = RetryBudget(RetryBudgetLimits(10.0, 10.0, 1000.0), OLD)
    found.set_members(1, 0.0)
    return found


def ask(selector: TargetSelector, now: float) -> Target | None:
    """Send one request to the best target and record its answer."""
    choices = selector.rank(SERVICE, ROUTE, now)
    if not choices:
        return None
    chosen = choices[0].target
    selector.sent(chosen, now, ROUTE, now)
    selector.ended(chosen, now, Outcome.OK, None, now + 0.001)
    return chosen


def test_requests_above_the_limit_go_to_warm_targets() -> None:
    warm = target("w", SERVICE)
    selector = make_selector(make_limiter(2.0), cold_target("c"), warm)
    asked = [ask(selector, step * 0.002) for step in range(400)]
    assert None not in asked
    assert sum(one is not None and one.instance == "c" for one in asked) <= limit(2.0)


def test_limit_ends_with_the_cold_time() -> None:
    selector = make_selector(make_limiter(2.0), cold_target(until=1.0))
    assert sum(ask(selector, 0.5 + step * 0.001) is not None for step in range(100)) == 4
    assert all(ask(selector, 1.0 + step * 0.001) for step in range(100))


def test_target_that_becomes_cold_again_is_limited_once_it_reports_so() -> None:
    one = target("t", SERVICE)
    selector = make_selector(make_limiter(2.0), one)
    selector.sent(one, "x", ROUTE, 0.0)
    selector.ended(one, "x", Outcome.OK, None, 0.01, cold_s=2.0)
    assert sum(ask(selector, 0.02 + step * 0.001) is not None for step in range(500)) <= 3
    assert ask(selector, 2.02) is not None


def test_cold_targets_without_a_limit_are_not_limited() -> None:
    selector = make_selector(make_limiter(0.0), cold_target())
    assert all(ask(selector, step * 0.001) for step in range(100))


def test_targets_are_cold_after_an_evacuation_ends() -> None:
    """They may have restarted during it, and report that only with their next heartbeat."""
    one = target("t", SERVICE)
    selector = make_selector(make_limiter(2.0), one._replace(excluded=True))
    assert ask(selector, 0.0) is None
    selector.set_targets({SERVICE: (one,)}, 1.0)
    assert sum(ask(selector, 1.0 + step * 0.001) is not None for step in range(500)) == 4
    assert all(ask(selector, 1.0 + COLD_S + step * 0.001) for step in range(50))


def test_request_that_no_target_can_take_is_refused_with_a_retry_time() -> None:
    selector = make_selector(make_limiter(2.0, boxes=60, shard=False), cold_target(until=2.5))
    single = Single(SinglePlan(ROUTE, SERVICE, True, 2, 0.19, 3.0), selector, budget())
    refused = SingleFailed(False, False, NoTargetReason.COLD.value, Cause.COLD)
    assert single.start(1.0) == [refused]
    assert selector.warm_in_s(SERVICE, ROUTE, 1.0) == pytest.approx(1.5)


def test_no_retry_time_is_given_if_one_target_is_warm() -> None:
    """A refusal for another reason, such as a warm target that sheds load, ends sooner."""
    selector = make_selector(make_limiter(2.0), cold_target("c", until=2.5), target("w", SERVICE))
    assert selector.warm_in_s(SERVICE, ROUTE, 1.0) == 0.0


def test_request_goes_to_a_cold_target_within_its_limit() -> None:
    selector = make_selector(make_limiter(2.0, shard=False), cold_target())
    (sent,) = Single(SinglePlan(ROUTE, SERVICE, True, 2, 0.19, 3.0), selector, budget()).start(1.0)
    assert isinstance(sent, SendSingle)


def test_shard_above_the_limit_of_its_cold_targets_is_held_back() -> None:
    """They accept the next request within a second, so the query is not given up."""
    limiter = make_limiter(2.0)
    selector = make_selector(limiter, cold_target())
    for _ in range(limiter.share(cold_target(), 0.0)):
        assert ask(selector, 0.5) is not None
    plan = GatherPlan(ROUTE, (SERVICE,), 3, (), 1.0, 2, 0.7, 3.0, False)
    gather = Gather(plan, selector, budget())
    assert gather.start(0.52) == []
    asked: list[SendPart] = []
    now = 0.52
    while not asked and now < 3.0:
        now = max(now + 0.001, gather.next_wake())
        asked += [c for c in gather.tick(now) if isinstance(c, SendPart)]
    assert 1.5 <= now < 1.6
