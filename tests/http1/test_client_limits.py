"""Requests of many clients, and the limit on the memory of all of them."""

import asyncio
from typing import Final

import pytest

from tests.http1.conftest import RecordingServer, Run
from trackwheel.http1.client_limits import ClientLimits, EndCause
from trackwheel.http1.connection_table import ConnectionTable
from trackwheel.http1.const import REQUEST_SHARE_OF_MEMORY
from trackwheel.http1.models import Request, Response
from trackwheel.http1.server import Exchange
from trackwheel.routing.models import Limits

BODY_BYTES: Final = 262_144
LIMITS: Final = Limits(16_384, BODY_BYTES, 5.0, 5.0)
SMALLEST_MEMORY_BYTES: Final = 100_000_000
UNFINISHED: Final = b"POST /u HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES
GET: Final = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


def limited_server(memory_bytes: int = SMALLEST_MEMORY_BYTES) -> RecordingServer:
    server = RecordingServer(limits=LIMITS)
    server.state.client_limits = ClientLimits(memory_bytes)
    return server


def test_unfinished_requests_over_the_limit_are_refused_and_none_has_run(run: Run) -> None:
    """Each was within its own limit; all together took the memory of a box."""

    async def scenario() -> None:
        memory_bytes = int(4.5 * BODY_BYTES / REQUEST_SHARE_OF_MEMORY)
        async with limited_server(memory_bytes) as server:
            share = server.state.client_limits.requests
            held: list[int] = []
            readers = []
            for _ in range(6):
                reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
                writer.write(UNFINISHED + b"b" * (BODY_BYTES - 1))
                await writer.drain()
                await asyncio.sleep(0.05)
                held.append(share.held_bytes)
                readers.append((reader, writer))
            assert max(held) <= memory_bytes * REQUEST_SHARE_OF_MEMORY
            # The oldest of the same size go first: a new client is served beside them.
            for reader, _ in readers[:2]:
                answer = await reader.read()
                assert answer.startswith(b"HTTP/1.1 503 ")
                assert b"retry-after: 1.00\r\n" in answer
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(GET)
            assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
            assert [request.target for request in server.requests] == [b"/a"]
            for _, one in (*readers, (reader, writer)):
                one.close()
            while server.state.connections:
                await asyncio.sleep(0.01)
            assert share.held_bytes == 0

    run(scenario())


def test_request_in_progress_is_answered_when_those_behind_it_are_dropped(run: Run) -> None:
    """Memory of a request that was passed on is never taken back."""
    exchanges: list[Exchange] = []

    def hold(request: Request, exchange: Exchange) -> None:
        exchanges.append(exchange)

    async def scenario() -> None:
        async with limited_server(int(2.5 * BODY_BYTES / REQUEST_SHARE_OF_MEMORY)) as server:
            server.state.handler = hold
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(GET + (UNFINISHED + b"b" * BODY_BYTES) * 4)
            while not server.state.client_limits.ended_by_cause:
                await asyncio.sleep(0.01)
            exchanges[0].respond(Response(200, (), b"whole"))
            first, second = (await reader.read()).split(b"HTTP/1.1 ")[1:]
            assert first.startswith(b"200 ")
            assert first.endswith(b"whole")
            assert second.startswith(b"503 ")
            assert b"retry-after: 1.00\r\n" in second
            assert len(exchanges) == 1
            writer.close()

    run(scenario())


def test_requests_in_progress_leave_memory_for_small_ones(run: Run) -> None:
    """Complete bodies waited for a slow target without any limit on all of them."""
    exchanges: list[Exchange] = []

    def hold(request: Request, exchange: Exchange) -> None:
        if request.target == b"/u":
            exchanges.append(exchange)
        else:
            exchange.respond(Response(200, (), b""))

    async def scenario() -> None:
        memory_bytes = int(20 * BODY_BYTES / REQUEST_SHARE_OF_MEMORY)
        async with limited_server(memory_bytes) as server:
            server.state.handler = hold
            refused = 0
            writers: list[asyncio.StreamWriter] = []
            for _ in range(30):
                reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
                writers.append(writer)
                passed_on = len(exchanges)
                writer.write(UNFINISHED + b"b" * BODY_BYTES)
                await writer.drain()
                await asyncio.sleep(0.02)
                if len(exchanges) == passed_on:
                    assert (await reader.readline()).startswith(b"HTTP/1.1 503 ")
                    refused += 1
            assert refused
            held_bytes = server.state.client_limits.requests.held_bytes
            assert held_bytes <= memory_bytes * REQUEST_SHARE_OF_MEMORY
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(GET)
            assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")

    run(scenario())


@pytest.mark.parametrize("chunk_bytes", [1, 2, 4_096, BODY_BYTES])
def test_largest_request_is_served_in_calm_on_a_small_machine(run: Run, chunk_bytes: int) -> None:
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"c" * chunk_bytes)
    body = chunk * (BODY_BYTES // chunk_bytes) + b"0\r\n\r\n"

    async def scenario() -> None:
        async with limited_server() as server:
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + body)
            assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
            assert len(server.requests[0].body) == BODY_BYTES
            writer.close()

    run(scenario())


def test_connections_are_limited_and_requests_in_progress_go_on(run: Run) -> None:
    """A server accepted connections until its process had no descriptor left."""
    exchanges: list[Exchange] = []

    def hold(request: Request, exchange: Exchange) -> None:
        exchanges.append(exchange)

    async def scenario() -> None:
        async with limited_server() as server:
            server.state.handler = hold
            server.state.connections = ConnectionTable(2)
            pairs = [await asyncio.open_connection("127.0.0.1", server.port) for _ in range(3)]
            assert await pairs[0][0].read() == b""
            for _, writer in pairs[1:]:
                writer.write(GET)
            await asyncio.sleep(0.05)
            late, writer = await asyncio.open_connection("127.0.0.1", server.port)
            assert await late.read() == b""
            assert len(exchanges) == 2
            for exchange in exchanges:
                exchange.respond(Response(200, (), b""))
            for reader, _ in pairs[1:]:
                assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
            ended = server.state.client_limits.ended_by_cause
            assert ended[(EndCause.DESCRIPTORS.value,)] == 2
            for _, one in (*pairs, (late, writer)):
                one.close()

    run(scenario())
