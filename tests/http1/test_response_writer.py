"""Answers that are read slowly or not at all."""

import asyncio
import socket
from typing import Final

import pytest

from tests.http1.conftest import RecordingServer, Run
from trackwheel.http1 import server as server_module
from trackwheel.http1.client_limits import ClientLimits, EndCause
from trackwheel.http1.const import WRITE_BYTES
from trackwheel.http1.models import Request, Response
from trackwheel.http1.response_writer import ResponseWriter
from trackwheel.http1.server import Exchange
from trackwheel.routing.models import Limits

LIMITS: Final = Limits(16_384, 262_144, 5.0, 5.0)
GET: Final = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
LONG: Final = bytes(range(256)) * 40_000
"""Longer than what the kernel takes of an answer that nobody reads."""


class SlowTransport(asyncio.Transport):
    """A transport whose peer reads only when told to."""

    def __init__(self) -> None:
        super().__init__()
        self.writer: ResponseWriter | None = None
        self.taken = b""
        self.held = b""

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Report all that is held."""
        assert high == 0

    def get_write_buffer_size(self) -> int:
        """Return the bytes that the peer has not read."""
        return len(self.held)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Hold the data."""
        assert self.writer is not None
        self.held += data
        self.writer.pause()

    def read(self) -> None:
        """Let the peer read what is held."""
        assert self.writer is not None
        self.taken, self.held = self.taken + self.held, b""
        self.writer.resume()


@pytest.mark.parametrize(
    "parts",
    [
        pytest.param([(b"head", b"body")], id="small"),
        pytest.param([(b"head", LONG)], id="long"),
        pytest.param([(b"head", LONG), (b"head", b"body"), (b"more",)], id="several"),
    ],
)
def test_answers_are_written_as_their_client_reads(parts: list[tuple[bytes, ...]]) -> None:
    """A long answer lay in the buffer of its transport until a slow client had read it."""
    transport = SlowTransport()
    unsent: list[int] = []
    writer = transport.writer = ResponseWriter(transport, unsent.append)
    for part in parts:
        writer.write(*part)
    expected = b"".join(b"".join(part) for part in parts)
    assert unsent[-1] == writer.unsent_bytes == len(expected)
    while writer.unsent_bytes:
        assert 0 < len(transport.held) <= WRITE_BYTES
        assert writer.left_bytes == len(expected) - len(transport.taken)
        transport.read()
    assert transport.taken == expected
    assert unsent[-1] == 0


class UnreadClient:
    """A client with a small receive buffer that sends requests and reads only when told to."""

    def __init__(self, port: int, requests: bytes = GET) -> None:
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self.sock.connect(("127.0.0.1", port))
        self.sock.sendall(requests)
        self.sock.setblocking(False)

    async def read_all(self) -> bytes:
        """Read until the connection ends."""
        loop, data = asyncio.get_running_loop(), bytearray()
        while part := await loop.sock_recv(self.sock, 1_000_000):
            data += part
        return bytes(data)


def long_server() -> RecordingServer:
    """Return a server whose answers are long, with room for two of them unread."""

    def answer(request: Request, exchange: Exchange) -> None:
        server.requests.append(request)
        exchange.respond(Response(200, (), LONG if request.target == b"/a" else b"short"))

    server = RecordingServer(answer, LIMITS)
    server.state.client_limits = ClientLimits(int(2.5 * len(LONG) * 8))
    return server


async def wait_for_requests(server: RecordingServer, count: int) -> None:
    while len(server.requests) < count:
        await asyncio.sleep(0.01)


def test_client_that_reads_nothing_has_no_further_request_handled(run: Run) -> None:
    """Each of its requests added an answer to what its connection held."""

    async def scenario() -> None:
        async with long_server() as server:
            client = UnreadClient(server.port, GET * 10)
            await wait_for_requests(server, 1)
            await asyncio.sleep(0.1)
            assert len(server.requests) == 1
            assert server.state.client_limits.answers.held_bytes <= len(LONG) + 1_000
            assert server.state.busy == 1
            client.sock.close()
            while server.state.connections:
                await asyncio.sleep(0.01)
            assert server.state.client_limits.answers.held_bytes == 0

    run(scenario())


def test_answers_that_nobody_reads_are_bounded_together(run: Run) -> None:
    """Each client left one answer unread; all together took the memory of a box."""

    async def scenario() -> None:
        async with long_server() as server:
            limits = server.state.client_limits
            clients = []
            for number in range(4):
                clients.append(UnreadClient(server.port))
                await wait_for_requests(server, number + 1)
                assert limits.answers.held_bytes <= limits.answers.limit_bytes
            # Of answers of the same size, those that have not moved for the longest are given up.
            assert limits.ended_by_cause[(EndCause.ANSWER_MEMORY.value,)] == 2
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(GET.replace(b"/a", b"/b"))
            await reader.readuntil(b"short")
            writer.close()
            for client in clients:
                client.sock.close()

    run(scenario())


def test_long_answer_arrives_whole_and_the_connection_serves_on(run: Run) -> None:
    async def scenario() -> None:
        async with long_server() as server:
            last = GET.replace(b"Host", b"Connection: close\r\nHost")
            client = UnreadClient(server.port, GET + GET.replace(b"/a", b"/b") + last)
            await asyncio.sleep(0.05)
            data = await client.read_all()
            assert data.count(LONG) == 2
            assert data.count(b"HTTP/1.1 200 OK\r\n") == 3
            assert data.endswith(LONG)
            client.sock.close()

    run(scenario())


def test_connection_of_an_answer_that_is_never_read_ends(
    run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Closing such a connection waited for its client to read, without any limit."""
    monkeypatch.setattr(server_module, "ANSWER_STALL_S", 0.1)

    async def scenario() -> None:
        async with long_server() as server:
            client = UnreadClient(server.port, GET.replace(b"Host", b"Connection: close\r\nHost"))
            await wait_for_requests(server, 1)
            while server.state.connections:
                await asyncio.sleep(0.01)
            ended = server.state.client_limits.ended_by_cause
            assert ended[(EndCause.ANSWER_STALLED.value,)] == 1
            client.sock.close()

    run(scenario())
