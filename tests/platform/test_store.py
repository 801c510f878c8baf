"""The client of the platform's store."""

import asyncio
from typing import Any

import anyio
from returns.result import Failure, Success

from trackwheel.platform.store import StoreClient

EVENTS = b'{"events": [], "as_of": 7}'
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(EVENTS), EVENTS)


class NoLog:
    """Write nothing."""

    def write(self, kind: str, **fields: object) -> None:
        pass


def test_silent_connection_is_met_only_once() -> None:
    """Both connections went silent; each next call would meet one more that was kept."""

    connections = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal connections
        connections += 1
        silent = connections == 2
        while await reader.read(4096):
            if not silent:
                writer.write(ANSWER)

    async def scenario() -> list[type[Any]]:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = StoreClient(f"127.0.0.1:{port}", 0.2, NoLog())  # type: ignore[arg-type]
        with anyio.fail_after(5.0):
            ends = [type(await client.watch_targets(7, 0.0)) for _ in range(3)]
        server.close()
        return ends

    assert anyio.run(scenario) == [Success, Failure, Success]
    assert connections == 3
