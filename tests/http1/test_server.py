"""The HTTP server, tested with a raw TCP client."""

import asyncio

import pytest

from tests.http1.conftest import RecordingServer, Run
from trackwheel.http1.models import Request, Response
from trackwheel.http1.response_writer import encode_response
from trackwheel.http1.server import Exchange

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


async def send_raw(port: int, *chunks: bytes, until_close: bool = True) -> bytes:
    """Send chunks one by one and return the data received, by default until the end."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for chunk in chunks:
        writer.write(chunk)
        await writer.drain()
        await asyncio.sleep(0.01)
    data = await reader.read() if until_close else await reader.read(65536)
    writer.close()
    return data


CLOSE = b"Connection: close\r\n"


@pytest.mark.parametrize(
    ("chunks", "status", "body"),
    [
        pytest.param([GET.replace(b"Host", CLOSE + b"Host")], 200, b"/a ", id="get"),
        pytest.param(
            [b"POST /a HTTP/1.1\r\n" + CLOSE + b"Content-Length: 3\r\n\r\nab", b"c"],
            200,
            b"/a abc",
            id="body-with-length",
        ),
        pytest.param(
            [
                b"POST /a HTTP/1.1\r\n" + CLOSE + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
                b"1\r\nc\r\n0\r\n\r\n",
            ],
            200,
            b"/a abc",
            id="chunked-body",
        ),
        pytest.param([b"nonsense\r\n\r\n"], 400, b"", id="not-http"),
        pytest.param(
            [
                b"POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n"
            ],
            400,
            b"",
            id="conflicting-lengths",
        ),
        pytest.param([b"GET /a HTTP/1.1\r\nX: " + b"x" * 600], 431, b"", id="large-headers"),
        pytest.param(
            [b"POST /a HTTP/1.1\r\nContent-Length: 2000\r\n\r\n"], 413, b"", id="large-body"
        ),
        pytest.param(
            [b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + b"x" * 2000],
            413,
            b"",
            id="large-chunked-body",
        ),
        pytest.param([b"GET /a HTTP/1.1\r\nHo"], 408, b"", id="slow-headers"),
    ],
)
def test_requests(run: Run, chunks: list[bytes], status: int, body: bytes) -> None:
    async def scenario() -> None:
        async with RecordingServer() as server:
            data = await send_raw(server.port, *chunks)
            head, _, rest = data.partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 %d " % status)
            assert rest == body
            assert all(request.target != b"/smuggled" for request in server.requests)

    run(scenario())


def test_pipelined_requests_are_answered_in_order(run: Run) -> None:
    async def scenario() -> None:
        async with RecordingServer() as server:
            targets = [b"/%d" % number for number in range(40)]
            requests = b"".join(b"GET %s HTTP/1.1\r\nHost: h\r\n\r\n" % t for t in targets)
            data = await send_raw(server.port, requests)
            bodies = [part.partition(b"\r\n\r\n")[2] for part in data.split(b"HTTP/1.1 200 OK")]
            assert bodies[1:] == [target + b" " for target in targets]

    run(scenario())


def test_disconnect_of_a_client_is_reported(run: Run) -> None:
    async def scenario() -> None:
        server = RecordingServer()
        server.state.handler = server.hold
        async with server:
            _, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(GET)
            await asyncio.sleep(0.05)
            assert server.disconnects == 0
            assert server.state.busy == 1
            writer.close()
            await asyncio.sleep(0.05)
            assert server.disconnects == 1
            assert server.state.busy == 0

    run(scenario())


def test_stopping_server_answers_and_closes(run: Run) -> None:
    async def scenario() -> None:
        async with RecordingServer() as server:
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(GET)
            await reader.readuntil(b"/a ")
            server.state.stopping = True
            writer.write(GET)
            data = await reader.read()
            assert b"200 OK" in data
            assert b"connection: close" in data

    run(scenario())


def test_stopping_server_answers_pipelined_requests_before_it_closes(run: Run) -> None:
    """Requests that were read behind the one in progress were dropped with their connection."""
    exchanges: list[Exchange] = []

    def hold(request: Request, exchange: Exchange) -> None:
        exchanges.append(exchange)

    async def scenario() -> None:
        async with RecordingServer(hold) as server:
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(GET * 3)
            await asyncio.sleep(0.02)
            server.state.stopping = True
            for number in range(3):
                exchanges[number].respond(Response(200, (), b"%d" % number))
            first, second, third = (await reader.read()).split(b"HTTP/1.1 200 OK\r\n")[1:]
            assert b"connection: close" not in first + second
            assert b"connection: close" in third
            assert [one[-1:] for one in (first, second, third)] == [b"0", b"1", b"2"]

    run(scenario())


@pytest.mark.parametrize(
    "sent",
    [
        pytest.param(b"GET /a HTTP/1.1\r\nHo", id="headers"),
        pytest.param(b"POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nab", id="body"),
    ],
)
def test_request_that_is_half_read_at_the_end_of_a_stop_is_refused(run: Run, sent: bytes) -> None:
    """Its connection was closed without a word, which tells no client that nothing has run."""

    async def scenario() -> None:
        async with RecordingServer() as server:
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(sent)
            await asyncio.sleep(0.02)
            server.state.refuse_unread(0.2)
            data = await reader.read()
            assert data.startswith(b"HTTP/1.1 503 ")
            assert b"retry-after: 0.20\r\n" in data
            assert server.requests == []

    run(scenario())


def test_stopping_server_closes_idle_connections_except_new_ones(run: Run) -> None:
    async def scenario() -> None:
        async with RecordingServer() as server:
            old, _ = await asyncio.open_connection("127.0.0.1", server.port)
            await asyncio.sleep(0.35)
            _, writer = await asyncio.open_connection("127.0.0.1", server.port)
            await asyncio.sleep(0.02)
            server.state.close_idle()
            assert await old.read() == b""
            assert len(server.state.connections) == 1
            writer.close()

    run(scenario())


def test_idle_connection_is_closed(run: Run) -> None:
    async def scenario() -> None:
        async with RecordingServer() as server:
            reader, _ = await asyncio.open_connection("127.0.0.1", server.port)
            assert await reader.read() == b""

    run(scenario())


@pytest.mark.parametrize(
    ("response", "head_only", "keep_alive", "expected"),
    [
        pytest.param(
            Response(200, ((b"a", b"1"),), b"xy"),
            False,
            True,
            b"HTTP/1.1 200 OK\r\na: 1\r\ncontent-length: 2\r\n\r\nxy",
            id="plain",
        ),
        pytest.param(
            Response(200, (), b"xy"),
            True,
            False,
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\n",
            id="head-and-close",
        ),
    ],
)
def test_encoding(response: Response, head_only: bool, keep_alive: bool, expected: bytes) -> None:
    assert b"".join(encode_response(response, head_only, keep_alive)) == expected


def test_trailers_are_not_headers(run: Run) -> None:
    """A key or the name of a group after the body was not seen by what stands before this box."""

    async def scenario() -> None:
        async with RecordingServer() as server:
            await send_raw(
                server.port,
                b"POST /a HTTP/1.1\r\nHost: h\r\n" + CLOSE + b"Transfer-Encoding: chunked\r\n\r\n",
                b"1\r\na\r\n0\r\nAuthorization: Token k1\r\nX-Tenant: g\r\n\r\n",
            )
            (request,) = server.requests
            assert not {b"authorization", b"x-tenant"} & {name for name, _ in request.headers}
            assert request.body == b"a"

    run(scenario())


def test_request_begun_behind_another_is_not_awaited_forever(run: Run) -> None:
    """Its connection stayed open until the client left, with all that it had sent."""

    exchanges: list[Exchange] = []

    def hold(request: Request, exchange: Exchange) -> None:
        exchanges.append(exchange)

    async def scenario() -> None:
        async with RecordingServer(hold) as server:
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(GET + b"POST /b HTTP/1.1\r\nContent-Length: 9\r\n\r\nab")
            await asyncio.sleep(0.02)
            exchanges[0].respond(Response(200, (), b""))
            first, second = (await reader.read()).split(b"HTTP/1.1 ")[1:]
            assert first.startswith(b"200 ")
            assert second.startswith(b"408 ")

    run(scenario())


@pytest.mark.parametrize(
    ("behind", "status"),
    [
        pytest.param(b"nonsense\r\n\r\n", 400, id="not-http"),
        pytest.param(b"POST /b HTTP/1.1\r\nContent-Length: 2000\r\n\r\n", 413, id="large-body"),
        pytest.param(b"GET /b HTTP/1.1\r\nX: " + b"x" * 600, 431, id="large-headers"),
    ],
)
def test_request_is_answered_before_the_refusal_of_one_behind_it(
    run: Run, behind: bytes, status: int
) -> None:
    """The connection was closed at once, and the request that had been passed on got no answer."""
    exchanges: list[Exchange] = []

    def hold(request: Request, exchange: Exchange) -> None:
        exchanges.append(exchange)

    async def scenario() -> None:
        async with RecordingServer(hold) as server:
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(GET * 2)
            await asyncio.sleep(0.02)
            writer.write(behind)
            await asyncio.sleep(0.02)
            for number in range(2):
                exchanges[number].respond(Response(200, (), b"%d" % number))
            first, second, third = (await reader.read()).split(b"HTTP/1.1 ")[1:]
            assert [one[:3] for one in (first, second)] == [b"200", b"200"]
            assert third.startswith(b"%d " % status)
            assert b"connection: close" in third

    run(scenario())


def test_many_requests_behind_one_in_progress_are_answered(run: Run) -> None:
    """Each answer handled the next request, one inside the other, until the stack was full."""
    held: list[Exchange] = []

    def handle(request: Request, exchange: Exchange) -> None:
        if request.target == b"/hold":
            held.append(exchange)
        else:
            exchange.respond(Response(404, (), b""))

    async def scenario() -> None:
        async with RecordingServer(handle) as server:
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(b"GET /hold HTTP/1.1\r\nHost: h\r\n\r\n" + GET * 450)
            await asyncio.sleep(0.02)
            held[0].respond(Response(200, (), b""))
            for status in (200, *(404,) * 450):
                answer = await reader.readuntil(b"\r\n\r\n")
                assert answer.startswith(b"HTTP/1.1 %d " % status)

    run(scenario())
