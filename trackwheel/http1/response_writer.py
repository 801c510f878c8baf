"""Writes the answers of one connection as fast as its client reads them."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import Final

from trackwheel.http1.const import WRITE_BYTES
from trackwheel.http1.models import Headers, Response

_REASON_BY_STATUS: Final = {status.value: status.phrase.encode() for status in HTTPStatus}


class ResponseWriter:
    """Write data in order; what the client has not read stays here and is counted.

    `on_unsent` is called with the unsent bytes whenever they change, at last with 0.
    """

    def __init__(self, transport: asyncio.Transport, on_unsent: Callable[[int], None]) -> None:
        self._transport = transport
        self._on_unsent = on_unsent
        self._queue: deque[memoryview] = deque()
        self._paused = False
        self.unsent_bytes = 0
        """Of the data that has not been written whole."""
        # The transport then reports all that the kernel does not take at once.
        transport.set_write_buffer_limits(high=0)

    def write(self, *parts: bytes) -> None:
        """Write data, or queue it behind earlier data that the client has not read."""
        size = sum(map(len, parts))
        if size <= WRITE_BYTES:
            parts = (b"".join(parts),)
        for part in parts:
            self._queue.extend(_pieces(part))
        self._write_queued()
        if self._paused:
            self._set_unsent(self.unsent_bytes + size)

    @property
    def left_bytes(self) -> int:
        """Return what the kernel has not taken yet."""
        return self._transport.get_write_buffer_size() + sum(map(len, self._queue))

    def pause(self) -> None:
        """Stop writing: the client does not read."""
        self._paused = True

    def resume(self) -> None:
        """Go on writing: the client has read all that the transport held."""
        self._paused = False
        self._write_queued()
        if not self._paused and self.unsent_bytes:
            self._set_unsent(0)

    def abort(self) -> None:
        """Close the connection and drop what has not been sent."""
        self._queue.clear()
        self._transport.abort()

    def _write_queued(self) -> None:
        while self._queue and not self._paused:
            self._transport.write(self._queue.popleft())

    def _set_unsent(self, size: int) -> None:
        if size != self.unsent_bytes:
            self.unsent_bytes = size
            self._on_unsent(size)


def _pieces(data: bytes) -> Iterator[memoryview]:
    """Return data in pieces, none of which keeps the event loop for long."""
    whole = memoryview(data)
    return (whole[start : start + WRITE_BYTES] for start in range(0, len(data), WRITE_BYTES))


def encode_response(response: Response, head_only: bool, keep_alive: bool) -> tuple[bytes, bytes]:
    """Return head and body of a response, with Content-Length and Connection as needed."""
    reason = _REASON_BY_STATUS.get(response.status, b"Status")
    lines = [b"HTTP/1.1 %d %s\r\n" % (response.status, reason)]
    lines += [b"%s: %s\r\n" % pair for pair in response.headers]
    length = _content_length(response.headers)
    if length is None:
        lines.append(b"content-length: %d\r\n" % len(response.body))
    if not keep_alive:
        lines.append(b"connection: close\r\n")
    lines.append(b"\r\n")
    return b"".join(lines), b"" if head_only else response.body


def _content_length(headers: Headers) -> bytes | None:
    return next((value for name, value in headers if name == b"content-length"), None)
