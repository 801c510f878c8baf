"""A loopback proxy that delays, resets, silences or cuts connections one way."""

import asyncio
import struct
from socket import SO_LINGER, SOL_SOCKET
from typing import Final

CHUNK_BYTES: Final = 65_536
RESET_AT_CLOSE: Final = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a close sends a reset instead of an end."""


class Proxy:
    """Stand between boxes and one address; faults are attributes that the soak sets."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._open = asyncio.Event()
        self._open.set()
        self.address = ""
        self.delay_s = 0.0
        self.one_way = False
        """Whether only what the target sends is held."""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close everything."""
        assert self._server is not None
        self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in tuple(self._writers):
            socket = writer.get_extra_info("socket")
            socket.setsockopt(SOL_SOCKET, SO_LINGER, RESET_AT_CLOSE)
            writer.transport.abort()

    def silence(self, one_way: bool) -> None:
        """Hold what is sent, on open connections and on new ones."""
        self.one_way = one_way
        self._open.clear()

    def mend(self) -> None:
        """Pass everything on again, also what was held."""
        self.delay_s = 0.0
        self._open.set()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._target.rpartition(":")
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            self._drop(writer)
            return
        self._writers.add(far_writer)
        try:
            await asyncio.gather(
                self._pass_on(reader, far_writer, from_target=False),
                self._pass_on(far_reader, writer, from_target=True),
            )
        finally:
            self._drop(writer)
            self._drop(far_writer)

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, from_target: bool
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if from_target or not self.one_way:
                    await self._open.wait()
                await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except OSError:
            # Whoever reset the connection, the other side sees a reset too.
            writer.transport.abort()

    def _drop(self, writer: asyncio.StreamWriter) -> None:
        self._writers.discard(writer)
        writer.transport.abort()
