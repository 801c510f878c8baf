"""The bodies of callers' requests, read within the limits of size and time."""

from typing import TypeVar

import anyio
import msgspec
from starlette.requests import Request

from trackwheel.gateway.const import MAX_REQUEST_BYTES, READ_TIMEOUT_S
from trackwheel.gateway.errors import Code, refuse

T = TypeVar("T", bound=msgspec.Struct)


class QueryBody(msgspec.Struct, forbid_unknown_fields=True):
    """Read the body of a query; the deadline may only shorten the policy's."""

    service: str
    query: str = ""
    deadline_ms: float | None = None


class ExecuteBody(msgspec.Struct, forbid_unknown_fields=True):
    """Read the body of a request that may run only once."""

    service: str
    key: str
    body: str = ""
    id: str | None = None
    deadline_ms: float | None = None


class IdsBody(msgspec.Struct, forbid_unknown_fields=True):
    """Read how many ids are wanted."""

    count: int = 1


async def read_body(request: Request, body_type: type[T]) -> T:
    """Return the body of a request, read within the limits of size and time."""
    try:
        with anyio.fail_after(READ_TIMEOUT_S):
            content = await _read_bytes(request)
    except TimeoutError as error:
        detail = f"the body did not come within {READ_TIMEOUT_S:.0f} s"
        raise refuse(Code.BAD_REQUEST, "read", detail, "Send the whole body at once") from error
    try:
        return msgspec.json.decode(content, type=body_type)
    except (msgspec.DecodeError, RecursionError) as error:
        remedy = "Send JSON as docs/CALLERS.md describes it"
        raise refuse(Code.BAD_REQUEST, "read", str(error), remedy) from error


async def _read_bytes(request: Request) -> bytes:
    parts: list[bytes] = []
    size = 0
    async for part in request.stream():
        size += len(part)
        if size > MAX_REQUEST_BYTES:
            detail = f"the body has more than {MAX_REQUEST_BYTES} bytes"
            raise refuse(Code.TOO_LARGE, "read", detail, "Send a smaller request")
        parts.append(part)
    return b"".join(parts)
