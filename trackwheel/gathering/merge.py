"""Merging the top records of several parts."""

from collections.abc import Iterable
from heapq import nlargest

from trackwheel.gathering.const import RECORD_BYTES


def split_records(body: bytes) -> list[bytes]:
    """Return the records of a body; a truncated record at the end is dropped."""
    end = len(body) - len(body) % RECORD_BYTES
    return [body[start : start + RECORD_BYTES] for start in range(0, end, RECORD_BYTES)]


def top_records(body: bytes, top_k: int) -> list[bytes]:
    """Return the `top_k` greatest records of a body in descending order."""
    return nlargest(top_k, split_records(body))


def merge_records(record_lists: Iterable[list[bytes]], top_k: int, floor: bytes = b"") -> bytes:
    """Return the `top_k` greatest records above `floor` of all parts in descending order.

    Equal records are not deduplicated.
    """
    above = (record for records in record_lists for record in records if record > floor)
    return b"".join(nlargest(top_k, above))
