"""Target selection under process pauses: each pause counts as one observation."""

import random

import pytest

from trackwheel.gateway.const import DEFAULT_HEDGE_DELAY_S, SCORE_HALF_LIFE_S
from trackwheel.gateway.target_selector import TargetSelector

USUAL_S = 0.005
PAUSE_S = 0.5
TARGETS = ("a", "b")


def warm_selector() -> TargetSelector:
    selector = TargetSelector(seed=1)
    for number in range(400):
        for target in TARGETS:
            selector.record_latency("s", target, USUAL_S, number * 0.01)
    return selector


def pause(selector: TargetSelector, target: str, answered: bool) -> None:
    """Record forty requests that started during a pause and ended with it."""
    end = 4.0 + PAUSE_S
    for number in range(40):
        seconds = PAUSE_S * (1 - number / 40)
        if answered:
            selector.record_latency("s", target, seconds, end)
        else:
            selector.record_min_latency(target, seconds, end)


@pytest.mark.parametrize("answered", [True, False], ids=["answered", "withdrawn"])
def test_target_gets_requests_again_soon_after_a_pause(answered: bool) -> None:
    """After one pause a replica must not go without requests.

    It once got none for half a minute, so that its leaving was detected late.
    """
    selector = warm_selector()
    pause(selector, "a", answered)
    chosen = set()
    for step in range(int(SCORE_HALF_LIFE_S * 100)):
        now = 4.0 + PAUSE_S + step / 100
        target = selector.choose(TARGETS, set(), now)
        assert target is not None
        selector.record_latency("s", target, USUAL_S, now)
        chosen.add(target)
    assert chosen == set(TARGETS)


def test_hedges_are_as_early_after_a_pause_as_before() -> None:
    selector = warm_selector()
    before_s = selector.hedge_delay("s", 4.0)
    assert before_s < DEFAULT_HEDGE_DELAY_S
    for target in TARGETS:
        pause(selector, target, answered=True)
    assert selector.hedge_delay("s", 5.0) < 2 * before_s


@pytest.mark.parametrize("slow_s", [0.04, 0.5])
def test_faster_target_is_preferred(slow_s: float) -> None:
    selector = warm_selector()
    for number in range(10):
        selector.record_latency("s", "a", slow_s, 4.0 + (number + 1) * slow_s)
    now = 4.0 + 10 * slow_s
    for _ in range(10):
        selector.record_latency("s", "b", USUAL_S, now)
    assert {selector.choose(TARGETS, set(), now) for _ in range(100)} == {"b"}


def longest_gap_s(seed: int, seconds: float = 60.0, rate: float = 40.0) -> float:
    """Return the longest gap between requests of three gateways to a replica under pauses."""
    draw = random.Random(seed)
    selectors = [TargetSelector(seed=10 * seed + number) for number in range(3)]
    asked_at = dict.fromkeys(TARGETS, 0.0)
    gaps_s = []
    next_pause = draw.uniform(0.5, 1.5)
    for number in range(int(seconds * rate)):
        now = number / rate
        selector = selectors[number % len(selectors)]
        target = selector.choose(TARGETS, set(), now)
        assert target is not None
        took_s = 0.004 + draw.expovariate(1 / 0.003)
        if now >= next_pause:
            took_s = draw.uniform(0.05, 0.3)
            next_pause = now + draw.uniform(0.5, 1.5)
        selector.record_latency("s", target, took_s, now + took_s)
        gaps_s.append(now - asked_at[target])
        asked_at[target] = now
    return max([*gaps_s, *(seconds - at for at in asked_at.values())])


@pytest.mark.parametrize("seed", range(6))
def test_no_replica_goes_long_without_requests_under_pauses(seed: int) -> None:
    """Gaps between requests stay short under pauses.

    A leaving target with a wrong health page is detected by its first answer, which took seconds
    to come while the replica got no requests.
    """
    assert longest_gap_s(seed) < 2.0
