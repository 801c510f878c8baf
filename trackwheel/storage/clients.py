"""HTTP clients of the platform's services, whose API is described in docs/PLATFORM.md."""

import base64
import binascii
from typing import Final

import anyio
import httpx
import msgspec
from returns.result import Failure, Result, Success

from trackwheel.storage.const import (
    CALL_TIMEOUT_S,
    MAX_ANSWER_BYTES,
    STATUS_CONFLICT,
    STATUS_OK,
    WATCH_WAIT_S,
)
from trackwheel.storage.errors import PlatformError, platform_error
from trackwheel.storage.models import BoxList, StoredValue, WriteResult


class _ReadReply(msgspec.Struct):
    value: str | None
    revision: int


class _WriteReply(msgspec.Struct):
    written: bool
    revision: int


class OversizedAnswerError(ValueError):
    """Raised when an answer exceeds the limit."""


_UNCOMPRESSED: Final = {"Accept-Encoding": "identity"}
_CALL_ERRORS: Final = (httpx.HTTPError, TimeoutError, OversizedAnswerError)


async def _exchange(
    client: httpx.AsyncClient,
    method: str,
    url: str,
    timeout_s: float,
    *,
    params: dict[str, str] | None = None,
    json: object = None,
) -> tuple[int, bytes]:
    """Return the status and the body of an answer; raise one of `_CALL_ERRORS`.

    The time-outs of httpx apply to each read, so an answer that trickles in would never end.
    """
    content = bytearray()
    with anyio.fail_after(timeout_s):
        async with client.stream(
            method, url, params=params, json=json, timeout=timeout_s
        ) as response:
            async for part in response.aiter_raw():
                content += part
                if len(content) > MAX_ANSWER_BYTES:
                    raise OversizedAnswerError(f"answer exceeds {MAX_ANSWER_BYTES} bytes")
    return response.status_code, bytes(content)


class HttpKeyValue:
    """Client of the key-value service, based on httpx."""

    def __init__(self, url: str, timeout_s: float = CALL_TIMEOUT_S) -> None:
        self._url = url
        self._timeout_s = timeout_s
        self._client = httpx.AsyncClient(headers=_UNCOMPRESSED, trust_env=False)
        self.calls = 0

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def get(self, key: str) -> Result[StoredValue, PlatformError]:
        """Return the value of a key."""
        return await self._read("get", f"/kv/{key}", {}, CALL_TIMEOUT_S)

    async def watch(self, key: str, after: int) -> Result[StoredValue, PlatformError]:
        """Return the value of a key once its revision differs from `after`, or after a timeout."""
        parameters = {"after": str(after), "wait_s": str(WATCH_WAIT_S)}
        timeout_s = WATCH_WAIT_S + CALL_TIMEOUT_S
        return await self._read("watch", f"/watch/{key}", parameters, timeout_s)

    async def compare_and_swap(
        self, key: str, value: bytes, revision: int
    ) -> Result[WriteResult, PlatformError]:
        """Write a value if the key has the given revision; a failed call may have taken effect."""
        self.calls += 1
        body = {"value": base64.b64encode(value).decode(), "if_revision": revision}
        try:
            status, content = await _exchange(
                self._client, "PUT", f"{self._url}/kv/{key}", self._timeout_s, json=body
            )
            if status not in (STATUS_OK, STATUS_CONFLICT):
                return self._failure("compare_and_swap", f"status {status}")
            reply = msgspec.json.decode(content, type=_WriteReply)
        except (*_CALL_ERRORS, msgspec.DecodeError) as error:
            return self._failure("compare_and_swap", error)
        return Success(WriteResult(reply.written, reply.revision))

    async def _read(
        self, step: str, path: str, parameters: dict[str, str], timeout_s: float
    ) -> Result[StoredValue, PlatformError]:
        self.calls += 1
        try:
            status, content = await _exchange(
                self._client, "GET", f"{self._url}{path}", timeout_s, params=parameters
            )
            if status != STATUS_OK:
                return self._failure(step, f"status {status}")
            reply = msgspec.json.decode(content, type=_ReadReply)
            value = base64.b64decode(reply.value or "", validate=True)
        except (*_CALL_ERRORS, msgspec.DecodeError, binascii.Error) as error:
            return self._failure(step, error)
        return Success(StoredValue(value, reply.revision))

    def _failure(self, step: str, error: object) -> Failure[PlatformError]:
        return Failure(platform_error(step, self._url, error))


class HttpBoxList:
    """Client of the box list, based on httpx."""

    def __init__(self, url: str) -> None:
        self._url = url
        self._client = httpx.AsyncClient(headers=_UNCOMPRESSED, trust_env=False)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def read(self) -> Result[BoxList, PlatformError]:
        """Return the current list."""
        try:
            status, content = await _exchange(
                self._client, "GET", f"{self._url}/boxes", CALL_TIMEOUT_S
            )
            if status != STATUS_OK:
                return Failure(platform_error("box_list", self._url, f"status {status}"))
            return Success(msgspec.json.decode(content, type=BoxList))
        except (*_CALL_ERRORS, msgspec.DecodeError) as error:
            return Failure(platform_error("box_list", self._url, error))
