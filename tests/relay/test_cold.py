"""Cold targets bear so many requests a second from all boxes together.

The load: a failure domain's targets come back cold while queries of 60 boxes wait for them; the
fleet is cut in two, boxes restart and change who asks targets. The bound in each second is what the
users' sheet gives: `per_s` times an overshoot of 1.5, plus a slack of 5.
"""

import itertools

import pytest

from tests.relay.conftest import HERE, OLD, ROUTE, THERE, target
from trackwheel.relay.allowance_sharers import AllowanceSharers
from trackwheel.relay.budget import RetryBudget, RetryBudgetLimits
from trackwheel.relay.cold import MAX_FLEET_VIEWS, ColdLimit, ColdLimitMargin, ColdTargetLimiter
from trackwheel.relay.gather import Gather
from trackwheel.relay.gather_models import GatherPlan, SendPart
from trackwheel.relay.models import Outcome, Target
from trackwheel.relay.single import SendSingle, Single, SingleFailed, SinglePlan
from trackwheel.relay.target_selector import NoTargetReason, TargetSelector

RULE = ColdLimitMargin(1.5, 5.0)
SERVICE = "s"
COLD_S = 3.0
ALWAYS = 1e9


def bound(per_s: float) -> float:
    return per_s * RULE.overshoot + RULE.slack


def make_limiter(
    per_s: float, boxes: int = 1, shard: bool = True, born: float = OLD, gathers: bool = True
) -> ColdTargetLimiter:
    counts = AllowanceSharers(born, 10.0)
    counts.set_members(boxes, OLD)
    counts.set_gatherers({"here-a": boxes}, "here-a", gathers, OLD)
    limiter = ColdTargetLimiter(RULE, counts)
    limiter.set_limits({SERVICE: ColdLimit(per_s, COLD_S)}, frozenset({SERVICE} if shard else ()))
    return limiter


def cold_target(name: str = "t", until: float = ALWAYS) -> Target:
    return target(name, SERVICE)._replace(cold_until=until)


def most_in_a_second(times: list[float]) -> int:
    return max((sum(start <= at < start + 1.0 for at in times) for start in times), default=0)


@pytest.mark.parametrize("per_s", [0.5, 2.0, 10.0, 40.0])
@pytest.mark.parametrize("boxes", [1, 2, 3, 7])
def test_all_boxes_together_keep_the_bound_in_every_second(per_s: float, boxes: int) -> None:
    """Each of them would send two hundred requests a second."""
    limiters = [make_limiter(per_s, boxes) for _ in range(boxes)]
    sent: list[float] = []
    for step in range(600):
        now = step * 0.005
        for limiter in limiters:
            if limiter.allows(cold_target(), now):
                limiter.sent(cold_target(), now)
                sent.append(now)
    assert most_in_a_second(sent) <= bound(per_s)
    assert sent or boxes * MAX_FLEET_VIEWS > bound(per_s)


@pytest.mark.parametrize("per_s", [0.5, 1.0, 2.0, 4.0, 10.0, 25.0])
@pytest.mark.parametrize("boxes", range(1, 9))
def test_two_views_of_the_fleet_keep_the_bound_together(per_s: float, boxes: int) -> None:
    """Search over all cuts of up to eight boxes in two, with all that each half may have seen.

    A half knows at least itself, and at most everybody: those who were seen within the last minute
    count, whether they are there or not.
    """
    for half in range(boxes + 1):
        halves = [size for size in (half, boxes - half) if size]
        for seen in itertools.product(*(range(size, boxes + 1) for size in halves)):
            parts = [
                size * make_limiter(per_s, known).share(cold_target(), 0.0)
                for size, known in zip(halves, seen, strict=True)
            ]
            assert sum(parts) <= bound(per_s)


def make_limiter_since(since: float, change: str) -> ColdTargetLimiter:
    """Return the limiter of a box that has restarted, or begun to ask for others, at a time."""
    counts = AllowanceSharers(since if change == "restarts" else OLD, 10.0)
    counts.set_members(1, since)
    counts.set_gatherers({"here-a": 1}, "here-a", True, since)
    limiter = ColdTargetLimiter(RULE, counts)
    limiter.set_limits({SERVICE: ColdLimit(4.0, COLD_S)}, frozenset({SERVICE}))
    return limiter


@pytest.mark.parametrize("change", ["restarts", "begins-to-ask"])
@pytest.mark.parametrize("period_s", [0.1, 0.3, 0.7])
@pytest.mark.parametrize("first_at", [0.0, 0.45, 1.3, 9.95])
def test_boxes_that_begin_have_no_part_while_those_before_may_have_used_it(
    change: str, period_s: float, first_at: float
) -> None:
    """Four times in a row another box takes over, or the same one starts again."""
    holders = [(OLD, make_limiter(4.0))]
    for number in range(4):
        since = first_at + number * period_s
        holders.append((since, make_limiter_since(since, change)))
    sent: list[float] = []
    for step in range(2500):
        now = step / 100
        holder = [limiter for since, limiter in holders if since <= now][-1]
        if holder.allows(cold_target(), now):
            holder.sent(cold_target(), now)
            sent.append(now)
    assert most_in_a_second(sent) <= bound(4.0)
    assert any(at > holders[-1][0] + 10.0 for at in sent)


