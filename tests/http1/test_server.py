"""The server side, against a raw client."""

import asyncio

import pytest

from tests.http1.conftest import Run, Served
from trackwheel.http1.models import Response
from trackwheel.http1.server import encode_response

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


async def talk(port: int, *pieces: bytes, until_close: bool = True) -> bytes:
    """Send pieces one after the other and return all that comes until the end."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for piece in pieces:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(0.01)
    data = await reader.read() if until_close else await reader.read(65536)
    writer.close()
    return data


CLOSE = b"Connection: close\r\n"


@pytest.mark.parametrize(
    ("pieces", "status", "body"),
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
            id="two-lengths-are-refused",
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
def test_requests(run: Run, pieces: list[bytes], status: int, body: bytes) -> None:
    async def scenario() -> None:
        async with Served() as served:
            data = await talk(served.port, *pieces)
            head, _, rest = data.partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 %d " % status)
            assert rest == body
            assert all(request.target != b"/smuggled" for request in served.requests)

    run(scenario())


def test_pipelined_requests_are_answered_in_order(run: Run) -> None:
    async def scenario() -> None:
        async with Served() as served:
            targets = [b"/%d" % number for number in range(40)]
            requests = b"".join(b"GET %s HTTP/1.1\r\nHost: h\r\n\r\n" % t for t in targets)
            data = await talk(served.port, requests)
            bodies = [part.partition(b"\r\n\r\n")[2] for part in data.split(b"HTTP/1.1 200 OK")]
            assert bodies[1:] == [target + b" " for target in targets]

    run(scenario())


def test_client_that_leaves_is_noticed(run: Run) -> None:
    async def scenario() -> None:
        served = Served()
        served.state.handler = served.keep
        async with served:
            _, writer = await asyncio.open_connection("127.0.0.1", served.port)
            writer.write(GET)
            await asyncio.sleep(0.05)
            assert served.gone == 0
            assert served.state.busy == 1
            writer.close()
            await asyncio.sleep(0.05)
            assert served.gone == 1
            assert served.state.busy == 0

    run(scenario())


def test_stopping_server_finishes_and_closes(run: Run) -> None:
    async def scenario() -> None:
        async with Served() as served:
            reader, writer = await asyncio.open_connection("127.0.0.1", served.port)
            writer.write(GET)
            await reader.readuntil(b"/a ")
            served.state.stopping = True
            writer.write(GET)
            data = await reader.read()
            assert b"200 OK" in data
            assert b"connection: close" in data

    run(scenario())


def test_stopping_server_closes_idle_connections_but_new_ones(run: Run) -> None:
    async def scenario() -> None:
        async with Served() as served:
            old, _ = await asyncio.open_connection("127.0.0.1", served.port)
            await asyncio.sleep(0.35)
            _, writer = await asyncio.open_connection("127.0.0.1", served.port)
            await asyncio.sleep(0.02)
            served.state.close_idle()
            assert await old.read() == b""
            assert len(served.state.connections) == 1
            writer.close()

    run(scenario())


def test_idle_connection_is_closed(run: Run) -> None:
    async def scenario() -> None:
        async with Served() as served:
            reader, _ = await asyncio.open_connection("127.0.0.1", served.port)
            assert await reader.read() == b""

    run(scenario())


@pytest.mark.parametrize(
    ("response", "head_only", "keep", "expected"),
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
def test_encoding(response: Response, head_only: bool, keep: bool, expected: bytes) -> None:
    assert encode_response(response, head_only, keep) == expected
