"""Connections that send much in small pieces, and the turns in which they are read."""

import asyncio
from functools import partial

import pytest

from tests.http1.conftest import RecordingServer, Run
from trackwheel.http1.const import READ_BYTES, READS_PER_TURN
from trackwheel.http1.read_turns import ReadTurns
from trackwheel.http1.server import ServerConnection
from trackwheel.routing.models import Limits

LIMITS = Limits(16_384, 262_144, 10.0, 10.0)
CHUNKED = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


class FakeTransport(asyncio.Transport):
    """A transport that remembers whether its reading is paused."""

    def __init__(self) -> None:
        super().__init__()
        self.paused = False

    def pause_reading(self) -> None:
        """Remember it."""
        self.paused = True

    def resume_reading(self) -> None:
        """Remember it."""
        self.paused = False

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Accept any limits: nothing is written here."""

    def is_closing(self) -> bool:
        """Stay open."""
        return False


def read(connection: ServerConnection, data: bytes) -> None:
    """Let a connection read data as the event loop does."""
    connection.get_buffer(-1)[: len(data)] = data
    connection.buffer_updated(len(data))


def test_turns_are_given_in_order_and_a_few_at_a_time(run: Run) -> None:
    async def scenario() -> None:
        turns = ReadTurns()
        resumed: list[int] = []
        for number in range(3 * READS_PER_TURN):
            turns.wait(number, partial(resumed.append, number))
        turns.leave(1)
        await asyncio.sleep(0)
        assert resumed == [number for number in range(READS_PER_TURN + 1) if number != 1]
        while len(resumed) < 3 * READS_PER_TURN - 1:
            await asyncio.sleep(0)
        assert resumed == sorted(resumed)

    run(scenario())


@pytest.mark.parametrize(
    ("data", "waits"),
    [
        pytest.param((CHUNKED + b"1\r\nc\r\n" * READ_BYTES)[:READ_BYTES], True, id="full-read"),
        pytest.param(CHUNKED + b"1\r\nc\r\n" * 500, True, id="many-chunks"),
        pytest.param(CHUNKED + b"1\r\nc\r\n" * 5, False, id="few-chunks"),
        pytest.param(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", False, id="request"),
    ],
)
def test_connection_with_much_to_read_waits_for_its_turn(
    run: Run, data: bytes, waits: bool
) -> None:
    """The event loop parsed megabytes of one connection before it served the others."""

    async def scenario() -> None:
        server = RecordingServer(limits=LIMITS)
        server.state.handler = server.hold
        transports = [FakeTransport() for _ in range(3 * READS_PER_TURN)]
        for transport in transports:
            connection = ServerConnection(server.state)
            connection.connection_made(transport)
            read(connection, data)
        for turn in range(4):
            waiting = max(0, 3 - turn) * READS_PER_TURN if waits else 0
            assert sum(transport.paused for transport in transports) == waiting
            await asyncio.sleep(0)

    run(scenario())
