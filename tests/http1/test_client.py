"""The client side and its pool, against raw targets that misbehave."""

import asyncio
import contextlib
import itertools
import socket
import struct
from collections.abc import Awaitable, Callable

import anyio
import pytest

from tests.http1.conftest import Run
from trackwheel.http1.models import ExchangeOutcome, ExchangeResult, Request, Response, header
from trackwheel.http1.pool import Job, TargetPool

REQUEST = Request(b"GET", b"/a", ((b"host", b"h"), (b"x-id", b"7")), b"", 0.0)
Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter, int], Awaitable[None]]


class Target:
    """A target that plays a script on each connection."""

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


def plays(*answers: bytes, then: str = "wait") -> Script:
    """Return a script that gives one answer to each request, then ends in some manner."""

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


NUMBERS = itertools.count()


def belongs(answer: Response) -> str:
    told = header(answer.headers, b"x-id")
    return "" if told in (None, b"7") else "another request's"


async def exchange(
    pool: TargetPool, once: bool = False, request: Request = REQUEST, request_id: str = ""
) -> ExchangeResult:
    future: asyncio.Future[ExchangeResult] = asyncio.get_running_loop().create_future()
    request_id = request_id or f"any-{next(NUMBERS)}"
    pool.submit(Job(object(), request_id, lambda: request, belongs, once, future.set_result))
    return await future


OK = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok"
FOREIGN = OK.replace(b"7", b"6")
CLOSING = OK.replace(b"X-Id", b"Connection: close\r\nX-Id")
UNFRAMED = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"


@pytest.mark.parametrize(
    ("script", "kind", "connections"),
    [
        pytest.param(plays(OK, OK), ExchangeOutcome.ANSWERED, 1, id="kept-connection"),
        pytest.param(plays(CHUNKED, CHUNKED), ExchangeOutcome.ANSWERED, 1, id="chunked"),
        pytest.param(plays(CLOSING, then="end"), ExchangeOutcome.ANSWERED, 2, id="closing-target"),
        pytest.param(
            plays(UNFRAMED, then="end"), ExchangeOutcome.ANSWERED, 2, id="ends-with-connection"
        ),
        pytest.param(
            plays(UNFRAMED, then="reset"), ExchangeOutcome.BROKEN, 2, id="reset-is-not-an-end"
        ),
        pytest.param(plays(OK[:-1], then="end"), ExchangeOutcome.BROKEN, 2, id="cut-short"),
        pytest.param(
            plays(OK[:20], then="reset"), ExchangeOutcome.BROKEN, 2, id="cut-in-the-headers"
        ),
        pytest.param(plays(b"", then="end"), ExchangeOutcome.CLOSED, 2, id="closed-without-answer"),
        pytest.param(
            plays(b"", then="reset"), ExchangeOutcome.CLOSED, 2, id="reset-without-answer"
        ),
        pytest.param(plays(b"rubbish\r\n\r\n"), ExchangeOutcome.BROKEN, 2, id="not-http"),
        pytest.param(plays(FOREIGN), ExchangeOutcome.BROKEN, 2, id="answer-to-another-request"),
        pytest.param(plays(OK + OK), ExchangeOutcome.ANSWERED, 2, id="surplus-answer"),
        pytest.param(plays(OK + b"more"), ExchangeOutcome.ANSWERED, 2, id="surplus-bytes"),
        pytest.param(
            plays(b"HTTP/1.1 100 Continue\r\n\r\n" + OK, OK),
            ExchangeOutcome.ANSWERED,
            1,
            id="interim",
        ),
        pytest.param(
            plays(b"HTTP/1.1 204 No Content\r\n\r\n", OK), ExchangeOutcome.ANSWERED, 1, id="no-body"
        ),
    ],
)
def test_answers(run: Run, script: Script, kind: ExchangeOutcome, connections: int) -> None:
    """A second exchange shows whether the connection was kept."""

    async def scenario() -> None:
        async with Target(script) as target:
            pool = TargetPool("127.0.0.1", target.port, 4)
            first = await exchange(pool)
            assert first.kind is kind, first
            await asyncio.sleep(0.01)
            assert (await exchange(pool)).kind is kind
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
            assert (await exchange(pool)).kind is ExchangeOutcome.ANSWERED
            assert (await exchange(pool)).kind is ExchangeOutcome.BROKEN
            pool.close()

    run(scenario())


