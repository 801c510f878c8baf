"""Many clients of one address that send a request in one form and keep their connections open."""

import asyncio
import contextlib
import socket
import threading
import time
from collections.abc import Callable
from types import TracebackType
from typing import Final, NamedTuple, Self

from trackwheel.addresses import split_address

SLICE_BYTES: Final = 65_536
SLOW_READ_BYTES: Final = 512
SLOW_READ_PERIOD_S: Final = 0.05
RECEIVE_BUFFER_BYTES: Final = 4_096
"""Receive buffer of clients that read slowly or nothing, so that their answers stay at the box."""
QUIET_S: Final = 1.5
POLL_PERIOD_S: Final = 0.1


class CrowdForm(NamedTuple):
    """What each client of a crowd sends once, how often, and whether it reads slowly."""

    clients: int
    sent: bytes
    repeats: int = 1
    reads_slowly: bool = False
    """Whether the clients read a little now and then; otherwise they read nothing."""


class Crowd:
    """Keep the connections of a crowd open until the end of the context."""

    def __init__(self, address: str, form: CrowdForm) -> None:
        self._address = split_address(address)
        self._form = form
        self._loop = asyncio.new_event_loop()
        self._leaving = asyncio.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.sent_bytes = 0

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._loop.call_soon_threadsafe(self._leaving.set)
        self._thread.join()

    def wait_quiet(self, timeout_s: float, held_bytes: Callable[[], int]) -> None:
        """Wait until neither the crowd's sent bytes nor the box's held bytes change any more."""
        end = time.monotonic() + timeout_s
        seen, seen_at = (-1, -1), time.monotonic()
        while time.monotonic() < end and time.monotonic() - seen_at < QUIET_S:
            now = (self.sent_bytes, held_bytes())
            if now != seen:
                seen, seen_at = now, time.monotonic()
            time.sleep(POLL_PERIOD_S)

    def _run(self) -> None:
        self._loop.run_until_complete(self._run_clients())
        self._loop.close()

    async def _run_clients(self) -> None:
        clients = [asyncio.ensure_future(self._client()) for _ in range(self._form.clients)]
        await self._leaving.wait()
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)

    async def _client(self) -> None:
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.setblocking(False)
            await self._loop.sock_connect(sock, self._address)
            reading = asyncio.ensure_future(self._read_slowly(sock))
            try:
                with contextlib.suppress(OSError):
                    await self._send(sock)
                await self._leaving.wait()
            finally:
                reading.cancel()

    async def _send(self, sock: socket.socket) -> None:
        content = memoryview(self._form.sent)
        for _ in range(self._form.repeats):
            for start in range(0, len(content), SLICE_BYTES):
                part = content[start : start + SLICE_BYTES]
                await self._loop.sock_sendall(sock, part)
                self.sent_bytes += len(part)

    async def _read_slowly(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while self._form.reads_slowly:
                await asyncio.sleep(SLOW_READ_PERIOD_S)
                await self._loop.sock_recv(sock, SLOW_READ_BYTES)
