"""Counting boxes while all boxes start: the domains' parts count before boxes delegate them."""

import pytest

from trackwheel.groups.models import GroupLimit
from trackwheel.limits.budget import LimitMargin, limit_budget
from trackwheel.limits.const import COUNT_AT_START_UNTIL_S, SETTLE_S
from trackwheel.limits.counting_box import CountingBox
from trackwheel.limits.models import Delegation, Gift, GiftAsk, Stamp, TokenAsk

LIFE = 5
BUDGET = limit_budget(GroupLimit(10.0, 10.0), LimitMargin(5.0, 0.1, 20.0))
ASKED_AT = 1.5


def starting_box() -> CountingBox:
    box = CountingBox(LIFE, 5.0, 3, 0.0)
    box.set_limits({"g": BUDGET}, 0.0)
    box.set_others(("b", "c"), True, 0.0)
    return box


def ask(box: CountingBox, answers: dict[str, Gift], now: float = ASKED_AT) -> None:
    """Ask for a token; the other counting boxes answer the asks for gifts."""
    for command in box.ask("entry", TokenAsk(1, "g", 1, 1.0), now):
        message = command.message
        if isinstance(message, GiftAsk) and command.address in answers:
            gift = answers[command.address]._replace(ask_id=message.ask_id)
            box.receive_gift(command.address, gift, now)


STARTS = Gift(0, "g", 0.0, 0.0, 0, True)
COUNTS = Gift(0, "g", 0.0, 0.0, 9, False)
IS_OLD = Gift(0, "g", 0.0, 0.0, 0, False)


@pytest.mark.parametrize(
    ("answers", "part"),
    [
        pytest.param({"b": STARTS, "c": STARTS}, 0.5 / 3.0, id="all-start"),
        pytest.param({"b": STARTS}, 0.0, id="one-does-not-answer"),
        pytest.param({"b": STARTS, "c": COUNTS}, 0.0, id="one-counts"),
        pytest.param({"b": STARTS, "c": IS_OLD}, 0.0, id="one-is-old"),
    ],
)
def test_a_domains_parts_count_at_once_only_if_all_boxes_start(
    answers: dict[str, Gift], part: float
) -> None:
    box = starting_box()
    ask(box, answers)
    assert box.parts.sum == pytest.approx(part)


def test_a_box_that_starts_asks_in_turn_but_not_without_end() -> None:
    """Load: asks for gifts in quick succession while one counting box does not answer."""
    box = starting_box()
    commands = [c for n in range(50) for c in box.ask_gift("b", GiftAsk(n, "g", 1.0), 1.0)]
    assert sum(isinstance(c.message, GiftAsk) for c in commands) == 2
    assert sum(isinstance(c.message, Gift) for c in commands) == 50


def test_an_old_counting_box_does_not_count_parts_without_delegations() -> None:
    box = starting_box()
    ask(box, {"b": STARTS, "c": STARTS}, SETTLE_S)
    assert box.parts.sum == 0.0


def test_a_box_that_learns_of_an_older_one_counts_no_longer() -> None:
    """Load: two boxes of a failure domain both take themselves for its counting box."""
    box = starting_box()
    ask(box, {"b": STARTS, "c": STARTS})
    box.set_others(("b", "c"), False, 2.0)
    accrued = box.parts.accrued
    box.set_others(("b", "c"), True, 2.0)
    ask(box, {"b": STARTS, "c": STARTS}, 2.5)
    box.tick(3.0)
    assert box.parts.sum == 0.0
    assert box.parts.accrued == accrued


def test_delegated_parts_take_the_place_of_those_counted_at_start() -> None:
    box = starting_box()
    ask(box, {"b": STARTS, "c": STARTS})
    at = COUNT_AT_START_UNTIL_S - 0.2
    box.delegate("box", Delegation(9, Stamp(LIFE, at), True, True), at)
    assert box.parts.sum == pytest.approx(0.5 / 3.0)
    box.tick(COUNT_AT_START_UNTIL_S)
    assert box.parts.sum == pytest.approx(1.0 / 9.0)
