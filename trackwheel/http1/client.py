"""The client side: one connection to a target, one exchange at a time."""

import asyncio
import re
from collections import deque
from collections.abc import Callable
from typing import Final, cast

import httptools

from trackwheel.clock import steady_now
from trackwheel.http1.const import (
    CARRIED_KEPT,
    CLOSE_DELIMITED_STATUSES,
    DEFAULT_REUSE_S,
    REUSE_MARGIN_S,
    TARGET_USER_TIMEOUT_MS,
)
from trackwheel.http1.models import ExchangeOutcome, ExchangeResult, Request, Response, header
from trackwheel.http1.sockets import set_tcp_options

_KEEP_ALIVE_TIMEOUT: Final = re.compile(rb"timeout=(\d+)")
_FIRST_FINAL_STATUS: Final = 200

OnEnd = Callable[[ExchangeResult], None]
Check = Callable[[Response], str]
"""Say why an answer does not belong to its request; an empty text when it does."""


def encode_request(request: Request) -> bytes:
    """Return a request's bytes; a body is sent with its length."""
    lines = [b"%s %s HTTP/1.1\r\n" % (request.method, request.target)]
    lines += [b"%s: %s\r\n" % pair for pair in request.headers]
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"content-length: %d\r\n" % len(request.body))
    lines.append(b"\r\n")
    lines.append(request.body)
    return b"".join(lines)


class ClientConnection(asyncio.Protocol):
    """Exchange requests and answers with one target.

    A connection is reused only when the last answer was read to its end, nothing came behind
    it, and the target wants to keep it.
    """

    def __init__(self, on_closed: Callable[["ClientConnection"], None]) -> None:
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._on_end: OnEnd | None = None
        self._check: Check | None = None
        self._result: ExchangeResult | None = None
        self._head_only = False
        self._closed = False
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._ended_by_close = False
        self._answer_began = False
        self.idle_since = 0.0
        self.reuse_s = DEFAULT_REUSE_S
        self.carried: deque[str] = deque(maxlen=CARRIED_KEPT)
        """The ids of the latest requests that were sent here."""
        self.silent = False
        """Whether it ended since nothing was acknowledged on it any more."""

    @property
    def open(self) -> bool:
        """Return whether a request may still be sent here."""
        closing = self._transport is None or self._transport.is_closing()
        return not self._closed and not closing

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the new connection."""
        # uvloop's transports are no subclasses of the one in asyncio.
        self._transport = cast(asyncio.Transport, transport)
        set_tcp_options(transport, TARGET_USER_TIMEOUT_MS)

    def send(self, request: Request, check: Check, on_end: OnEnd) -> None:
        """Send a request; `on_end` is called once, unless the exchange is abandoned."""
        assert self._transport is not None and self._on_end is None
        self._parser = httptools.HttpResponseParser(self)
        self._on_end = on_end
        self._check = check
        self._head_only = request.method == b"HEAD"
        self._answer_began = False
        self._transport.write(encode_request(request))

    def abandon(self) -> None:
        """Close without waiting for the answer; most targets then drop the work."""
        self._on_end = None
        self._close()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; bytes that belong to no exchange close the connection."""
        if self._on_end is None or self._parser is None:
            self._close()
            return
        self._answer_began = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # Behind a whole answer, bytes that are no answer only cost the connection.
            self._close()
            if self._result is None:
                self._result = ExchangeResult(
                    ExchangeOutcome.BROKEN, None, f"not an answer: {error}"
                )
        self._deliver()

    def eof_received(self) -> bool:
        """Complete an answer whose end is the end of the connection."""
        if self._ended_by_close and self._on_end is not None:
            self._complete(reusable=False)
            self._deliver()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange under way as broken."""
        self.silent = isinstance(exc, TimeoutError)
        self._close()
        if self._on_end is not None:
            detail = f"connection lost: {exc!r}" if exc else "closed by the target"
            # Silence says nothing of the target; what began to answer is no sudden end.
            closed = not self.silent and not self._answer_began
            kind = ExchangeOutcome.CLOSED if closed else ExchangeOutcome.BROKEN
            self._result = ExchangeResult(kind, None, detail)
            self._deliver()

    def on_message_begin(self) -> None:
        """Begin an answer; a second one behind a whole one belongs to no request."""
        if self._result is not None:
            self._close()
            return
        self._status = 0
        self._headers = []
        self._body = []
        self._ended_by_close = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        if self._result is None:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Find out how the body ends."""
        assert self._parser is not None
        if self._result is not None:
            return
        self._status = self._parser.get_status_code()
        if self._head_only and self._status >= _FIRST_FINAL_STATUS:
            self._complete(reusable=False)
            return
        names = {name for name, _ in self._headers}
        framed = b"content-length" in names or b"transfer-encoding" in names
        has_body = self._status not in CLOSE_DELIMITED_STATUSES
        self._ended_by_close = not framed and has_body and self._status >= _FIRST_FINAL_STATUS

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if self._result is None:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """End the exchange when its answer is whole."""
        assert self._parser is not None
        if self._result is not None or self._status < _FIRST_FINAL_STATUS:
            return
        self._complete(reusable=self._parser.should_keep_alive() and not self._ended_by_close)

    def _complete(self, reusable: bool) -> None:
        """Note the whole answer; it is delivered after all bytes at hand were looked at."""
        assert self._check is not None
        answer = Response(self._status, tuple(self._headers), b"".join(self._body))
        foreign = self._check(answer)
        if foreign:
            self._close()
            self._result = ExchangeResult(ExchangeOutcome.BROKEN, None, foreign)
            return
        self.idle_since = steady_now()
        self.reuse_s = _reuse_time(answer)
        if not reusable:
            self._close()
        self._result = ExchangeResult(ExchangeOutcome.ANSWERED, answer, "")

    def _deliver(self) -> None:
        """Tell the end of the exchange, if it has come."""
        result, on_end = self._result, self._on_end
        if result is None:
            return
        self._result = self._on_end = None
        if on_end is not None:
            on_end(result)

    def _close(self) -> None:
        if self._closed:
            return
        self._closed = True
        if self._transport is not None:
            self._transport.abort()
        self._on_closed(self)


def _reuse_time(answer: Response) -> float:
    """Return how long the connection may rest before it is used no more (seconds)."""
    told = _KEEP_ALIVE_TIMEOUT.search(header(answer.headers, b"keep-alive") or b"")
    if told is None:
        return DEFAULT_REUSE_S
    return max(0.0, int(told.group(1)) - REUSE_MARGIN_S)
