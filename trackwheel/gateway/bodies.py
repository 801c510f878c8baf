"""Request bodies, read and validated within limits of size, time and memory."""

from typing import TypeVar

import anyio
import msgspec
from starlette.requests import Request

from trackwheel.gateway.const import (
    MAX_REQUEST_BYTES,
    MEMORY_RETRY_AFTER_S,
    READ_TIMEOUT_S,
    RECEIVING_BYTES,
    REQUEST_BYTES,
)
from trackwheel.gateway.errors import CallerError, Code, refusal
from trackwheel.http1.const import DEFAULT_MEMORY_BYTES, REQUEST_SHARE_OF_MEMORY
from trackwheel.http1.memory_share import MemoryShare

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


class _UnfinishedBody:
    """A body that is being received."""

    def __init__(self) -> None:
        self.content = bytearray()
        self.dropped = False
        self.scope = anyio.CancelScope()

    def drop(self) -> None:
        """Stop receiving it."""
        self.dropped = True
        self.content = bytearray()
        self.scope.cancel()


class BodyReader:
    """Read bodies; all of them together, until their requests end, are bounded in memory.

    Beyond the limit, the largest body that is still being received is refused first.
    """

    def __init__(self, memory_bytes: int = DEFAULT_MEMORY_BYTES) -> None:
        limit_bytes = int(memory_bytes * REQUEST_SHARE_OF_MEMORY)
        self._share: MemoryShare[_UnfinishedBody] = MemoryShare(limit_bytes, _UnfinishedBody.drop)

    @property
    def held_bytes(self) -> int:
        """Return the memory of all bodies."""
        return self._share.held_bytes

    async def read(self, request: Request, body_type: type[T]) -> T:
        """Read and decode a body; raise `CallerError` if it cannot be served.

        Its memory is counted until `release` is called for the request.
        """
        body = _UnfinishedBody()
        try:
            with body.scope:
                body.scope.deadline = anyio.current_time() + READ_TIMEOUT_S
                await self._receive(request, body)
        finally:
            self._share.hold(body, 0)
        if body.dropped:
            raise _no_memory()
        if body.scope.cancelled_caught:
            detail = f"request body not received within {READ_TIMEOUT_S:.0f} s"
            remedy = "Send the complete body without delay"
            raise refusal(Code.BAD_REQUEST, "read", detail, remedy)
        size = REQUEST_BYTES + len(body.content)
        if not self._share.reserve(size):
            raise _no_memory()
        request.state.reserved_bytes = size
        return _decode(body.content, body_type)

    def release(self, request: Request) -> None:
        """Stop counting the body of a request that has ended."""
        self._share.release(getattr(request.state, "reserved_bytes", 0))

    async def _receive(self, request: Request, body: _UnfinishedBody) -> None:
        self._share.hold(body, RECEIVING_BYTES)
        async for part in request.stream():
            if len(body.content) + len(part) > MAX_REQUEST_BYTES:
                detail = f"request body exceeds {MAX_REQUEST_BYTES} bytes"
                raise refusal(Code.TOO_LARGE, "read", detail, "Send a smaller request")
            body.content += part
            self._share.hold(body, RECEIVING_BYTES + len(body.content))


def _decode(content: bytearray, body_type: type[T]) -> T:
    try:
        return msgspec.json.decode(content, type=body_type)
    except (msgspec.DecodeError, RecursionError) as error:
        remedy = "Send JSON as described in docs/CALLERS.md"
        raise refusal(Code.BAD_REQUEST, "read", str(error), remedy) from error


def _no_memory() -> CallerError:
    detail = "the requests of all callers take the memory that this box has for them"
    return refusal(Code.OVERLOADED, "read", detail, "Retry later", MEMORY_RETRY_AFTER_S)
