"""Each shard counts once, and late shards are asked only for records that can be in the answer."""

from collections.abc import Callable
from itertools import permutations
from random import Random

import pytest

from trackwheel.gathering.merge import merge_records
from trackwheel.gathering.parts import ReceivedParts
from trackwheel.relay.models import Part

SHARDS = ("a", "b", "c", "d")


def record(number: int) -> bytes:
    return number.to_bytes(16, "big")


def part(*numbers: int) -> Part:
    return Part(b"sig", [record(number) for number in numbers])


@pytest.mark.parametrize(
    ("own", "merged", "by_peer", "expected"),
    [
        pytest.param({}, [], (), b"", id="nothing-is-in"),
        pytest.param({"a": part(9, 8)}, [], (), b"", id="too-few"),
        pytest.param({"a": part(9, 8, 1)}, [], (), record(1), id="just-enough"),
        pytest.param({"a": part(9, 3), "b": part(8, 2)}, [], (), record(3), id="two-parts"),
        pytest.param({"a": part(9, 8, 7)}, [], ("a",), b"", id="part-that-may-be-replaced"),
        pytest.param({"a": part(5)}, [9, 7, 6], ("b", "c"), record(6), id="merged-records-stay"),
    ],
)
def test_floor_is_the_least_record_that_can_count(
    own: dict[str, Part], merged: list[int], by_peer: tuple[str, ...], expected: bytes
) -> None:
    parts = ReceivedParts(SHARDS, 3)
    parts.expect_merged(by_peer)
    for shard, taken in own.items():
        parts.add(shard, taken)
    if merged:
        records = [record(number) for number in merged]
        parts.add_merged(by_peer, dict.fromkeys(by_peer, b"sig"), records)
    assert parts.floor() == expected


@pytest.mark.parametrize("seed", range(30))
def test_answer_is_the_same_with_and_without_the_records_below_the_floor(seed: int) -> None:
    random = Random(seed)
    records_by_shard = {
        shard: sorted(record(random.randrange(12)) for _ in range(random.randrange(6)))[::-1]
        for shard in SHARDS
    }
    parts = ReceivedParts(SHARDS, 3)
    for shard in SHARDS[:3]:
        parts.add(shard, Part(b"sig", records_by_shard[shard]))
    floor = parts.floor()
    late = [found for found in records_by_shard["d"] if found > floor]
    in_hand = parts.gathered().record_lists
    with_floor = merge_records([*in_hand, late], 3)
    assert with_floor == merge_records([*in_hand, records_by_shard["d"]], 3)


@pytest.mark.parametrize("order", list(permutations(range(3))), ids=str)
def test_shards_that_come_twice_count_once(order: tuple[int, ...]) -> None:
    """A shard arrives singly from one peer, merged from another one, and from its target."""
    parts = ReceivedParts(SHARDS, 3)
    steps: list[Callable[[], object]] = [
        lambda: parts.add_merged(("a",), {"a": b"single"}, [record(1)]),
        lambda: parts.add_merged(("a", "b"), {"a": b"m", "b": b"m"}, [record(2), record(3)]),
        lambda: parts.add("a", part(4)),
    ]
    for step in order:
        steps[step]()
    gathered = parts.gathered()
    assert gathered.signature_by_shard == {"a": b"m", "b": b"m"}
    assert gathered.record_lists == [[record(2), record(3)]]
    assert gathered.missing == 2


@pytest.mark.parametrize("shards", [("a", "x"), ("a", "d")], ids=["not-asked", "asked-of-another"])
def test_foreign_merged_records_do_not_count(shards: tuple[str, ...]) -> None:
    parts = ReceivedParts(SHARDS, 3)
    assert parts.add_merged(("a", "b"), dict.fromkeys(shards, b"m"), [record(1)]) == []
    assert len(parts) == 0
