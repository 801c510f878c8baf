"""Ranking of targets by the outcomes and response times of earlier requests."""

import pytest

from tests.relay.conftest import HERE, ROUTE, THERE, target
from trackwheel.relay.models import Load, Outcome, Target
from trackwheel.selection.const import EJECT_AFTER_FAILURES, MAX_EJECT_S, REPLACED_EJECT_S
from trackwheel.selection.target_selector import TargetSelector

NEAR = target("near", "s")
FAR = target("far", "s", THERE)


def make_selector(*targets: Target) -> TargetSelector:
    selector = TargetSelector(HERE, seed=1)
    selector.set_targets({"s": targets}, 0.0)
    return selector


def record_answer(
    selector: TargetSelector, receiver: Target, now: float, took_s: float, load: Load | None = None
) -> None:
    token = object()
    selector.sent(receiver, token, ROUTE, now)
    selector.ended(receiver, token, Outcome.OK, load, now + took_s)


def record_failure(
    selector: TargetSelector, receiver: Target, now: float, outcome: Outcome
) -> None:
    token = object()
    selector.sent(receiver, token, ROUTE, now)
    selector.ended(receiver, token, outcome, None, now)


def record_answers(selector: TargetSelector, *targets: Target) -> None:
    for number in range(30):
        for receiver in targets:
            record_answer(selector, receiver, number * 0.1, 0.02)


def ranking(selector: TargetSelector, now: float) -> list[str]:
    return [choice.target.instance for choice in selector.rank("s", ROUTE, now)]


def test_near_target_comes_first() -> None:
    selector = make_selector(FAR, NEAR)
    record_answers(selector, FAR, NEAR)
    assert ranking(selector, 4.0) == ["near", "far"]


def test_single_pause_does_not_divert_work() -> None:
    selector = make_selector(NEAR, FAR)
    record_answers(selector, NEAR, FAR)
    record_answer(selector, NEAR, 4.0, 0.27)
    record_answer(selector, NEAR, 4.3, 0.02)
    assert ranking(selector, 4.35)[0] == "near"


def test_slow_target_is_avoided_and_tried_again() -> None:
    selector = make_selector(NEAR, FAR)
    record_answers(selector, NEAR, FAR)
    for number in range(4):
        record_answer(selector, NEAR, 4.0 + number * 0.2, 0.18)
    assert ranking(selector, 4.9)[0] == "far"
    assert ranking(selector, 12.0)[0] == "near"


def test_stalled_target_is_avoided_before_it_answers() -> None:
    selector = make_selector(NEAR, FAR)
    record_answers(selector, NEAR, FAR)
    selector.sent(NEAR, object(), ROUTE, 4.0)
    assert ranking(selector, 4.01)[0] == "near"
    assert ranking(selector, 4.15)[0] == "far"


def test_reported_load_counts_while_it_is_recent() -> None:
    selector = make_selector(NEAR, FAR)
    record_answers(selector, NEAR, FAR)
    record_answer(selector, NEAR, 4.0, 0.02, Load(2, 10, 2))
    assert ranking(selector, 4.05)[0] == "far"
    assert ranking(selector, 5.0)[0] == "near"


@pytest.mark.parametrize(
    ("outcome", "failures", "last_resort"),
    [
        pytest.param(Outcome.NOT_SENT, 1, True, id="no-connection-at-once"),
        pytest.param(Outcome.FAILED, 1, False, id="one-failure"),
        pytest.param(Outcome.FAILED, EJECT_AFTER_FAILURES, True, id="failures-in-a-row"),
        pytest.param(Outcome.BROKEN, EJECT_AFTER_FAILURES, True, id="broken-in-a-row"),
        pytest.param(Outcome.OVERSIZED, EJECT_AFTER_FAILURES, True, id="oversized-in-a-row"),
        pytest.param(Outcome.NOT_RUN, 8, False, id="shedding-is-no-fault"),
    ],
)
def test_failing_target_is_a_last_resort(
    outcome: Outcome, failures: int, last_resort: bool
) -> None:
    selector = make_selector(NEAR)
    record_answers(selector, NEAR)
    for _ in range(failures):
        record_failure(selector, NEAR, 4.0, outcome)
    (choice,) = selector.rank("s", ROUTE, 4.01)
    assert choice.last_resort is last_resort
    (later,) = selector.rank("s", ROUTE, 4.01 + MAX_EJECT_S)
    assert not later.last_resort


@pytest.mark.parametrize(
    ("targets", "expected"),
    [
        pytest.param([target("a", "s", leaving=True)], [], id="leaving-gets-nothing"),
        pytest.param(
            [target("a", "s", presumed_gone=True)], ["a"], id="presumed-gone-is-a-last-resort"
        ),
        pytest.param(
            [target("a", "s", presumed_gone=True), FAR], ["far", "a"], id="presumed-gone-last"
        ),
    ],
)
def test_directory_state_limits_the_ranking(targets: list[Target], expected: list[str]) -> None:
    assert ranking(make_selector(*targets), 0.0) == expected


def test_cold_target_ranks_behind_a_warm_one() -> None:
    cold = target("cold", "s")._replace(cold_until=5.0)
    selector = make_selector(cold, target("warm", "s"))
    record_answers(selector, cold, target("warm", "s"))
    assert ranking(selector, 4.0)[0] == "warm"
    assert {ranking(selector, 6.0)[0] for _ in range(20)} == {"cold", "warm"}


def test_age_of_a_withdrawn_request_counts_as_slowness() -> None:
    selector = make_selector(NEAR, FAR)
    record_answers(selector, NEAR, FAR)
    for number in range(4):
        token = object()
        selector.sent(NEAR, token, ROUTE, 4.0 + number * 0.2)
        selector.withdrawn(NEAR, token, 4.18 + number * 0.2)
    assert ranking(selector, 4.9)[0] == "far"


def test_target_replaced_at_its_address_gets_no_requests() -> None:
    """A request to its address would be charged to the service that uses the address now."""
    selector = TargetSelector(HERE, 1)
    gone, other = target("gone", "s"), target("other", "s")
    selector.set_targets({"s": (gone, other)}, 0.0)
    selector.sent(gone, 1, ROUTE, 0.0)
    selector.ended(gone, 1, Outcome.ELSEWHERE, None, 0.01)
    for number in range(3):
        selector.sent(other, number + 2, ROUTE, 0.1)
        selector.ended(other, number + 2, Outcome.NOT_SENT, None, 0.2)
    ranked = [choice.target.instance for choice in selector.rank("s", ROUTE, 5.0)]
    assert ranked == ["other"]
    selector.set_targets({"s": (gone,)}, 0.0)
    assert not selector.has_target_at("s", HERE, 5.0)
    assert [choice.target for choice in selector.rank("s", ROUTE, REPLACED_EJECT_S + 0.02)] == [
        gone
    ]
