"""Parses the requests of one connection, within the limits on their size."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

import httptools

from trackwheel.clock import steady_now
from trackwheel.http1.const import HEADER_LINE_BYTES, REQUEST_BYTES
from trackwheel.http1.models import Request
from trackwheel.routing.models import Limits


class RequestListener(Protocol):
    """Is told what a reader has read."""

    def request_begun(self) -> None:
        """Handle the first byte of a request."""

    def head_read(self, expects_continue: bool) -> None:
        """Handle the end of a request's headers."""

    def request_read(self, request: Request, size: int, keep_alive: bool) -> None:
        """Handle a complete request, which takes `size` bytes of memory."""


class _RefusedError(Exception):
    """Ends parsing: the rest of the data belongs to a refused request."""


class RequestReader:
    """Read requests one after the other; after a refused one, nothing more may be fed."""

    def __init__(self, listener: RequestListener, limits: Callable[[], Limits]) -> None:
        self._listener = listener
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._refusal = HTTPStatus.BAD_REQUEST
        self._first_request = True
        self.in_message = False
        """Whether a part of a request has been read."""
        self.head_read = False
        self._header_bytes = 0
        """Received since the end of the last request, until the head is read."""
        self._framing_bytes = 0
        """Received in reads without any content: chunk extensions and trailers."""
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._headers_bytes = 0
        """Memory of the request target and the headers."""
        self._body = bytearray()
        self.chunks_read = 0
        """Parts of bodies in the last data."""

    def feed(self, data: bytes | memoryview) -> HTTPStatus | None:
        """Parse data; return the status of the refusal if a request is invalid or too large."""
        self.chunks_read = 0
        if not self.head_read:
            self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return self._refusal
        if self.head_read:
            self._framing_bytes = 0 if self.chunks_read else self._framing_bytes + len(data)
        limit = self._limits().header_bytes
        oversized = self._framing_bytes if self.head_read else self._header_bytes
        return HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE if oversized > limit else None

    @property
    def held_bytes(self) -> int:
        """Return the memory of the unfinished request."""
        if not self.in_message:
            return 0
        # The parser keeps an unfinished line whole.
        return self._size + self._header_bytes + self._framing_bytes

    @property
    def _size(self) -> int:
        return REQUEST_BYTES + self._headers_bytes + len(self._body)

    def drop(self) -> None:
        """Drop what has been read of an unfinished request."""
        self._url, self._headers, self._body = b"", [], bytearray()
        self._headers_bytes = 0

    def close(self) -> None:
        """Drop the parser, which refers back to this reader, and an unfinished request."""
        self.drop()
        del self._parser

    def on_message_begin(self) -> None:
        """Start a request."""
        self.in_message = True
        self.head_read = False
        self.drop()
        self._listener.request_begun()

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        self._url += url
        self._headers_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers, which follow the body, are dropped."""
        if not self.head_read:
            self._headers.append((name.lower(), value))
            self._headers_bytes += len(name) + len(value) + HEADER_LINE_BYTES

    def on_headers_complete(self) -> None:
        """Check the announced size of the body."""
        self.head_read = True
        self._header_bytes = self._framing_bytes = 0
        lines_bytes = self._headers_bytes - HEADER_LINE_BYTES * len(self._headers)
        if lines_bytes > self._limits().header_bytes:
            # The bytes received are checked only after a read that leaves the head unfinished.
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        expects_continue = False
        for name, value in self._headers:
            if name == b"content-length" and int(value) > self._limits().body_bytes:
                self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            expects_continue = expects_continue or name == b"expect"
        self._listener.head_read(expects_continue)

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        if len(self._body) + len(body) > self._limits().body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        self._body += body
        self.chunks_read += 1

    def on_message_complete(self) -> None:
        """Pass the complete request on."""
        self.in_message = False
        self.head_read = False
        request = Request(
            self._parser.get_method(),
            self._url,
            tuple(self._headers),
            bytes(self._body),
            steady_now(),
            self._first_request,
        )
        size = self._size
        self._first_request = False
        self.drop()
        self._listener.request_read(request, size, self._parser.should_keep_alive())

    def _refuse(self, status: HTTPStatus) -> None:
        """Refuse the request that is being read."""
        self._refusal = status
        raise _RefusedError
