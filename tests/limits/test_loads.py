"""Named loads against the limits of a fleet: who is refused below a limit, what passes above it."""

from collections.abc import Callable
from functools import partial

import pytest

from tests.limits.fleet import MARGIN, Fleet
from trackwheel.groups.models import GroupLimit
from trackwheel.limits.budget import limit_bound

SMALL = GroupLimit(0.16, 1.0)
MEDIUM = GroupLimit(5.0, 5.0)
LARGE = GroupLimit(100.0, 50.0)
SETTLED_S = 16.0


def fleet_of(limit: GroupLimit, seed: int, boxes: int = 24) -> Fleet:
    fleet = Fleet(6, boxes, {"g": limit}, seed)
    fleet.run(SETTLED_S)
    return fleet


def assert_bound(fleet: Fleet, limit: GroupLimit) -> None:
    assert fleet.most_in_window("g") <= limit_bound(limit, MARGIN)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("limit", "per_s", "boxes"),
    [
        pytest.param(SMALL, 0.1, None, id="one-in-ten-seconds"),
        pytest.param(MEDIUM, 3.1, None, id="medium-spread"),
        pytest.param(MEDIUM, 3.1, ["box-3"], id="medium-through-one-box"),
        pytest.param(LARGE, 62.0, None, id="large-spread"),
        pytest.param(LARGE, 62.0, ["box-3"], id="large-through-one-box"),
    ],
)
def test_nothing_is_refused_below_a_limit(
    limit: GroupLimit, per_s: float, boxes: list[str] | None, seed: int
) -> None:
    """Load: a group at 0.62 of its limit, for thirty seconds, without a fault."""
    fleet = fleet_of(limit, seed)
    fleet.load("g", per_s, SETTLED_S + 30.0, boxes)
    fleet.run(SETTLED_S + 31.0)
    assert fleet.admitted["g"]
    assert fleet.refused.get("g", []) == []


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("limit", [SMALL, MEDIUM, LARGE])
def test_most_of_a_limit_passes_in_a_jump_but_not_more_than_its_bound(
    limit: GroupLimit, seed: int
) -> None:
    """Load: a group jumps to seven times its usual demand, 4.4 times its limit."""
    fleet = fleet_of(limit, seed)
    fleet.load("g", 4.4 * limit.rate_per_s, SETTLED_S + 12.0)
    fleet.run(SETTLED_S + 13.0)
    assert_bound(fleet, limit)
    usable = min(len(fleet.admitted["g"]) + len(fleet.refused.get("g", [])), limit.rate_per_s * 12)
    assert len(fleet.admitted["g"]) >= 0.9 * usable


def cut_a_third(fleet: Fleet) -> None:
    fleet.set_cut(frozenset(f"box-{n}" for n in range(24) if n % 6 < 2))


def cut_across_domains(fleet: Fleet) -> None:
    fleet.set_cut(frozenset(f"box-{n}" for n in range(12)))


def kill_counting_box(fleet: Fleet) -> None:
    fleet.stop(fleet.counting("d0"))


def freeze_counting_box(fleet: Fleet) -> None:
    box = fleet.box_by_name[fleet.counting("d0")]
    box.frozen = True
    fleet.after(3.0, lambda: setattr(box, "frozen", False))


def restart_half(fleet: Fleet) -> None:
    for number in range(0, 24, 2):
        fleet.start(number)


def restart_half_of_each_domain(fleet: Fleet) -> None:
    for number in range(12):
        fleet.start(number)


def restart_all(fleet: Fleet) -> None:
    for number in range(24):
        fleet.start(number)


def restart_all_again(fleet: Fleet) -> None:
    restart_all(fleet)
    fleet.after(2.0, lambda: restart_all(fleet))


def restart_all_within_a_second(fleet: Fleet) -> None:
    for number in range(24):
        fleet.after(fleet.random.random(), partial(fleet.start, number))


def restart_and_cut_half_of_each_domain(fleet: Fleet) -> None:
    restart_half_of_each_domain(fleet)
    cut_across_domains(fleet)


