"""The reading of requests, without a network."""

import tracemalloc
from collections.abc import Iterator
from typing import Final

import pytest

from trackwheel.http1.models import Request
from trackwheel.http1.request_reader import RequestReader
from trackwheel.routing.models import Limits

BODY_BYTES: Final = 262_144
LIMITS: Final = Limits(16_384, BODY_BYTES, 3.0, 15.0)
READ_BYTES: Final = 16_384
CHUNKED: Final = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


class RecordingListener:
    """Records the requests that a reader has read."""

    def __init__(self) -> None:
        self.requests: list[Request] = []

    def request_begun(self) -> None:
        """Ignore the beginning."""

    def head_read(self, expects_continue: bool) -> None:
        """Ignore the head."""

    def request_read(self, request: Request, keep_alive: bool) -> None:
        """Record the request."""
        self.requests.append(request)


def in_reads(data: bytes) -> Iterator[bytes]:
    return (data[start : start + READ_BYTES] for start in range(0, len(data), READ_BYTES))


@pytest.mark.parametrize("chunk_bytes", [1, 2, 4_096])
def test_unfinished_body_takes_little_more_memory_than_its_content(chunk_bytes: int) -> None:
    """Each chunk of two bytes took some fifty, so that few clients exhausted a box."""
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"c" * chunk_bytes)
    unfinished = CHUNKED + chunk * (BODY_BYTES // chunk_bytes - 1)
    reader = RequestReader(RecordingListener(), lambda: LIMITS)
    parts = list(in_reads(unfinished))
    tracemalloc.start()
    try:
        for part in parts:
            assert reader.feed(part) is None
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held_bytes < 1.5 * BODY_BYTES


@pytest.mark.parametrize("chunk_bytes", [1, 2, 4_096, BODY_BYTES])
def test_largest_body_is_read_in_any_chunking(chunk_bytes: int) -> None:
    listener = RecordingListener()
    reader = RequestReader(listener, lambda: LIMITS)
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"c" * chunk_bytes)
    for part in in_reads(CHUNKED + chunk * (BODY_BYTES // chunk_bytes) + b"0\r\n\r\n"):
        assert reader.feed(part) is None
    (request,) = listener.requests
    assert request.body == b"c" * BODY_BYTES
