"""HTTP server: connections from clients, handling one request at a time on each."""

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import NamedTuple, Protocol, cast

from trackwheel.clock import steady_now
from trackwheel.http1.client_limits import ClientLimits, EndCause
from trackwheel.http1.connection_table import ConnectionTable, Use
from trackwheel.http1.const import (
    ANSWER_STALL_S,
    CONNECTION_BYTES,
    DEFAULT_MAX_CONNECTIONS,
    MAX_CHUNKS_PER_READ,
    MAX_PIPELINED_REQUESTS,
    NEW_CONNECTION_GRACE_S,
    READ_BYTES,
    RECEIVE_BUFFER_BYTES,
    REFUSED_RETRY_AFTER_S,
)
from trackwheel.http1.models import Request, Response
from trackwheel.http1.read_turns import ReadTurns
from trackwheel.http1.request_reader import RequestReader
from trackwheel.http1.response_writer import ResponseWriter, encode_response
from trackwheel.http1.sockets import set_tcp_options
from trackwheel.routing.models import Limits


class Exchange(Protocol):
    """The handler's side of one request."""

    @property
    def on_disconnect(self) -> Callable[[], None] | None:
        """Return the callback for a client that disconnects before its answer is written."""

    @on_disconnect.setter
    def on_disconnect(self, handler: Callable[[], None]) -> None: ...

    @property
    def on_stop(self) -> Callable[[], None] | None:
        """Return the callback that answers at once, for a server that stops."""

    @on_stop.setter
    def on_stop(self, handler: Callable[[], None]) -> None: ...

    def respond(self, response: Response) -> None:
        """Send the answer; ignored if one was already sent or the client has disconnected."""


Handler = Callable[[Request, Exchange], None]


