"""Request bodies, read and validated within limits of size and time."""

from typing import TypeVar

import anyio
import msgspec
from starlette.requests import Request

from trackwheel.gateway.const import MAX_REQUEST_BYTES, READ_TIMEOUT_S
from trackwheel.gateway.errors import Code, refusal

T = TypeVar("T", bound=msgspec.Struct)


class QueryBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a query; the deadline can only shorten the one of the policy."""

    service: str
    query: str = ""
    deadline_ms: float | None = None


class ExecuteBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of an at-most-once request."""

    service: str
    key: str
    body: str = ""
    id: str | None = None
    deadline_ms: float | None = None


class IdsBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request for new ids."""

    count: int = 1


async def read_body(request: Request, body_type: type[T]) -> T:
    """Read and decode a request body; raise `CallerError` if it is late, too large or invalid."""
    try:
        with anyio.fail_after(READ_TIMEOUT_S):
            content = await _read_bytes(request)
    except TimeoutError as error:
        detail = f"request body not received within {READ_TIMEOUT_S:.0f} s"
        raise refusal(
            Code.BAD_REQUEST, "read", detail, "Send the complete body without delay"
        ) from error
    try:
        return msgspec.json.decode(content, type=body_type)
    except (msgspec.DecodeError, RecursionError) as error:
        remedy = "Send JSON as described in docs/CALLERS.md"
        raise refusal(Code.BAD_REQUEST, "read", str(error), remedy) from error


async def _read_bytes(request: Request) -> bytes:
    parts: list[bytes] = []
    size = 0
    async for part in request.stream():
        size += len(part)
        if size > MAX_REQUEST_BYTES:
            detail = f"request body exceeds {MAX_REQUEST_BYTES} bytes"
            raise refusal(Code.TOO_LARGE, "read", detail, "Send a smaller request")
        parts.append(part)
    return b"".join(parts)
