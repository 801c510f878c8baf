"""The faults of a run follow from its seed."""

import pytest

from soak.const import LONGEST_FAULT_S, SETTLE_S
from soak.plan import OF_BOX, OF_LINK, OF_STORE, OF_TARGET, Fault, Kind, draw_faults

BOXES, LINKS, TARGETS = ["b0", "b1"], ["l0", "l1"], ["t0", "t1"]


def draw(seed: int, seconds: float = 20.0) -> list[Fault]:
    return draw_faults(seed, seconds, BOXES, LINKS, TARGETS)


def test_same_seed_gives_the_same_faults() -> None:
    assert draw(7) == draw(7)
    assert draw(7) != draw(8)


def test_every_kind_comes_within_a_few_seeds() -> None:
    assert {fault.kind for seed in range(20) for fault in draw(seed)} == set(Kind)


@pytest.mark.parametrize(
    ("kinds", "subjects"),
    [(OF_BOX, BOXES), (OF_LINK, LINKS), (OF_TARGET, TARGETS), (OF_STORE, [""])],
    ids=["boxes", "links", "targets", "store"],
)
def test_faults_hit_subjects_of_their_kind(kinds: tuple[Kind, ...], subjects: list[str]) -> None:
    hit = {fault.subject for seed in range(20) for fault in draw(seed) if fault.kind in kinds}
    assert hit == set(subjects)


def test_faults_end_before_the_last_look() -> None:
    ends = [fault.at + fault.for_s for seed in range(20) for fault in draw(seed, 30.0)]
    assert max(ends) <= 30.0 - SETTLE_S
    assert min(ends) >= 0.0
    assert LONGEST_FAULT_S < SETTLE_S


def test_faults_overlap() -> None:
    faults = draw(1, 30.0)
    pairs = zip(faults, faults[1:], strict=False)
    assert any(second.at < first.at + first.for_s for first, second in pairs)
