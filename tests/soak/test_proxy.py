"""The proxy passes bytes on, and spoils connections as it is told."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from soak.proxy import Proxy

Session = Callable[[Proxy, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


def through_proxy(session: Session) -> None:
    async def main() -> None:
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        proxy = Proxy(f"{host}:{port}")
        await proxy.start()
        own_host, _, own_port = proxy.address.rpartition(":")
        reader, writer = await asyncio.open_connection(own_host, int(own_port))
        writer.write(b"first")
        assert await reader.readexactly(5) == b"first"
        await session(proxy, reader, writer)
        writer.close()
        await proxy.stop()
        server.close()

    asyncio.run(main())


def test_reset_ends_connections_visibly() -> None:
    async def session(
        proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        proxy.reset()
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)

    through_proxy(session)


@pytest.mark.parametrize("one_way", [False, True], ids=["both-ways", "one-way"])
def test_silence_holds_and_passes_on_when_mended(one_way: bool) -> None:
    async def session(
        proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        proxy.silence(one_way)
        writer.write(b"held")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 0.1)
        proxy.mend()
        assert await asyncio.wait_for(reader.read(100), 1.0) == b"held"

    through_proxy(session)


def test_delay_counts_both_ways() -> None:
    async def session(
        proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        proxy.delay_s = 0.05
        loop = asyncio.get_running_loop()
        began = loop.time()
        writer.write(b"late")
        assert await reader.readexactly(4) == b"late"
        assert loop.time() - began >= 0.1

    through_proxy(session)
