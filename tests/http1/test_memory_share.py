"""A limit on the memory of many holders, without a network."""

import pytest

from trackwheel.http1.memory_share import MemoryShare


def make_share(limit_bytes: int = 100) -> tuple[MemoryShare[str], list[str]]:
    dropped: list[str] = []
    return MemoryShare(limit_bytes, dropped.append), dropped


@pytest.mark.parametrize(
    ("held", "dropped"),
    [
        pytest.param([("a", 50), ("b", 50)], [], id="at-the-limit"),
        pytest.param([("a", 40), ("b", 60), ("c", 1)], ["b"], id="largest-not-newest"),
        pytest.param([("a", 40), ("b", 40), ("c", 40)], ["a"], id="oldest-of-equal-ones"),
        pytest.param(
            [("a", 40), ("b", 40), ("a", 40), ("c", 40)], ["b"], id="unchanged-for-longest"
        ),
        pytest.param([("a", 40), ("b", 50), ("c", 101)], ["c"], id="alone-over-the-limit"),
        pytest.param([("a", 90), ("a", 0), ("b", 90)], [], id="released"),
        pytest.param([("a", 10), ("a", 30), ("b", 70)], [], id="grown"),
    ],
)
def test_holder_of_most_is_dropped_first(held: list[tuple[str, int]], dropped: list[str]) -> None:
    """Each client held no more than its own limit, and all together the memory of a box."""
    share, actual = make_share()
    for holder, size in held:
        share.hold(holder, size)
    assert actual == dropped
    assert share.held_bytes <= share.limit_bytes


def test_small_reservations_are_made_while_large_ones_are_refused() -> None:
    """An ordinary client comes later than a crowd, and with a smaller request."""
    share, _ = make_share(1_000_000)
    large = 0
    while share.reserve(100_000):
        large += 1
    assert large >= 1
    assert all(share.reserve(100) for _ in range(100))


def test_reservation_drops_holders_and_never_another_reservation() -> None:
    share, dropped = make_share(1_000)
    assert share.reserve(100)
    share.hold("a", 850)
    assert share.reserve(100)
    assert dropped == ["a"]
    assert share.held_bytes == 200
    share.release(200)
    assert share.held_bytes == 0
