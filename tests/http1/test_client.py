"""The HTTP client and its pool, tested with faulty raw TCP targets."""

import asyncio
import contextlib
import itertools
import socket
import struct
import tracemalloc
from collections.abc import Awaitable, Callable

import anyio
import pytest

from tests.http1.conftest import Run
from trackwheel.http1.answer_limits import AnswerLimits
from trackwheel.http1.client import ClientConnection
from trackwheel.http1.models import ExchangeOutcome, ExchangeResult, Request, Response, header
from trackwheel.http1.pool import Job, TargetPool

REQUEST = Request(b"GET", b"/a", ((b"host", b"h"), (b"x-id", b"7")), b"", 0.0)
Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter, int], Awaitable[None]]


class Target:
    """A target that runs a script on each connection."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self.connections = 0
        self.port = 0

    async def __aenter__(self) -> "Target":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await self._script(reader, writer, self.connections)
        writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def respond_with(*answers: bytes, then: str = "wait") -> Script:
    """Return a script that sends one answer per request, then waits, closes or resets."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> None:
        for answer in answers:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await writer.drain()
        await asyncio.sleep(0.03)
        if then == "reset":
            reset(writer)
        elif then == "wait":
            await reader.read()

    return script


REQUEST_NUMBERS = itertools.count()


def check_request_id(answer: Response) -> str:
    response_id = header(answer.headers, b"x-id")
    return "" if response_id in (None, b"7") else "another request's"


async def exchange(
    pool: TargetPool, at_most_once: bool = False, request: Request = REQUEST, request_id: str = ""
) -> ExchangeResult:
    future: asyncio.Future[ExchangeResult] = asyncio.get_running_loop().create_future()
    request_id = request_id or f"any-{next(REQUEST_NUMBERS)}"
    pool.submit(
        Job(
            object(), request_id, lambda: request, check_request_id, at_most_once, future.set_result
        )
    )
    return await future


OK = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok"
FOREIGN = OK.replace(b"7", b"6")
CLOSING = OK.replace(b"X-Id", b"Connection: close\r\nX-Id")
UNFRAMED = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"


@pytest.mark.parametrize(
    ("script", "outcome", "connections"),
    [
        pytest.param(respond_with(OK, OK), ExchangeOutcome.ANSWERED, 1, id="keep-alive"),
        pytest.param(respond_with(CHUNKED, CHUNKED), ExchangeOutcome.ANSWERED, 1, id="chunked"),
        pytest.param(
            respond_with(CLOSING, then="end"), ExchangeOutcome.ANSWERED, 2, id="connection-close"
        ),
        pytest.param(
            respond_with(UNFRAMED, then="end"), ExchangeOutcome.ANSWERED, 2, id="close-delimited"
        ),
        pytest.param(
            respond_with(UNFRAMED, then="reset"),
            ExchangeOutcome.BROKEN,
            2,
            id="close-delimited-reset",
        ),
        pytest.param(
            respond_with(OK[:-1], then="end"), ExchangeOutcome.BROKEN, 2, id="truncated-body"
        ),
        pytest.param(
            respond_with(OK[:20], then="reset"), ExchangeOutcome.BROKEN, 2, id="truncated-headers"
        ),
        pytest.param(
            respond_with(b"", then="end"), ExchangeOutcome.CLOSED, 2, id="closed-without-answer"
        ),
        pytest.param(
            respond_with(b"", then="reset"), ExchangeOutcome.CLOSED, 2, id="reset-without-answer"
        ),
        pytest.param(respond_with(b"rubbish\r\n\r\n"), ExchangeOutcome.BROKEN, 2, id="not-http"),
        *(
            pytest.param(
                respond_with(OK.replace(b" 200 ", b" %s " % status)),
                ExchangeOutcome.BROKEN,
                2,
                id=f"status-{status.decode()}",
            )
            for status in (b"000", b"001", b"099", b"600", b"999")
        ),
        pytest.param(
            respond_with(FOREIGN), ExchangeOutcome.BROKEN, 2, id="answer-to-another-request"
        ),
        pytest.param(respond_with(OK + OK), ExchangeOutcome.ANSWERED, 2, id="surplus-answer"),
        pytest.param(respond_with(OK + b"more"), ExchangeOutcome.ANSWERED, 2, id="surplus-bytes"),
        pytest.param(
            respond_with(b"HTTP/1.1 100 Continue\r\n\r\n" + OK, OK),
            ExchangeOutcome.ANSWERED,
            1,
            id="interim",
        ),
        pytest.param(
            respond_with(b"HTTP/1.1 204 No Content\r\n\r\n", OK),
            ExchangeOutcome.ANSWERED,
            1,
            id="no-body",
        ),
    ],
)
def test_answers(run: Run, script: Script, outcome: ExchangeOutcome, connections: int) -> None:
    """The second exchange shows whether the connection is reused."""

    async def scenario() -> None:
        async with Target(script) as target:
            pool = TargetPool("127.0.0.1", target.port, 4)
            first = await exchange(pool)
            assert first.outcome is outcome, first
            await asyncio.sleep(0.01)
            assert (await exchange(pool)).outcome is outcome
            assert target.connections == connections
            pool.close()

    run(scenario())


def test_late_surplus_answer_is_not_taken_for_the_next_one(run: Run) -> None:
    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(OK)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(FOREIGN + OK)
        await reader.read()

    async def scenario() -> None:
        async with Target(script) as target:
            pool = TargetPool("127.0.0.1", target.port, 4)
            assert (await exchange(pool)).outcome is ExchangeOutcome.ANSWERED
            assert (await exchange(pool)).outcome is ExchangeOutcome.BROKEN
            pool.close()

    run(scenario())


