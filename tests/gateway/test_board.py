"""What a gateway learns of targets beside pauses: one pause is one observation."""

import random

import pytest

from trackwheel.gateway.board import Board
from trackwheel.gateway.const import DEFAULT_HEDGE_DELAY_S, SCORE_HALF_LIFE_S

USUAL_S = 0.005
PAUSE_S = 0.5
TARGETS = ("a", "b")


def warm_board() -> Board:
    board = Board(seed=1)
    for number in range(400):
        for target in TARGETS:
            board.learn_latency("s", target, USUAL_S, number * 0.01)
    return board


def pause(board: Board, target: str, answered: bool) -> None:
    """Let forty requests that began within one pause end with it."""
    end = 4.0 + PAUSE_S
    for number in range(40):
        seconds = PAUSE_S * (1 - number / 40)
        if answered:
            board.learn_latency("s", target, seconds, end)
        else:
            board.learn_at_least(target, seconds, end)


@pytest.mark.parametrize("answered", [True, False], ids=["answered", "withdrawn"])
def test_target_that_paused_once_gets_work_again_soon(answered: bool) -> None:
    """One replica got nothing for half a minute after a pause: that it leaves was found late."""
    board = warm_board()
    pause(board, "a", answered)
    chosen = set()
    for step in range(int(SCORE_HALF_LIFE_S * 100)):
        now = 4.0 + PAUSE_S + step / 100
        target = board.choose(TARGETS, set(), now)
        assert target is not None
        board.learn_latency("s", target, USUAL_S, now)
        chosen.add(target)
    assert chosen == set(TARGETS)


def test_hedges_are_as_early_after_a_pause_as_before() -> None:
    board = warm_board()
    before_s = board.hedge_delay("s", 4.0)
    assert before_s < DEFAULT_HEDGE_DELAY_S
    for target in TARGETS:
        pause(board, target, answered=True)
    assert board.hedge_delay("s", 5.0) < 2 * before_s


@pytest.mark.parametrize("slow_s", [0.04, 0.5])
def test_slower_target_is_left_for_the_other_one(slow_s: float) -> None:
    board = warm_board()
    for number in range(10):
        board.learn_latency("s", "a", slow_s, 4.0 + (number + 1) * slow_s)
    now = 4.0 + 10 * slow_s
    for _ in range(10):
        board.learn_latency("s", "b", USUAL_S, now)
    assert {board.choose(TARGETS, set(), now) for _ in range(100)} == {"b"}


def longest_gap_s(seed: int, seconds: float = 60.0, rate: float = 40.0) -> float:
    """Return the longest time in which a replica got nothing from three gateways beside pauses."""
    draw = random.Random(seed)
    boards = [Board(seed=10 * seed + number) for number in range(3)]
    asked_at = dict.fromkeys(TARGETS, 0.0)
    gaps_s = []
    next_pause = draw.uniform(0.5, 1.5)
    for number in range(int(seconds * rate)):
        now = number / rate
        board = boards[number % len(boards)]
        target = board.choose(TARGETS, set(), now)
        assert target is not None
        took_s = 0.004 + draw.expovariate(1 / 0.003)
        if now >= next_pause:
            took_s = draw.uniform(0.05, 0.3)
            next_pause = now + draw.uniform(0.5, 1.5)
        board.learn_latency("s", target, took_s, now + took_s)
        gaps_s.append(now - asked_at[target])
        asked_at[target] = now
    return max([*gaps_s, *(seconds - at for at in asked_at.values())])


@pytest.mark.parametrize("seed", range(6))
def test_no_replica_is_left_without_work_for_long_beside_pauses(seed: int) -> None:
    """A leaving target whose page lies is found by its first answer, which came after seconds."""
    assert longest_gap_s(seed) < 2.0
