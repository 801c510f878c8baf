"""HTTP client: a connection to one target with one exchange at a time."""

import asyncio
import re
from collections import deque
from collections.abc import Callable
from typing import Final, cast

import httptools

from trackwheel.clock import steady_now
from trackwheel.http1.answer_limits import AnswerLimits
from trackwheel.http1.const import (
    BODILESS_STATUSES,
    DEFAULT_MAX_IDLE_S,
    FIRST_FINAL_STATUS,
    FIRST_STATUS,
    KEEP_ALIVE_MARGIN_S,
    LAST_STATUS,
    MAX_FRAMING_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEADERS,
    MAX_RECENT_REQUEST_IDS,
    TARGET_USER_TIMEOUT_MS,
)
from trackwheel.http1.models import ExchangeOutcome, ExchangeResult, Request, Response, header
from trackwheel.http1.sockets import set_tcp_options

_KEEP_ALIVE_TIMEOUT: Final = re.compile(rb"timeout=(\d+)")

OnResult = Callable[[ExchangeResult], None]
Check = Callable[[Response], str]
"""Returns why an answer does not belong to its request, or an empty string if it does."""


def encode_head(request: Request) -> bytes:
    """Return the head of a request as bytes; a body is sent with a Content-Length header."""
    lines = [b"%s %s HTTP/1.1\r\n" % (request.method, request.target)]
    lines += [b"%s: %s\r\n" % pair for pair in request.headers]
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"content-length: %d\r\n" % len(request.body))
    lines.append(b"\r\n")
    return b"".join(lines)


