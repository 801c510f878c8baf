"""A stand-in server whose answers have no end, or are too large, in one of several forms."""

import asyncio
import contextlib
from typing import Final, NamedTuple

_OK: Final = b"HTTP/1.1 200 OK\r\n"
_CHUNKED: Final = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
_WRITE_BYTES: Final = 65_536
_FULL_BUFFER_PAUSE_S: Final = 0.001


class Form(NamedTuple):
    """An answer: its first bytes, and what is repeated after them until the client closes."""

    start: bytes
    repeated: bytes


FORM_BY_NAME: Final = {
    "headers": Form(_OK, b"X-Filler: 0123456789\r\n"),
    "short-headers": Form(_OK, b"a:b\r\n"),
    "header-value": Form(_OK + b"X-Filler: ", b"v"),
    "header-name": Form(_OK, b"n"),
    "reason": Form(b"HTTP/1.1 200 ", b"r"),
    "interim-answers": Form(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "interim-headers": Form(b"HTTP/1.1 103 Early Hints\r\n", b"Link: <a>; rel=preload\r\n"),
    "chunked-body": Form(_CHUNKED, b"1000\r\n" + b"c" * 4096 + b"\r\n"),
    "one-chunk": Form(_CHUNKED + b"fffffffffff\r\n", b"c"),
    "one-byte-chunks": Form(_CHUNKED, b"1\r\nc\r\n"),
    "chunk-extension": Form(_CHUNKED + b"1;e=", b"x"),
    "trailers": Form(_CHUNKED + b"1\r\nc\r\n0\r\n", b"X-Filler: 0123456789\r\n"),
    "trailer-value": Form(_CHUNKED + b"1\r\nc\r\n0\r\nX-Filler: ", b"v"),
    "body-until-close": Form(_OK + b"\r\n", b"b"),
    "declared-terabyte": Form(_OK + b"Content-Length: 1099511627776\r\n\r\n", b"b"),
}
"""Answers without end, by the part that has none."""


async def write_without_end(transport: asyncio.Transport, form: Form) -> None:
    """Write an answer in one form over a connection until the client closes it."""
    block = form.repeated * max(1, _WRITE_BYTES // len(form.repeated))
    transport.write(form.start)
    while not transport.is_closing():
        if transport.get_write_buffer_size() < _WRITE_BYTES:
            transport.write(block)
        await asyncio.sleep(_FULL_BUFFER_PAUSE_S)


class EndlessServer:
    """Answers each request in one form, as fast as it is read, and counts what it has sent.

    `pause_s` is the pause between two writes, `write_bytes` their least size.
    """

    def __init__(
        self, form: Form, pause_s: float = 0.0, write_bytes: int = _WRITE_BYTES, most: int = 2**29
    ) -> None:
        self._form = form
        self._pause_s = pause_s
        self._block = form.repeated * max(1, write_bytes // len(form.repeated))
        self._most = most
        self._server: asyncio.Server | None = None
        self.port = 0
        self.connections = 0
        self.sent_bytes = 0

    async def __aenter__(self) -> "EndlessServer":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        sent = 0
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._form.start)
            while sent < self._most and not writer.is_closing():
                writer.write(self._block)
                await writer.drain()
                sent += len(self._block)
                self.sent_bytes += len(self._block)
                await asyncio.sleep(self._pause_s)
        writer.transport.abort()
