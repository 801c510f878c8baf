"""The choice among targets, from what their answers have shown."""

import pytest

from tests.relay.conftest import HERE, ROUTE, THERE, target
from trackwheel.relay.const import EJECT_AFTER_FAILURES, MAX_EJECT_S, REPLACED_EJECT_S
from trackwheel.relay.models import Load, Outcome, Target
from trackwheel.relay.target_selector import TargetSelector

NEAR = target("near", "s")
FAR = target("far", "s", THERE)


def make_board(*targets: Target) -> TargetSelector:
    board = TargetSelector(HERE, seed=1)
    board.set_targets({"s": targets}, 0.0)
    return board


def answer(
    board: TargetSelector, who: Target, now: float, took_s: float, load: Load | None = None
) -> None:
    token = object()
    board.sent(who, token, ROUTE, now)
    board.ended(who, token, Outcome.OK, load, now + took_s)


def fail(board: TargetSelector, who: Target, now: float, outcome: Outcome) -> None:
    token = object()
    board.sent(who, token, ROUTE, now)
    board.ended(who, token, outcome, None, now)


def warm(board: TargetSelector, *targets: Target) -> None:
    for number in range(30):
        for who in targets:
            answer(board, who, number * 0.1, 0.02)


def names(board: TargetSelector, now: float) -> list[str]:
    return [choice.target.instance for choice in board.rank("s", ROUTE, now)]


def test_near_target_comes_first() -> None:
    board = make_board(FAR, NEAR)
    warm(board, FAR, NEAR)
    assert names(board, 4.0) == ["near", "far"]


def test_one_pause_does_not_send_work_away() -> None:
    board = make_board(NEAR, FAR)
    warm(board, NEAR, FAR)
    answer(board, NEAR, 4.0, 0.27)
    answer(board, NEAR, 4.3, 0.02)
    assert names(board, 4.35)[0] == "near"


def test_slow_target_is_left_and_tried_again() -> None:
    board = make_board(NEAR, FAR)
    warm(board, NEAR, FAR)
    for number in range(4):
        answer(board, NEAR, 4.0 + number * 0.2, 0.18)
    assert names(board, 4.9)[0] == "far"
    assert names(board, 12.0)[0] == "near"


def test_stalled_target_is_left_before_its_answer_comes() -> None:
    board = make_board(NEAR, FAR)
    warm(board, NEAR, FAR)
    board.sent(NEAR, object(), ROUTE, 4.0)
    assert names(board, 4.01)[0] == "near"
    assert names(board, 4.15)[0] == "far"


def test_told_load_counts_while_it_is_fresh() -> None:
    board = make_board(NEAR, FAR)
    warm(board, NEAR, FAR)
    answer(board, NEAR, 4.0, 0.02, Load(2, 10, 2))
    assert names(board, 4.05)[0] == "far"
    assert names(board, 5.0)[0] == "near"


@pytest.mark.parametrize(
    ("outcome", "failures", "left"),
    [
        pytest.param(Outcome.NOT_SENT, 1, True, id="no-connection-at-once"),
        pytest.param(Outcome.FAILED, 1, False, id="one-failure"),
        pytest.param(Outcome.FAILED, EJECT_AFTER_FAILURES, True, id="failures-in-a-row"),
        pytest.param(Outcome.BROKEN, EJECT_AFTER_FAILURES, True, id="broken-in-a-row"),
        pytest.param(Outcome.NOT_RUN, 8, False, id="shedding-is-no-fault"),
    ],
)
def test_failing_target_is_a_last_resort(outcome: Outcome, failures: int, left: bool) -> None:
    board = make_board(NEAR)
    warm(board, NEAR)
    for _ in range(failures):
        fail(board, NEAR, 4.0, outcome)
    (choice,) = board.rank("s", ROUTE, 4.01)
    assert choice.last_resort is left
    (later,) = board.rank("s", ROUTE, 4.01 + MAX_EJECT_S)
    assert not later.last_resort


@pytest.mark.parametrize(
    ("targets", "expected"),
    [
        pytest.param([target("a", "s", leaving=True)], [], id="leaving-gets-nothing"),
        pytest.param([target("a", "s", doubtful=True)], ["a"], id="doubtful-is-a-last-resort"),
        pytest.param([target("a", "s", doubtful=True), FAR], ["far", "a"], id="doubtful-last"),
    ],
)
def test_directory_decides_who_may_be_asked(targets: list[Target], expected: list[str]) -> None:
    assert names(make_board(*targets), 0.0) == expected


def test_cold_target_is_spared() -> None:
    cold = target("cold", "s")._replace(cold_until=5.0)
    board = make_board(cold, target("warm", "s"))
    warm(board, cold, target("warm", "s"))
    assert names(board, 4.0)[0] == "warm"
    assert {names(board, 6.0)[0] for _ in range(20)} == {"cold", "warm"}


def test_taken_back_request_tells_at_least_so_long() -> None:
    board = make_board(NEAR, FAR)
    warm(board, NEAR, FAR)
    for number in range(4):
        token = object()
        board.sent(NEAR, token, ROUTE, 4.0 + number * 0.2)
        board.withdrawn(NEAR, token, 4.18 + number * 0.2)
    assert names(board, 4.9)[0] == "far"


def test_target_whose_address_another_one_has_is_not_even_a_last_resort() -> None:
    """Each request there counts against the budget of the service that has the address now."""
    board = TargetSelector(HERE, 1)
    gone, other = target("gone", "s"), target("other", "s")
    board.set_targets({"s": (gone, other)}, 0.0)
    board.sent(gone, 1, ROUTE, 0.0)
    board.ended(gone, 1, Outcome.ELSEWHERE, None, 0.01)
    for number in range(3):
        board.sent(other, number + 2, ROUTE, 0.1)
        board.ended(other, number + 2, Outcome.NOT_SENT, None, 0.2)
    ranked = [choice.target.instance for choice in board.rank("s", ROUTE, 5.0)]
    assert ranked == ["other"]
    board.set_targets({"s": (gone,)}, 0.0)
    assert not board.has_target_at("s", HERE, 5.0)
    assert [choice.target for choice in board.rank("s", ROUTE, REPLACED_EJECT_S + 0.02)] == [gone]
