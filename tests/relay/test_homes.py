"""Routes with homes never use targets or peers outside these regions.

The fleet spans three regions, shards have targets in each of them, and one or two regions may serve
the route. All paths of a request are covered: the first choice, groups for peers, the second
target, a peer that declines, and a region without a live target.
"""

import pytest

from tests.relay.conftest import HERE, OLD, ROUTE, THERE, target
from trackwheel.delegation.grouping import GroupPlanner
from trackwheel.delegation.peers import RELAY_MESSAGES, GroupForward, PeerBox, PeerTracker
from trackwheel.gathering.gather import Gather
from trackwheel.gathering.gather_models import GatherFailed, GatherPlan, SendGroup, SendPart
from trackwheel.peers.codec import Codec
from trackwheel.relay.causes import Cause
from trackwheel.relay.models import Outcome, Place, RouteKey, TargetResult
from trackwheel.relay.single import SendSingle, Single, SingleFailed, SinglePlan
from trackwheel.selection.budget import RetryBudget, RetryBudgetLimits
from trackwheel.selection.target_selector import NoTargetReason, TargetSelector

BESIDE = Place("here", "here-b")
YONDER = Place("yonder", "yonder-a")
PLACES = (HERE, BESIDE, THERE, YONDER)
PEERS = tuple(PeerBox(f"{place.failure_domain}:1", place) for place in PLACES)
SHARDS = tuple(f"s{number}" for number in range(12))
HOMES = [frozenset({"here"}), frozenset({"there"}), frozenset({"there", "yonder"})]


def homed(homes: frozenset[str]) -> RouteKey:
    return ROUTE._replace(homes=homes)


def make_selector(places: tuple[Place, ...] = PLACES) -> TargetSelector:
    selector = TargetSelector(HERE, seed=1)
    selector.set_targets(
        {
            shard: tuple(
                target(f"{shard}@{place.failure_domain}", shard, place) for place in places
            )
            for shard in SHARDS
        },
        0.0,
    )
    return selector


def make_planner(selector: TargetSelector, gathers: bool = True) -> GroupPlanner:
    planner = GroupPlanner(HERE, "own:1", selector, PeerTracker())
    planner.set_peers(PEERS, gathers)
    return planner


def make_budget() -> RetryBudget:
    budget = RetryBudget(RetryBudgetLimits(10.0, 10.0, 1000.0), OLD)
    budget.set_members(1, 0.0)
    return budget


@pytest.mark.parametrize("homes", HOMES, ids=sorted)
def test_only_targets_in_the_homes_are_ranked(homes: frozenset[str]) -> None:
    selector = make_selector()
    choices = selector.rank("s0", homed(homes), 0.0)
    assert {choice.target.place.region for choice in choices} == homes
    assert len(selector.rank("s0", ROUTE, 0.0)) == len(PLACES)


@pytest.mark.parametrize("homes", HOMES, ids=sorted)
@pytest.mark.parametrize("gathers", [True, False], ids=["gathers", "not-a-gatherer"])
def test_no_group_goes_outside_the_homes(homes: frozenset[str], gathers: bool) -> None:
    planner = make_planner(make_selector(), gathers)
    groups = planner.first_groups(SHARDS, homed(homes), 0.19, 0.0)
    assert all(group.place.region in homes for group in groups)
    assert groups or homes == {"here"}


@pytest.mark.parametrize("homes", HOMES, ids=sorted)
@pytest.mark.parametrize("repeat", [True, False], ids=["repeat", "declined"])
def test_no_late_shard_goes_outside_the_homes(homes: frozenset[str], repeat: bool) -> None:
    planner = make_planner(make_selector())
    plan = GatherPlan(homed(homes), SHARDS, 3, (), 0.8, 2, 0.19, 1.0, False)
    tried = {shard: frozenset({f"{shard}@here-a"}) for shard in SHARDS}
    groups = planner.regroup(tried, plan, repeat, 0.1)
    assert all(group.place.region in homes for group in groups)


