"""Merging the top records of several parts."""

import pytest

from trackwheel.gathering.merge import merge_records, split_records, top_records


def record(number: int) -> bytes:
    return bytes([number]) * 16


@pytest.mark.parametrize(
    ("body", "count"),
    [
        pytest.param(b"", 0, id="empty"),
        pytest.param(b"x" * 15, 0, id="a-rest-only"),
        pytest.param(b"x" * 16, 1, id="one"),
        pytest.param(b"x" * 47, 2, id="two-and-a-rest"),
    ],
)
def test_truncated_last_record_is_dropped(body: bytes, count: int) -> None:
    assert len(split_records(body)) == count


@pytest.mark.parametrize(
    ("lists", "top_k", "expected"),
    [
        pytest.param([[1, 5], [9]], 2, [9, 5], id="greatest-first"),
        pytest.param([[5, 5], [5]], 3, [5, 5, 5], id="equal-ones-count"),
        pytest.param([[1], []], 5, [1], id="fewer-than-asked"),
        pytest.param([[3, 200]], 2, [200, 3], id="bytes-are-unsigned"),
    ],
)
def test_merge(lists: list[list[int]], top_k: int, expected: list[int]) -> None:
    record_lists = [[record(number) for number in numbers] for numbers in lists]
    assert merge_records(record_lists, top_k) == b"".join(record(number) for number in expected)


def test_merging_in_two_steps_gives_the_same() -> None:
    bodies = [b"".join(record((7 * a + 13 * b) % 251) for b in range(9)) for a in range(6)]
    whole = merge_records([split_records(body) for body in bodies], 10)
    first = merge_records([top_records(body, 10) for body in bodies[:3]], 10)
    rest = [top_records(body, 10) for body in bodies[3:]]
    assert merge_records([split_records(first), *rest], 10) == whole
