"""A minimal HTTP/1.1 server and client on asyncio streams, from the standard library only."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple


class Request(NamedTuple):
    """A request; header names are lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Answer(NamedTuple):
    """A complete answer; header names are lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


Handler = Callable[[Request], Awaitable[Answer | None]]
"""Returns the answer, or None to close the connection without one."""


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request with a body of a given length."""
    first, headers = await _read_head(reader)
    method, target, _ = first.split(" ", 2)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def encode_answer(answer: Answer) -> bytes:
    """Return an answer as bytes, with its length."""
    lines = [f"HTTP/1.1 {answer.status} -", f"content-length: {len(answer.body)}"]
    lines += [f"{name}: {value}" for name, value in answer.headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + answer.body


async def call(
    host: str, port: int, request: Request, timeout_s: float, connect_s: float = 1.0
) -> Answer | str:
    """Send one request on a new connection; return the answer, or how the connection ended."""
    try:
        async with asyncio.timeout(connect_s):
            reader, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError):
        return "no connection"
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in request.headers.items()]
    if request.body:
        lines.append(f"content-length: {len(request.body)}")
    try:
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + request.body)
        async with asyncio.timeout(timeout_s):
            first, headers = await _read_head(reader)
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            return Answer(int(first.split(" ")[1]), headers, body)
    except asyncio.IncompleteReadError:
        return "closed without an answer"
    except TimeoutError:
        return "client gave up"
    except OSError:
        return "reset without an answer"
    finally:
        writer.close()