def test_at_most_once_request_avoids_a_connection_that_was_idle(run: Run) -> None:
    """A target may close an idle connection just as the request is sent."""

    async def scenario() -> None:
        async with Target(respond_with(OK, OK)) as target:
            pool = TargetPool("127.0.0.1", target.port, 4)
            await exchange(pool)
            await asyncio.sleep(0.9)
            await exchange(pool, at_most_once=True)
            assert target.connections == 2
            pool.close()

    run(scenario())


def test_keep_alive_timeout_of_the_target_is_respected(run: Run) -> None:
    short = OK.replace(b"X-Id", b"Keep-Alive: timeout=1\r\nX-Id")

    async def scenario() -> None:
        async with Target(respond_with(short, short)) as target:
            pool = TargetPool("127.0.0.1", target.port, 4)
            await exchange(pool)
            await asyncio.sleep(0.5)
            await exchange(pool)
            assert target.connections == 2
            pool.close()

    run(scenario())


def test_head_has_no_body(run: Run) -> None:
    async def scenario() -> None:
        headers_only = OK[:-2].replace(b"Content-Length: 2", b"Content-Length: 99")
        async with Target(respond_with(headers_only)) as target:
            pool = TargetPool("127.0.0.1", target.port, 4)
            end = await exchange(pool, request=REQUEST._replace(method=b"HEAD"))
            assert end.outcome is ExchangeOutcome.ANSWERED
            pool.close()

    run(scenario())


def test_refused_connection_means_not_sent(run: Run) -> None:
    async def scenario() -> None:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
        pool = TargetPool("127.0.0.1", port, 2)
        assert (await exchange(pool)).outcome is ExchangeOutcome.NOT_SENT

    run(scenario())


def test_connection_limit_is_respected(run: Run) -> None:
    async def scenario() -> None:
        async with Target(respond_with(*[OK] * 20)) as target:
            pool = TargetPool("127.0.0.1", target.port, 2)
            ends = await asyncio.gather(*(exchange(pool) for _ in range(12)))
            assert all(end.outcome is ExchangeOutcome.ANSWERED for end in ends)
            assert target.connections == 2
            pool.close()

    run(scenario())


LATE_SURPLUS = OK.replace(b"\r\n\r\nok", b"\r\n\r\nno")
"""A surplus answer to an earlier attempt of the same request, with the id that is expected."""


@pytest.mark.parametrize("limit", [2, 1], ids=["below-connection-limit", "at-connection-limit"])
@pytest.mark.parametrize("between", [0, 3], ids=["immediate-repeat", "other-requests-between"])
def test_late_answer_to_an_earlier_attempt_is_ignored(run: Run, limit: int, between: int) -> None:
    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> None:
        answers = [OK] * (1 + between) + [LATE_SURPLUS]
        for answer in answers:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
        await reader.read()

    async def scenario() -> None:
        async with Target(script) as target:
            pool = TargetPool("127.0.0.1", target.port, limit)
            ids = ["7", *(f"other-{place}" for place in range(between)), "7"]
            with anyio.fail_after(5.0):
                ends = [await exchange(pool, request_id=name) for name in ids]
            pool.close()
        bodies = [end.answer.body for end in ends if end.answer is not None]
        assert bodies == [b"ok"] * (2 + between)

    run(scenario())


def test_cancelled_request_closes_its_connection(run: Run) -> None:
    disconnected = asyncio.Event()

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await reader.read()
        disconnected.set()

    async def scenario() -> None:
        async with Target(script) as target:
            pool = TargetPool("127.0.0.1", target.port, 2)
            token = object()
            pool.submit(
                Job(token, str(token), lambda: REQUEST, check_request_id, False, lambda end: None)
            )
            await asyncio.sleep(0.05)
            pool.cancel(token)
            await disconnected.wait()
            assert pool.unused

    run(scenario())


@pytest.mark.parametrize(
    ("error", "outcome", "idle"),
    [
        (TimeoutError(), ExchangeOutcome.BROKEN, 0),
        (ConnectionResetError(), ExchangeOutcome.CLOSED, 1),
    ],
    ids=["timeout", "reset"],
)
def test_idle_connections_are_closed_after_a_timeout(
    run: Run, error: OSError, outcome: ExchangeOutcome, idle: int
) -> None:
    """Connections to one target mostly fail together; using each would cost a timeout."""

    async def scenario() -> None:
        async with Target(respond_with(OK, OK)) as target:
            pool = TargetPool("127.0.0.1", target.port, 4)
            await asyncio.gather(exchange(pool), exchange(pool))
            pending = asyncio.create_task(exchange(pool))
            await asyncio.sleep(0)
            (connection,) = pool._connection_by_token.values()
            connection.connection_lost(error)
            assert (await pending).outcome is outcome
            assert len(pool._idle) == idle
            pool.close()

    run(scenario())


class UnreadTransport(asyncio.Transport):
    """A transport whose peer reads nothing: it keeps what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.written: list[bytes | bytearray | memoryview] = []

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Keep the data."""
        self.written.append(data)

    def is_closing(self) -> bool:
        """Stay open."""
        return False


def test_body_for_many_targets_is_held_once() -> None:
    """A query with a large body took the memory of a box: each shard got a copy of its own."""
    body = bytes(262_144)
    request = Request(b"POST", b"/a", ((b"host", b"h"),), body, 0.0)
    transports = [UnreadTransport() for _ in range(200)]
    connections = [ClientConnection(lambda _: None, AnswerLimits()) for _ in transports]
    for connection, transport in zip(connections, transports, strict=True):
        connection.connection_made(transport)
    tracemalloc.start()
    try:
        for connection in connections:
            connection.send(request, lambda _: "", lambda _: None)
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held_bytes < 4 * len(body)
    head = b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 262144\r\n\r\n"
    assert b"".join(transports[0].written) == head + body
