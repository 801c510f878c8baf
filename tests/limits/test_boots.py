"""Messages for an earlier boot of a box, which arrive at its next boot at the same address."""

from trackwheel.groups.models import GroupLimit
from trackwheel.limits.budget import LimitMargin, limit_budget
from trackwheel.limits.counting_box import CountingBox
from trackwheel.limits.entry_limiter import EntryLimiter
from trackwheel.limits.models import Gift, GiftAsk, SendLimit, TokenAsk, TokenGrant

BUDGET = limit_budget(GroupLimit(10.0, 10.0), LimitMargin(5.0, 0.1, 20.0))
BOOTS = (0x3F00_0000_0001, 0x71A0_0000_0002)


def start_limiter(seed: int) -> tuple[EntryLimiter, int]:
    """Return a limiter with a request that waits for a token, and the id of its ask."""
    limiter = EntryLimiter(5.0, seed)
    limiter.set_limits({"g": BUDGET})
    limiter.set_counters(("counting",))
    (command,) = limiter.arrive(1, "g", 0.0)
    assert isinstance(command, SendLimit)
    assert isinstance(command.message, TokenAsk)
    return limiter, command.message.ask_id


def start_counting_box(life: int) -> tuple[CountingBox, int]:
    """Return a counting box that has asked another one for a gift, and the id of its ask."""
    box = CountingBox(life, 5.0, 2, 0.0)
    box.set_limits({"g": BUDGET}, 0.0)
    box.set_others(("other",), True, 0.0)
    (ask_id,) = (
        command.message.ask_id
        for command in box.ask("entry", TokenAsk(1, "g", 1, 1.0), 0.0)
        if isinstance(command.message, GiftAsk)
    )
    return box, ask_id


def test_grant_to_an_earlier_boot_of_a_box_is_not_used() -> None:
    """Tokens that had lapsed were used: a grant was taken for the answer to a later ask."""
    _, earlier_ask = start_limiter(BOOTS[0])
    limiter, _ = start_limiter(BOOTS[1])
    assert (
        limiter.receive_grant("counting", TokenGrant(earlier_ask, "g", 5.0, 0.0, True), 0.1) == []
    )


def test_gift_to_an_earlier_boot_of_a_counting_box_is_not_used() -> None:
    """Tokens that had lapsed were granted: a gift was taken for the answer to a later ask."""
    _, earlier_ask = start_counting_box(BOOTS[0])
    box, _ = start_counting_box(BOOTS[1])
    assert box.receive_gift("other", Gift(earlier_ask, "g", 5.0, 0.0, 1, False), 0.1) == []
    assert box.tokens("g", 0.1) == 0.0
