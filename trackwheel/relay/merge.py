"""The greatest records of several parts."""

from collections.abc import Iterable
from heapq import nlargest

from trackwheel.relay.const import RECORD_BYTES
from trackwheel.relay.models import Part


def greatest_records(body: bytes, top_k: int) -> list[bytes]:
    """Return the greatest whole records of a body, falling; a rest is not a record."""
    end = len(body) - len(body) % RECORD_BYTES
    records = [body[start : start + RECORD_BYTES] for start in range(0, end, RECORD_BYTES)]
    records.sort(reverse=True)
    return records[:top_k]


def merge_parts(parts: Iterable[Part], top_k: int) -> bytes:
    """Return the greatest records of all parts, falling; equal ones all count."""
    records = (record for part in parts for record in part.records)
    return b"".join(nlargest(top_k, records))
