"""Fair shares, concurrency limits and shedding of one target, in virtual time."""

import pytest

from bench.one_target import OneTarget, max_min_shares
from trackwheel.dispatch.models import Outcome

Groups = dict[str, tuple[float, float]]


def worst_share_error(
    groups: Groups, seconds: float = 10.0, service_s: float = 0.01, slots: int = 2
) -> float:
    """Run groups `{name: (demanded part of capacity, share)}`; return the largest share error."""
    sim = OneTarget(slots=slots, claimed=slots, service_s=service_s)
    capacity = slots / service_s
    for group, (part, share) in groups.items():
        sim.arrivals(group, share, part * capacity, 0.2, 0.0, seconds)
    sim.run(2.0)
    before = dict(sim.slot_s_by_group)
    sim.run(seconds)
    used = {group: sim.slot_s_by_group[group] - before.get(group, 0.0) for group in groups}
    total = sum(used.values())
    wanted = max_min_shares(1.0, groups)
    scale = sum(wanted.values())
    return max(abs(used[group] / total - wanted[group] / scale) for group in groups)


@pytest.mark.parametrize(
    "groups",
    [
        pytest.param({"a": (1.5, 1.0), "b": (1.5, 1.0)}, id="equal"),
        pytest.param({"a": (1.5, 3.0), "b": (1.5, 1.0)}, id="three-to-one"),
        pytest.param({"a": (100.0, 1.0), "b": (0.6, 1.0), "c": (0.6, 1.0)}, id="greedy"),
        pytest.param({"a": (3.0, 1.0), "b": (0.1, 1.0)}, id="small-one-gets-all-it-asks"),
        pytest.param({f"g{n}": (0.2, 1.0 + n % 3) for n in range(15)}, id="fifteen"),
    ],
)
def test_slot_time_follows_shares(groups: Groups) -> None:
    assert worst_share_error(groups) < 0.03


def test_idle_share_is_used_and_returned_within_a_second() -> None:
    sim = OneTarget()
    sim.arrivals("busy", 1.0, 600.0, 0.2, 0.0, 20.0)
    sim.arrivals("guest", 1.0, 600.0, 0.2, 10.0, 20.0)
    sim.run(10.0)
    assert sim.slot_s_by_group["busy"] > 0.95 * 2 * 9.5
    sim.run(11.0)
    before = dict(sim.slot_s_by_group)
    sim.run(20.0)
    guest = sim.slot_s_by_group["guest"] - before["guest"]
    busy = sim.slot_s_by_group["busy"] - before["busy"]
    assert guest / (guest + busy) == pytest.approx(0.5, abs=0.03)


def test_idle_group_accumulates_no_credit() -> None:
    sim = OneTarget()
    sim.arrivals("busy", 1.0, 600.0, 0.2, 0.0, 9.0)
    sim.arrivals("guest", 1.0, 600.0, 0.2, 0.0, 1.0)
    sim.arrivals("guest", 1.0, 600.0, 0.2, 5.0, 9.0)
    sim.run(5.2)
    before = dict(sim.slot_s_by_group)
    sim.run(6.2)
    guest = sim.slot_s_by_group["guest"] - before["guest"]
    busy = sim.slot_s_by_group["busy"] - before["busy"]
    assert guest / (guest + busy) == pytest.approx(0.5, abs=0.06)


def test_urgent_work_goes_first_inside_a_group() -> None:
    sim = OneTarget(service_s=0.01)
    sim.arrivals("clerks", 1.0, 180.0, 1.0, 0.0, 10.0)
    sim.arrivals("clerks", 1.0, 15.0, 0.05, 0.0, 10.0)
    sim.run(12.0)
    assert sim.refused_by_outcome[Outcome.LATE] + sim.refused_by_outcome[Outcome.SHED] < 20


def test_overload_does_no_work_that_ends_too_late() -> None:
    sim = OneTarget()
    sim.arrivals("a", 1.0, 1000.0, 0.1, 0.0, 10.0)
    sim.run(12.0)
    assert sim.late / sim.finished < 0.02
    assert sim.finished / 10.0 > 0.9 * 200


@pytest.mark.parametrize(
    ("true_slots", "claimed"),
    [
        pytest.param(2, 2, id="as-claimed"),
        pytest.param(1, 2, id="fewer-than-claimed"),
        pytest.param(2, 4, id="half-of-claimed"),
        pytest.param(6, 2, id="more-than-claimed"),
    ],
)
def test_limit_converges_to_the_true_slots(true_slots: int, claimed: int) -> None:
    sim = OneTarget(slots=true_slots, claimed=claimed)
    sim.arrivals("a", 1.0, 3.0 * true_slots / 0.01, 0.3, 0.0, 60.0)
    sim.run(60.0)
    finished = sim.finished
    assert finished / 60.0 > 0.85 * true_slots / 0.01, "the whole capacity is used"
    assert sim.line.limit <= true_slots + 2


def test_connection_limit_is_never_exceeded() -> None:
    sim = OneTarget(slots=50, claimed=4, connections=5)
    sim.arrivals("a", 1.0, 5000.0, 0.3, 0.0, 10.0)
    sim.run(11.0)
    assert sim.peak_sent <= 4


def test_cold_target_starts_slowly() -> None:
    sim = OneTarget(slots=8, claimed=8)
    for _ in range(50):
        sim.offer("a", 1.0, 1.0)
    sim.run(0.002)
    assert sim.peak_sent == 1
    sim.run(0.2)
    assert sim.peak_sent >= 4


def test_shedding_target_gets_little_work_and_recovers_within_two_seconds() -> None:
    sim = OneTarget()
    sim.arrivals("a", 1.0, 300.0, 0.2, 0.0, 20.0)
    sim.run(5.0)
    sim.shedding = True
    before = sim.finished
    sent_while_shedding = 0
    while sim.now < 10.0:
        peak = len(sim._events)
        sim.run(sim.now + 0.1)
        sent_while_shedding = max(sent_while_shedding, peak)
    assert sim.finished - before <= 3
    sim.shedding = False
    sim.run(12.0)
    before = sim.finished
    sim.run(20.0)
    assert (sim.finished - before) / 8.0 > 0.9 * 200


@pytest.mark.parametrize("slow_s", [0.2, 0.3, 0.39], ids=lambda slow_s: f"{slow_s:.2f}s")
def test_target_that_was_slow_for_a_second_is_used_again(slow_s: float) -> None:
    """Its estimate then exceeds all deadlines, and refused work yields no new measurement."""
    target = OneTarget(service_s=0.01)
    target.arrivals("g", 1.0, 60, 0.4, 0.0, 20.0)
    target.run(5.0)
    target.service_s = slow_s
    target.run(6.0)
    target.service_s = 0.01
    target.run(8.0)
    before = target.finished
    target.run(18.0)
    assert target.finished - before >= 0.97 * 600