def test_request_on_a_rested_connection_runs_only_once(run: Run) -> None:
    """One that must not run twice gets a fresh connection when the kept one has rested."""

    async def scenario() -> None:
        async with Target(plays(OK, OK)) as target:
            pool = TargetPool("127.0.0.1", target.port, 4)
            await exchange(pool)
            await asyncio.sleep(0.9)
            await exchange(pool, once=True)
            assert target.connections == 2
            pool.close()

    run(scenario())


def test_told_idle_time_is_kept(run: Run) -> None:
    short = OK.replace(b"X-Id", b"Keep-Alive: timeout=1\r\nX-Id")

    async def scenario() -> None:
        async with Target(plays(short, short)) as target:
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
        async with Target(plays(headers_only)) as target:
            pool = TargetPool("127.0.0.1", target.port, 4)
            end = await exchange(pool, request=REQUEST._replace(method=b"HEAD"))
            assert end.kind is ExchangeOutcome.ANSWERED
            pool.close()

    run(scenario())


def test_refused_connection_was_not_sent(run: Run) -> None:
    async def scenario() -> None:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
        pool = TargetPool("127.0.0.1", port, 2)
        assert (await exchange(pool)).kind is ExchangeOutcome.NOT_SENT

    run(scenario())


def test_no_more_connections_than_allowed(run: Run) -> None:
    async def scenario() -> None:
        async with Target(plays(*[OK] * 20)) as target:
            pool = TargetPool("127.0.0.1", target.port, 2)
            ends = await asyncio.gather(*(exchange(pool) for _ in range(12)))
            assert all(end.kind is ExchangeOutcome.ANSWERED for end in ends)
            assert target.connections == 2
            pool.close()

    run(scenario())


LATE = OK.replace(b"\r\n\r\nok", b"\r\n\r\nno")
"""A surplus answer to an earlier try of the same request: its id is the one that is awaited."""


@pytest.mark.parametrize("limit", [2, 1], ids=["room-for-another-connection", "no-room"])
@pytest.mark.parametrize("between", [0, 3], ids=["in-a-row", "others-between"])
def test_request_that_comes_again_is_not_answered_by_what_was_left_of_it(
    run: Run, limit: int, between: int
) -> None:
    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> None:
        answers = [OK] * (1 + between) + [LATE]
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


def test_withdrawn_request_closes_its_connection(run: Run) -> None:
    left = asyncio.Event()

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await reader.read()
        left.set()

    async def scenario() -> None:
        async with Target(script) as target:
            pool = TargetPool("127.0.0.1", target.port, 2)
            token = object()
            pool.submit(Job(token, str(token), lambda: REQUEST, belongs, False, lambda end: None))
            await asyncio.sleep(0.05)
            pool.cancel(token)
            await left.wait()
            assert pool.unused

    run(scenario())


@pytest.mark.parametrize(
    ("error", "kind", "kept"),
    [
        (TimeoutError(), ExchangeOutcome.BROKEN, 0),
        (ConnectionResetError(), ExchangeOutcome.CLOSED, 1),
    ],
    ids=["silent", "reset"],
)
def test_idle_connections_go_with_one_that_went_silent(
    run: Run, error: OSError, kind: ExchangeOutcome, kept: int
) -> None:
    """Connections to one target mostly go silent together; each would cost its time-out."""

    async def scenario() -> None:
        async with Target(plays(OK, OK)) as target:
            pool = TargetPool("127.0.0.1", target.port, 4)
            await asyncio.gather(exchange(pool), exchange(pool))
            asked = asyncio.create_task(exchange(pool))
            await asyncio.sleep(0)
            (connection,) = pool._connection_by_token.values()
            connection.connection_lost(error)
            assert (await asked).kind is kind
            assert len(pool._idle) == kept
            pool.close()

    run(scenario())