class ServerState:
    """State shared by all connections of one server."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], Limits],
        on_ended: Callable[[EndCause, HTTPStatus | None], None] = lambda cause, status: None,
        client_limits: ClientLimits | None = None,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.on_ended = on_ended
        self.client_limits = client_limits or ClientLimits()
        self.stopping = False
        self.turns = ReadTurns()
        self.read_buffer = bytearray(READ_BYTES)
        """Used by all connections: what one has read is parsed before another one reads."""
        self.connections: ConnectionTable[ServerConnection] = ConnectionTable(max_connections)

    @property
    def busy(self) -> int:
        """Return the number of connections with a request in progress."""
        return sum(connection.busy for connection in self.connections)

    def count_end(self, cause: EndCause, status: HTTPStatus | None = None) -> None:
        """Count and report a request that was refused with a status, or a closed connection."""
        self.client_limits.ended_by_cause[(cause.value,)] += 1
        self.on_ended(cause, status)

    def end_requests(self) -> None:
        """Have every request in progress answered at once."""
        for connection in tuple(self.connections):
            connection.end_request()

    def refuse_unread(self, retry_after_s: float) -> None:
        """Refuse the requests of which only a part has been read."""
        for connection in tuple(self.connections):
            connection.refuse_unread(retry_after_s)

    def close_idle(self) -> None:
        """Close idle connections, except new ones that may still send their first request."""
        opened_before = steady_now() - NEW_CONNECTION_GRACE_S
        for connection in tuple(self.connections):
            if not connection.busy and connection.opened_at < opened_before:
                connection.close()


class _Waiting(NamedTuple):
    """A complete request that waits for those before it; `size` is its memory in bytes."""

    request: Request
    size: int
    keep_alive: bool


class _ServerExchange:
    """An `Exchange` on a server connection."""

    def __init__(self, connection: "ServerConnection", head_only: bool, keep_alive: bool) -> None:
        self._connection = connection
        self._head_only = head_only
        self._keep_alive = keep_alive
        self._done = False
        self.on_disconnect: Callable[[], None] | None = None
        self.on_stop: Callable[[], None] | None = None

    def respond(self, response: Response) -> None:
        """Write the answer unless the exchange has ended."""
        if self._done:
            return
        self._done = True
        # The handler refers to the request and through it to this exchange; without the cycle a
        # request's state is freed as soon as it ends.
        self.on_disconnect = self.on_stop = None
        self._connection.write_response(response, self._head_only, self._keep_alive)

    def notify_stop(self) -> None:
        """Have the handler answer at once."""
        handler, self.on_stop = self.on_stop, None
        if handler is not None:
            handler()

    def notify_disconnect(self) -> None:
        """Notify the handler that the client has disconnected."""
        if self._done:
            return
        self._done = True
        self.on_stop = None
        handler, self.on_disconnect = self.on_disconnect, None
        if handler is not None:
            handler()


class ServerConnection(asyncio.BufferedProtocol):
    """Read requests from one client and write their answers in order."""

    def __init__(self, state: ServerState) -> None:
        self._state = state
        self._transport: asyncio.Transport | None = None
        self._writer: ResponseWriter | None = None
        self._close_when_sent = False
        self._reader = RequestReader(self, state.limits)
        self._timer: asyncio.TimerHandle | None = None
        self._pipelined: deque[_Waiting] = deque()
        self._pipelined_bytes = 0
        self._current: _ServerExchange | None = None
        self._current_bytes = 0
        """Reserved for the request in progress."""
        self._held_bytes = 0
        """Held beside the request in progress."""
        self._handling = False
        self._refusal: Response | None = None
        """Refuses the request that was read last; sent after the answers to those before it."""
        self._queue_full = False
        self._awaits_turn = False
        self.opened_at = steady_now()

    @property
    def busy(self) -> bool:
        """Return whether a request is being read, queued or handled, or an answer is unsent."""
        return self._answering or self._reader.in_message or bool(self._pipelined)

    @property
    def _answering(self) -> bool:
        """Return whether a request is in progress or its answer has not been sent whole."""
        return self._current is not None or self._unsent

    @property
    def _unsent(self) -> bool:
        return self._writer is not None and self._writer.unsent_bytes > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its idle timer."""
        # uvloop's transports do not subclass asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        self._writer = ResponseWriter(self._transport, self._hold_answers)
        set_tcp_options(transport)
        if not self._state.connections.add(self):
            self._state.count_end(EndCause.DESCRIPTORS)
            self.close()
            return
        self._update_memory()
        self._set_timer(self._state.limits().idle_s, self.close)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the handler of an unanswered request that the client has disconnected."""
        self._state.connections.discard(self)
        self._state.turns.leave(self)
        self._stop_timer()
        self._clear_pipelined()
        self._reader.close()
        self._state.client_limits.requests.hold(self, 0)
        self._state.client_limits.answers.hold(self, 0)
        # The writer refers back to this connection.
        self._writer = None
        current, self._current = self._current, None
        self._release_current()
        if current is not None:
            current.notify_disconnect()

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read."""
        return self._state.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Read requests; refuse an invalid or oversized one."""
        self._state.connections.touch(self)
        if self._refusal is None:
            status = self._reader.feed(memoryview(self._state.read_buffer)[:nbytes])
            if status is not None:
                self._reject(status, EndCause.INVALID)
        if nbytes == READ_BYTES or self._reader.chunks_read > MAX_CHUNKS_PER_READ:
            self._wait_for_turn()
        self._update_memory()

    def eof_received(self) -> bool:
        """Return whether the connection stays open: an answer may still be read."""
        self._close_when_sent = True
        return self._unsent

    def pause_writing(self) -> None:
        """Keep the rest of the answer until the client reads."""
        if self._writer is not None:
            self._writer.pause()

    def resume_writing(self) -> None:
        """Send more of the answer."""
        if self._writer is not None:
            self._writer.resume()

    def request_begun(self) -> None:
        """Start the timeout for the headers."""
        if not self._answering:
            self._set_timer(self._state.limits().header_s, self._header_timeout)

    def head_read(self, expects_continue: bool) -> None:
        """Start the timeout for the body and confirm `Expect: 100-continue`."""
        if self._answering or self._writer is None:
            return
        self._set_timer(self._state.limits().idle_s, self._header_timeout)
        if expects_continue:
            self._writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def request_read(self, request: Request, size: int, keep_alive: bool) -> None:
        """Queue the complete request."""
        if self._refusal is not None:
            return
        self._pipelined.append(_Waiting(request, size, keep_alive))
        self._pipelined_bytes += size
        self._handle_next()
        self._update_queue_full()

    def drop_requests(self) -> None:
        """Refuse all requests that have not been passed on; close an idle connection."""
        self._held_bytes = 0
        if self._closing or self._refusal is not None:
            return
        unanswered = bool(self._pipelined) or self._reader.in_message
        self._clear_pipelined()
        self._reader.drop()
        if unanswered:
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE, EndCause.MEMORY, REFUSED_RETRY_AFTER_S)
        elif not self._answering:
            self._state.count_end(EndCause.MEMORY)
            self.close()

    @property
    def use(self) -> Use:
        """Return what the connection is used for."""
        if self._current is not None or self._pipelined:
            return Use.IN_PROGRESS
        if self._unsent:
            return Use.SENDING
        return Use.READING if self._reader.in_message else Use.IDLE

    def give_way(self) -> None:
        """Close the connection for another one; refuse a request that has been read in part."""
        match self.use:
            case Use.SENDING:
                self._abort(EndCause.DESCRIPTORS)
            case Use.READING:
                status = HTTPStatus.SERVICE_UNAVAILABLE
                self._reject(status, EndCause.DESCRIPTORS, REFUSED_RETRY_AFTER_S)
            case _:
                self._state.count_end(EndCause.DESCRIPTORS)
                self.close()

    def drop_answers(self) -> None:
        """Close the connection of a client that reads too slowly."""
        self._abort(EndCause.ANSWER_MEMORY)

    def write_response(self, response: Response, head_only: bool, keep_alive: bool) -> None:
        """Write the answer to the current request and handle the next one."""
        self._current = None
        self._release_current()
        if self._closing or self._writer is None:
            return
        # After a close, the client of a pipelined request could not tell whether it has run.
        behind = bool(self._pipelined) or self._refusal is not None
        keep_alive = keep_alive and (behind or not self._state.stopping)
        self._close_when_sent = self._close_when_sent or not keep_alive
        self._stop_timer()
        self._writer.write(*encode_response(response, head_only, keep_alive))
        if not self._unsent:
            self._continue()

    def end_request(self) -> None:
        """Have the request in progress answered at once, if there is one."""
        if self._current is not None:
            self._current.notify_stop()

    def refuse_unread(self, retry_after_s: float) -> None:
        """Refuse a request of which only a part has been read."""
        if self._reader.in_message and not self._answering:
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE, EndCause.STOPPING, retry_after_s)

    def close(self) -> None:
        """Close a connection on which no answer is unsent."""
        if self._transport is not None:
            self._transport.close()

    def _hold_answers(self, size: int) -> None:
        """Count unsent answers; go on with the next request when all are sent."""
        self._state.client_limits.answers.hold(self, size)
        if self._closing:
            return
        if size:
            self._await_reader(0)
        else:
            self._stop_timer()
            self._continue()

    def _await_reader(self, left_before: int) -> None:
        """Close the connection if nothing of an answer is sent for some time."""
        assert self._writer is not None
        left_bytes = self._writer.left_bytes
        if left_bytes == left_before:
            self._abort(EndCause.ANSWER_STALLED)
        else:
            self._set_timer(ANSWER_STALL_S, partial(self._await_reader, left_bytes))

    def _abort(self, cause: EndCause) -> None:
        if self._closing or self._writer is None:
            return
        self._state.count_end(cause)
        self._stop_timer()
        self._writer.abort()

    def _continue(self) -> None:
        """After an answer was sent, close the connection or handle the next request."""
        if self._close_when_sent:
            self._stop_timer()
            self.close()
            return
        self._handle_next()
        self._update_queue_full()
        self._update_memory()

    def _handle_next(self) -> None:
        """Pass requests to the handler while none is in progress, then await the next one."""
        if self._handling:
            # A handler has answered at once: the loop below continues.
            return
        self._handling = True
        try:
            while self._pipelined and not self._answering and not self._closing:
                self._handle(self._pipelined.popleft())
        finally:
            self._handling = False
        if not self._answering and not self._closing:
            self._await_request()

    def _handle(self, waiting: _Waiting) -> None:
        """Pass a request on; refuse it if the requests in progress leave too little memory."""
        self._stop_timer()
        self._pipelined_bytes -= waiting.size
        request = waiting.request
        exchange = _ServerExchange(self, request.method == b"HEAD", waiting.keep_alive)
        self._current = exchange
        self._update_memory()
        reserved_bytes = CONNECTION_BYTES + waiting.size
        if not self._state.client_limits.requests.reserve(reserved_bytes):
            status = HTTPStatus.SERVICE_UNAVAILABLE
            self._state.count_end(EndCause.MEMORY, status)
            exchange.respond(_refusal(status, REFUSED_RETRY_AFTER_S))
            return
        self._current_bytes = reserved_bytes
        self._state.handler(request, exchange)

    def _await_request(self) -> None:
        """Set the timer for the next request, or refuse the one that was read last."""
        if self._refusal is not None:
            self._send_refusal()
        elif self._reader.in_message:
            # No timeout runs for it while another request is in progress.
            self._set_timer(self._state.limits().idle_s, self._header_timeout)
        else:
            self._set_timer(self._state.limits().idle_s, self.close)

    @property
    def _closing(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def _wait_for_turn(self) -> None:
        """Pause reading until it is this connection's turn: there is mostly more to read."""
        self._awaits_turn = True
        self._update_reading()
        self._state.turns.wait(self, self._take_turn)

    def _take_turn(self) -> None:
        self._awaits_turn = False
        self._update_reading()

    def _update_queue_full(self) -> None:
        self._queue_full = len(self._pipelined) >= MAX_PIPELINED_REQUESTS
        self._update_reading()

    def _update_reading(self) -> None:
        if self._closing:
            return
        assert self._transport is not None
        if self._paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    @property
    def _paused(self) -> bool:
        return self._queue_full or self._awaits_turn

    def _update_memory(self) -> None:
        """Tell what this connection holds beside the request in progress."""
        if self._closing:
            return
        size = self._pipelined_bytes + self._reader.held_bytes
        if self._paused:
            size += RECEIVE_BUFFER_BYTES
        if self._current is None:
            size += CONNECTION_BYTES
        if size != self._held_bytes:
            self._held_bytes = size
            self._state.client_limits.requests.hold(self, size)

    def _clear_pipelined(self) -> None:
        self._pipelined.clear()
        self._pipelined_bytes = 0

    def _release_current(self) -> None:
        self._state.client_limits.requests.release(self._current_bytes)
        self._current_bytes = 0

    def _header_timeout(self) -> None:
        self._reject(HTTPStatus.REQUEST_TIMEOUT, EndCause.LATE)

    def _reject(
        self, status: HTTPStatus, cause: EndCause, retry_after_s: float | None = None
    ) -> None:
        """Refuse the request that was read last, after the answers to the requests before it."""
        if self._refusal is not None or self._closing:
            return
        self._refusal = _refusal(status, retry_after_s)
        self._state.count_end(cause, status)
        if not self._answering:
            self._send_refusal()

    def _send_refusal(self) -> None:
        """Send the refusal and close the connection."""
        assert self._writer is not None and self._refusal is not None
        self._stop_timer()
        self._close_when_sent = True
        self._writer.write(*encode_response(self._refusal, False, False))
        if not self._unsent:
            self._continue()

    def _set_timer(self, delay_s: float, action: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = asyncio.get_running_loop().call_later(delay_s, action)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _refusal(status: HTTPStatus, retry_after_s: float | None = None) -> Response:
    """Return the answer to a request of which nothing has run."""
    if retry_after_s is None:
        return Response(status, (), b"")
    return Response(status, ((b"retry-after", b"%.2f" % retry_after_s),), b"")
