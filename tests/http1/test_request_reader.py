"""The reading of requests, without a network."""

import tracemalloc
from collections.abc import Iterator
from http import HTTPStatus
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

    def request_read(self, request: Request, size: int, keep_alive: bool) -> None:
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


@pytest.mark.parametrize(
    "repeated",
    [
        pytest.param(b"v" * 1_024, id="trailer-value"),
        pytest.param(b"v: " + b"v" * 100 + b"\r\nX-Filler: ", id="trailer-lines"),
    ],
)
def test_trailers_without_end_are_refused(repeated: bytes) -> None:
    """The parser keeps an unfinished trailer whole, and no limit counted its bytes."""
    reader = RequestReader(RecordingListener(), lambda: LIMITS)
    trailers = CHUNKED + b"1\r\nc\r\n0\r\nX-Filler: " + repeated * (200_000 // len(repeated))
    statuses = [reader.feed(part) for part in in_reads(trailers)][:4]
    assert HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE in statuses


def test_chunk_extension_without_end_is_refused() -> None:
    """No limit counted its bytes, so that only the timeout ended such a request."""
    reader = RequestReader(RecordingListener(), lambda: LIMITS)
    extension = CHUNKED + b"1;e=" + b"x" * 100_000
    statuses = [reader.feed(part) for part in in_reads(extension)][:4]
    assert HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE in statuses


@pytest.mark.parametrize("lines", [1, 500])
def test_head_is_limited_also_where_it_ends_within_one_read(lines: int) -> None:
    """Whether an oversized head passed depended on how many bytes arrived at once."""
    value = b"v" * ((LIMITS.header_bytes + 100) // lines)
    fields = b"".join(b"X-%d: %s\r\n" % (number, value) for number in range(lines))
    reader = RequestReader(RecordingListener(), lambda: LIMITS)
    status = reader.feed(b"GET /a HTTP/1.1\r\n" + fields + b"\r\n")
    assert status is HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE


def test_head_within_its_limit_is_read() -> None:
    listener = RecordingListener()
    reader = RequestReader(listener, lambda: LIMITS)
    lines = b"a: b\r\n" * ((LIMITS.header_bytes - 50) // 6)
    assert reader.feed(b"GET /a HTTP/1.1\r\n" + lines + b"\r\n") is None
    assert len(listener.requests) == 1