@pytest.mark.parametrize("homes", HOMES, ids=sorted)
@pytest.mark.parametrize(
    "outcome", [Outcome.NOT_RUN, Outcome.FAILED, Outcome.NOT_SENT, Outcome.ELSEWHERE]
)
def test_whole_query_keeps_to_the_homes(homes: frozenset[str], outcome: Outcome) -> None:
    """Every request fails and no peer responds, so that only targets outside are left to try."""
    selector = make_selector()
    planner = make_planner(selector)
    route = homed(homes)
    plan = GatherPlan(
        route,
        SHARDS,
        3,
        planner.first_groups(SHARDS, route, 0.19, 0.0),
        0.8,
        4,
        0.19,
        1.0,
        False,
    )
    gather = Gather(plan, selector, make_budget(), planner)
    commands = gather.start(0.0)
    now = 0.0
    while commands or not gather.ended:
        sent = [command for command in commands if isinstance(command, SendPart)]
        groups = [command.group for command in commands if isinstance(command, SendGroup)]
        assert all(command.target.place.region in homes for command in sent)
        assert all(group.place.region in homes for group in groups)
        commands = []
        for command in sent:
            end = TargetResult(outcome, None, b"", None, "")
            selector.sent(command.target, command.token, route, now)
            selector.ended(command.target, command.token, outcome, None, now)
            commands += gather.part_ended(command.token, end, None, now)
        if not sent and not gather.ended:
            now = max(now + 0.001, gather.next_wake())
            commands = gather.tick(now)
    assert now <= plan.end_at


@pytest.mark.parametrize(
    ("places", "homes", "reason", "cause"),
    [
        pytest.param(
            PLACES, {"nowhere"}, NoTargetReason.HOMES, Cause.HOMES, id="no-target-at-home"
        ),
        pytest.param(
            (HERE, BESIDE), {"there"}, NoTargetReason.HOMES, Cause.HOMES, id="elsewhere-only"
        ),
        pytest.param((), {"here"}, NoTargetReason.UNKNOWN, Cause.NO_TARGET, id="no-targets"),
    ],
)
def test_request_without_a_home_is_refused_at_once(
    places: tuple[Place, ...], homes: set[str], reason: NoTargetReason, cause: Cause
) -> None:
    selector = make_selector(places)
    route = homed(frozenset(homes))
    single = Single(SinglePlan(route, "s0", True, 3, 0.19, 1.0), selector, make_budget())
    assert single.start(0.0) == [SingleFailed(False, False, reason.value, cause)]
    plan = GatherPlan(route, SHARDS, 3, (), 0.8, 2, 0.19, 1.0, False)
    (failed,) = Gather(plan, selector, make_budget(), make_planner(selector)).start(0.0)
    assert isinstance(failed, GatherFailed)
    assert (failed.ran, failed.late, failed.cause) == (False, False, cause)
    assert reason.value in failed.lacking


def test_evacuated_home_is_refused_and_named() -> None:
    selector = TargetSelector(HERE, seed=1)
    excluded = target("a", "s0", HERE, leaving=True)
    selector.set_targets({"s0": (excluded, target("b", "s0", THERE))}, 0.0)
    single = Single(SinglePlan(homed(HOMES[0]), "s0", True, 3, 0.19, 1.0), selector, make_budget())
    refused = SingleFailed(False, False, NoTargetReason.BARRED.value, Cause.BARRED)
    assert single.start(0.0) == [refused]


def test_request_that_runs_once_keeps_to_its_home() -> None:
    selector = make_selector()
    single = Single(SinglePlan(homed(HOMES[1]), "s0", False, 3, 0.19, 1.0), selector, make_budget())
    (sent,) = single.start(0.0)
    assert isinstance(sent, SendSingle)
    assert sent.target.place == THERE


def test_homes_are_sent_to_peers() -> None:
    codec = Codec(RELAY_MESSAGES)
    forward = GroupForward(
        "1", "id", "h", "/", b"GET", b"/", [], b"", "r", ["s0"], 3, 1, 1.0, 1.0, 1.0, 1.0, False,
        b"", 0.8, ["there"],
    )  # fmt: skip
    (read,) = codec.decode(codec.encode([forward]), "peer")
    assert read == forward
