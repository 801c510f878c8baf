"""The greatest records of several parts."""

from collections.abc import Iterable
from heapq import nlargest

from trackwheel.relay.const import RECORD_BYTES


def split_records(body: bytes) -> list[bytes]:
    """Return the whole records of a body; a rest is not a record."""
    end = len(body) - len(body) % RECORD_BYTES
    return [body[start : start + RECORD_BYTES] for start in range(0, end, RECORD_BYTES)]


def greatest_records(body: bytes, top_k: int) -> list[bytes]:
    """Return the greatest records of a body, falling."""
    return nlargest(top_k, split_records(body))


def merge_records(record_lists: Iterable[list[bytes]], top_k: int, floor: bytes = b"") -> bytes:
    """Return the greatest records of all parts that are above a floor, falling.

    Equal ones all count.
    """
    above = (record for records in record_lists for record in records if record > floor)
    return b"".join(nlargest(top_k, above))