@pytest.mark.parametrize(
    ("shard", "gathers", "place", "share"),
    [
        pytest.param(True, True, HERE, 5, id="asks-for-others-beside-it"),
        pytest.param(True, False, HERE, 0, id="leaves-shards-to-others"),
        pytest.param(True, True, THERE, 0, id="in-another-domain"),
        pytest.param(False, False, THERE, 5, id="not-a-shard"),
    ],
)
def test_who_has_a_part(shard: bool, gathers: bool, place: tuple[str, str], share: int) -> None:
    limiter = make_limiter(4.0, shard=shard, gathers=gathers)
    assert limiter.share(cold_target()._replace(place=place), 0.0) == share  # type: ignore[arg-type]


def make_board(limiter: ColdTargetLimiter, *targets: Target) -> TargetSelector:
    board = TargetSelector(HERE, 1, limiter)
    board.set_targets({SERVICE: targets}, 0.0)
    return board


def budget() -> RetryBudget:
    found = RetryBudget(RetryBudgetLimits(10.0, 10.0, 1000.0), OLD)
    found.set_members(1, 0.0)
    return found


def ask(board: TargetSelector, now: float) -> Target | None:
    """Send one request to the best target, as a box does, and let it answer."""
    choices = board.rank(SERVICE, ROUTE, now)
    if not choices:
        return None
    chosen = choices[0].target
    board.sent(chosen, now, ROUTE, now)
    board.ended(chosen, now, Outcome.OK, None, now + 0.001)
    return chosen


def test_what_does_not_fit_goes_to_warm_targets() -> None:
    warm = target("w", SERVICE)
    board = make_board(make_limiter(2.0), cold_target("c"), warm)
    asked = [ask(board, step * 0.002) for step in range(400)]
    assert None not in asked
    assert sum(one is not None and one.instance == "c" for one in asked) <= bound(2.0)


def test_cold_time_ends_by_itself() -> None:
    board = make_board(make_limiter(2.0), cold_target(until=1.0))
    assert sum(ask(board, 0.5 + step * 0.001) is not None for step in range(100)) == 4
    assert all(ask(board, 1.0 + step * 0.001) for step in range(100))


def test_target_that_turns_cold_again_is_held_from_its_word_on() -> None:
    one = target("t", SERVICE)
    board = make_board(make_limiter(2.0), one)
    board.sent(one, "x", ROUTE, 0.0)
    board.ended(one, "x", Outcome.OK, None, 0.01, cold_s=2.0)
    assert sum(ask(board, 0.02 + step * 0.001) is not None for step in range(500)) <= 3
    assert ask(board, 2.02) is not None


def test_without_a_bound_cold_targets_get_what_they_get_today() -> None:
    board = make_board(make_limiter(0.0), cold_target())
    assert all(ask(board, step * 0.001) for step in range(100))


def test_targets_whose_evacuation_was_taken_back_are_thought_cold() -> None:
    """They may have started anew meanwhile; their word on that comes a heartbeat later."""
    one = target("t", SERVICE)
    board = make_board(make_limiter(2.0), one._replace(barred=True))
    assert ask(board, 0.0) is None
    board.set_targets({SERVICE: (one,)}, 1.0)
    assert sum(ask(board, 1.0 + step * 0.001) is not None for step in range(500)) == 4
    assert all(ask(board, 1.0 + COLD_S + step * 0.001) for step in range(50))


def test_request_that_no_target_bears_is_refused_at_once_and_told_when_to_come() -> None:
    board = make_board(make_limiter(2.0, boxes=60, shard=False), cold_target(until=2.5))
    single = Single(SinglePlan(ROUTE, SERVICE, True, 2, 0.19, 3.0), board, budget())
    assert single.start(1.0) == [SingleFailed(False, False, NoTargetReason.COLD.value)]
    assert board.warm_in_s(SERVICE, ROUTE, 1.0) == pytest.approx(1.5)


def test_cold_target_beside_a_warm_one_lets_nobody_wait_for_it() -> None:
    """A refusal for another reason, as a warm target that sheds, is over sooner."""
    board = make_board(make_limiter(2.0), cold_target("c", until=2.5), target("w", SERVICE))
    assert board.warm_in_s(SERVICE, ROUTE, 1.0) == 0.0


def test_request_goes_to_the_cold_target_while_it_bears_it() -> None:
    board = make_board(make_limiter(2.0, shard=False), cold_target())
    (sent,) = Single(SinglePlan(ROUTE, SERVICE, True, 2, 0.19, 3.0), board, budget()).start(1.0)
    assert isinstance(sent, SendSingle)


def test_shard_that_its_cold_targets_do_not_bear_now_is_held_back() -> None:
    """Within a second they bear the next request, so that the query is not given up."""
    limiter = make_limiter(2.0)
    board = make_board(limiter, cold_target())
    for _ in range(limiter.share(cold_target(), 0.0)):
        assert ask(board, 0.5) is not None
    plan = GatherPlan(ROUTE, (SERVICE,), 3, (), 1.0, 2, 0.7, 3.0, False)
    gather = Gather(plan, board, budget())
    assert gather.start(0.52) == []
    asked: list[SendPart] = []
    now = 0.52
    while not asked and now < 3.0:
        now = max(now + 0.001, gather.next_wake())
        asked += [c for c in gather.tick(now) if isinstance(c, SendPart)]
    assert 1.5 <= now < 1.6