FAULTS = [
    cut_a_third,
    cut_across_domains,
    kill_counting_box,
    freeze_counting_box,
    restart_half,
    restart_half_of_each_domain,
    restart_all,
    restart_all_again,
    restart_all_within_a_second,
    restart_and_cut_half_of_each_domain,
]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("limit", [SMALL, MEDIUM, LARGE])
@pytest.mark.parametrize("fault", FAULTS)
def test_bound_holds_over_all_boxes_in_touch_or_not(
    fault: Callable[[Fleet], None], limit: GroupLimit, seed: int
) -> None:
    """Load: a group far over its limit, through all boxes, from before a fault until after it."""
    fleet = fleet_of(limit, seed)
    fleet.load("g", max(20.0, 4.4 * limit.rate_per_s), SETTLED_S + 18.0)
    fleet.run(SETTLED_S + 3.0)
    fault(fleet)
    fleet.run(SETTLED_S + 12.0)
    if fleet.cut:
        fleet.set_cut(frozenset())
    fleet.run(SETTLED_S + 19.0)
    assert_bound(fleet, limit)


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("apart_s", [1.5, 2.5, 3.5])
@pytest.mark.parametrize("limit", [SMALL, MEDIUM, LARGE])
def test_bound_holds_while_boxes_that_start_have_two_views(
    limit: GroupLimit, apart_s: float, seed: int
) -> None:
    """Load: all boxes start; each half of them knows only itself for some seconds."""
    fleet = fleet_of(limit, seed)
    fleet.load("g", max(20.0, 4.4 * limit.rate_per_s), SETTLED_S + 14.0)
    fleet.run(SETTLED_S + 5.0)
    fleet.set_unknown(frozenset(f"box-{n}" for n in range(12)))
    restart_all(fleet)
    fleet.after(apart_s, lambda: fleet.set_unknown(frozenset()))
    fleet.run(SETTLED_S + 14.0)
    assert_bound(fleet, limit)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    "fault", [kill_counting_box, freeze_counting_box, restart_half, restart_half_of_each_domain]
)
def test_few_are_refused_below_a_limit_in_the_worst_second_after_a_loss(
    fault: Callable[[Fleet], None], seed: int
) -> None:
    """Load: a group at 0.62 of its limit while a counting box is lost; at most 1 in 100 refused."""
    fleet = fleet_of(LARGE, seed)
    fleet.load("g", 62.0, SETTLED_S + 18.0)
    fleet.run(SETTLED_S + 3.0)
    fault(fleet)
    fleet.run(SETTLED_S + 19.0)
    refused = fleet.refused.get("g", [])
    worst = max((sum(t <= u < t + 1.0 for u in refused) for t in refused), default=0)
    assert worst <= 0.62, f"{worst} in the worst second, {len(refused)} in all, {fleet.basis}"


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("limit", "per_s"),
    [
        pytest.param(GroupLimit(9.6, 9.0), 6.0, id="six-a-second"),
        pytest.param(GroupLimit(0.32, 1.0), 0.2, id="one-in-five-seconds"),
    ],
)
def test_nothing_is_refused_below_a_limit_after_all_boxes_start(
    limit: GroupLimit, per_s: float, seed: int
) -> None:
    """Load: 72 boxes start together; a group at 0.62 of its limit for the next six seconds."""
    fleet = Fleet(6, 72, {"g": limit}, seed)
    fleet.run(0.5)
    for number in range(72):
        fleet.start(number)
    fleet.load("g", per_s, 6.5)
    fleet.run(6.6)
    refused = [round(at - 0.5, 2) for at in fleet.refused.get("g", [])]
    assert refused == [], f"{len(fleet.admitted.get('g', []))} admitted, {fleet.basis}"


@pytest.mark.parametrize("seed", range(3))
def test_lowered_limit_binds_within_a_window(seed: int) -> None:
    """Load: a group at a tenth of the rate it was allowed finds it lowered to a fifth of that."""
    fleet = fleet_of(LARGE, seed)
    fleet.load("g", 90.0, SETTLED_S + 20.0)
    fleet.run(SETTLED_S + 5.0)
    lowered = GroupLimit(2.0, 1.0)
    fleet.set_limits({"g": lowered})
    fleet.admitted.clear()
    fleet.run(SETTLED_S + 21.0)
    assert_bound(fleet, lowered)


def test_a_busy_group_needs_less_than_a_message_a_request() -> None:
    """Load: a large group at 0.62 of its limit through one box."""
    fleet = fleet_of(LARGE, 1)
    fleet.messages.clear()
    fleet.load("g", 62.0, SETTLED_S + 20.0, ["box-3"])
    fleet.run(SETTLED_S + 20.0)
    asks = sum(fleet.messages[kind] for kind in ("TokenAsk", "TokenGrant", "GiftAsk", "Gift"))
    assert asks < len(fleet.admitted["g"])