class ClientConnection(asyncio.Protocol):
    """Send requests to one target and receive their answers, one at a time.

    A connection is reused only if the last answer was read completely, no bytes followed it, and
    the target keeps the connection alive. An answer that exceeds the limits ends it at once.
    """

    def __init__(
        self, on_closed: Callable[["ClientConnection"], None], limits: AnswerLimits
    ) -> None:
        self._on_closed = on_closed
        self._limits = limits
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._on_result: OnResult | None = None
        self._check: Check | None = None
        self._result: ExchangeResult | None = None
        self._head_only = False
        self._closed = False
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._received_bytes = 0
        self._body_bytes = 0
        self._is_chunked = False
        self._oversized = ""
        """Which limit the answer exceeds, empty if none."""
        self._close_delimited = False
        self._response_started = False
        self.idle_since = 0.0
        self.max_idle_s = DEFAULT_MAX_IDLE_S
        self.recent_request_ids: deque[str] = deque(maxlen=MAX_RECENT_REQUEST_IDS)
        """Ids of the latest requests sent on this connection."""
        self.timed_out = False
        """Whether the connection was lost because sent data was not acknowledged."""

    @property
    def open(self) -> bool:
        """Return whether another request may be sent on this connection."""
        closing = self._transport is None or self._transport.is_closing()
        return not self._closed and not closing

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its TCP options."""
        # uvloop's transports do not subclass asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        set_tcp_options(transport, TARGET_USER_TIMEOUT_MS)

    def send(self, request: Request, check: Check, on_result: OnResult) -> None:
        """Send a request; `on_result` is called once, unless the exchange is abandoned."""
        assert self._transport is not None and self._on_result is None
        self._parser = httptools.HttpResponseParser(self)
        self._on_result = on_result
        self._check = check
        self._head_only = request.method == b"HEAD"
        self._response_started = False
        self._received_bytes = self._body_bytes = 0
        self._is_chunked = False
        self._transport.write(encode_head(request))
        if request.body:
            # Not joined to the head: one body may go to hundreds of targets at once.
            self._transport.write(request.body)

    def abandon(self) -> None:
        """Close without waiting for the answer; most targets then cancel the request."""
        self._on_result = self._check = self._parser = None
        self._headers, self._body = [], bytearray()
        self._close()

    def end_oversized(self, detail: str) -> None:
        """Close the connection and end the exchange, since its answer is too large."""
        self._close()
        self._result = ExchangeResult(ExchangeOutcome.OVERSIZED, None, detail)
        self._report_result()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; close the connection on data outside an exchange."""
        if self._on_result is None or self._parser is None:
            self._close()
            return
        self._response_started = True
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # Invalid data after a complete answer closes the connection, but the answer is valid.
            self._close()
            if self._result is None:
                self._result = ExchangeResult(
                    ExchangeOutcome.BROKEN, None, f"invalid HTTP response: {error}"
                )
        if self._result is not None:
            self._report_result()
        elif exceeded := self._exceeded_limit():
            self.end_oversized(exceeded)
        else:
            self._limits.hold(self, self._received_bytes)

    def _exceeded_limit(self) -> str:
        """Return which limit the unfinished answer exceeds, empty if none."""
        if self._oversized:
            return self._oversized
        other_bytes = self._received_bytes - self._body_bytes
        if not self._is_chunked:
            return f"head over {MAX_HEAD_BYTES} bytes" if other_bytes > MAX_HEAD_BYTES else ""
        if other_bytes > MAX_HEAD_BYTES + MAX_FRAMING_BYTES + self._body_bytes:
            return f"chunk framing over {MAX_FRAMING_BYTES} bytes beyond its content"
        return ""

    def eof_received(self) -> bool:
        """Complete an answer that is delimited by the end of the connection."""
        if self._close_delimited and self._on_result is not None:
            self._complete(reusable=False)
            self._report_result()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the current exchange as closed or broken."""
        self.timed_out = isinstance(exc, TimeoutError)
        self._close()
        if self._on_result is not None:
            detail = f"connection lost: {exc!r}" if exc else "connection closed by the target"
            # CLOSED is reserved for a close before the first byte of an answer. A time-out does not
            # show that the target closed the connection.
            closed = not self.timed_out and not self._response_started
            outcome = ExchangeOutcome.CLOSED if closed else ExchangeOutcome.BROKEN
            self._result = ExchangeResult(outcome, None, detail)
            self._report_result()

    def on_message_begin(self) -> None:
        """Start an answer; close the connection if it follows a complete one without a request."""
        if self._result is not None:
            self._close()
            return
        self._status = 0
        self._headers = []
        self._body = bytearray()
        self._close_delimited = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        if self._result is not None:
            return
        if len(self._headers) >= MAX_HEADERS:
            self._oversized = f"over {MAX_HEADERS} headers"
            return
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Determine how the end of the body is marked."""
        assert self._parser is not None
        if self._result is not None:
            return
        self._status = self._parser.get_status_code()
        if not FIRST_STATUS <= self._status <= LAST_STATUS:
            self._end_broken(f"status {self._status:03}")
            return
        if sum(len(name) + len(value) for name, value in self._headers) > MAX_HEAD_BYTES:
            # The size of the received data also counts, but only while the answer is incomplete.
            self._oversized = f"head over {MAX_HEAD_BYTES} bytes"
            return
        if self._head_only and self._status >= FIRST_FINAL_STATUS:
            self._complete(reusable=False)
            return
        names = {name for name, _ in self._headers}
        self._is_chunked = b"transfer-encoding" in names
        framed = b"content-length" in names or self._is_chunked
        has_body = self._status not in BODILESS_STATUSES
        self._close_delimited = not framed and has_body and self._status >= FIRST_FINAL_STATUS
        length = header(tuple(self._headers), b"content-length")
        if has_body and length is not None:
            self._check_body_size(int(length))

    def on_body(self, body: bytes) -> None:
        """Add a chunk of the body."""
        if self._result is not None or self._oversized:
            return
        self._body_bytes += len(body)
        self._check_body_size(self._body_bytes)
        if not self._oversized:
            self._body += body

    def _check_body_size(self, size: int) -> None:
        if size > self._limits.body_bytes:
            self._oversized = f"body over {self._limits.body_bytes} bytes"

    def on_message_complete(self) -> None:
        """Complete the answer unless it is an interim response."""
        assert self._parser is not None
        if self._result is not None or self._oversized or self._status < FIRST_FINAL_STATUS:
            return
        self._complete(reusable=self._parser.should_keep_alive() and not self._close_delimited)

    def _complete(self, reusable: bool) -> None:
        """Store the result; it is reported after all received data was parsed."""
        assert self._check is not None
        answer = Response(self._status, tuple(self._headers), bytes(self._body))
        mismatch = self._check(answer)
        if mismatch:
            self._end_broken(mismatch)
            return
        self.idle_since = steady_now()
        self.max_idle_s = _max_idle_time(answer)
        if not reusable:
            self._close()
        self._result = ExchangeResult(ExchangeOutcome.ANSWERED, answer, "")

    def _end_broken(self, detail: str) -> None:
        """Close the connection and store the result of an answer that cannot be used."""
        self._close()
        self._result = ExchangeResult(ExchangeOutcome.BROKEN, None, detail)

    def _report_result(self) -> None:
        """Report the result of the exchange if there is one, and drop what belonged to it."""
        result, on_result = self._result, self._on_result
        if result is None:
            return
        self._result = self._on_result = self._check = self._parser = None
        self._headers, self._body = [], bytearray()
        self._oversized = ""
        self._limits.hold(self, 0)
        if on_result is not None:
            on_result(result)

    def _close(self) -> None:
        if self._closed:
            return
        self._closed = True
        self._limits.hold(self, 0)
        if self._transport is not None:
            self._transport.abort()
        self._on_closed(self)


def _max_idle_time(answer: Response) -> float:
    """Return how long the connection may be idle and still be reused (seconds)."""
    timeout = _KEEP_ALIVE_TIMEOUT.search(header(answer.headers, b"keep-alive") or b"")
    if timeout is None:
        return DEFAULT_MAX_IDLE_S
    return max(0.0, int(timeout.group(1)) - KEEP_ALIVE_MARGIN_S)
