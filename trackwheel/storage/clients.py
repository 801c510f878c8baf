"""HTTP clients of the platform's services, whose API is described in docs/PLATFORM.md."""

import base64
import binascii

import httpx
import msgspec
from returns.result import Failure, Result, Success

from trackwheel.storage.const import (
    CALL_TIMEOUT_S,
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


class HttpKeyValue:
    """Client of the key-value service, based on httpx."""

    def __init__(self, url: str, timeout_s: float = CALL_TIMEOUT_S) -> None:
        self._url = url
        self._client = httpx.AsyncClient(timeout=timeout_s, trust_env=False)
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
            response = await self._client.put(f"{self._url}/kv/{key}", json=body)
            if response.status_code not in (STATUS_OK, STATUS_CONFLICT):
                return self._failure("compare_and_swap", f"status {response.status_code}")
            reply = msgspec.json.decode(response.content, type=_WriteReply)
        except (httpx.HTTPError, msgspec.DecodeError) as error:
            return self._failure("compare_and_swap", error)
        return Success(WriteResult(reply.written, reply.revision))

    async def _read(
        self, step: str, path: str, parameters: dict[str, str], timeout_s: float
    ) -> Result[StoredValue, PlatformError]:
        self.calls += 1
        try:
            response = await self._client.get(
                f"{self._url}{path}", params=parameters, timeout=timeout_s
            )
            if response.status_code != STATUS_OK:
                return self._failure(step, f"status {response.status_code}")
            reply = msgspec.json.decode(response.content, type=_ReadReply)
            value = base64.b64decode(reply.value or "", validate=True)
        except (httpx.HTTPError, msgspec.DecodeError, binascii.Error) as error:
            return self._failure(step, error)
        return Success(StoredValue(value, reply.revision))

    def _failure(self, step: str, error: object) -> Failure[PlatformError]:
        return Failure(platform_error(step, self._url, error))


class HttpBoxList:
    """Client of the box list, based on httpx."""

    def __init__(self, url: str) -> None:
        self._url = url
        self._client = httpx.AsyncClient(timeout=CALL_TIMEOUT_S, trust_env=False)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def read(self) -> Result[BoxList, PlatformError]:
        """Return the current list."""
        try:
            response = await self._client.get(f"{self._url}/boxes")
            if response.status_code != STATUS_OK:
                detail = f"status {response.status_code}"
                return Failure(platform_error("box_list", self._url, detail))
            return Success(msgspec.json.decode(response.content, type=BoxList))
        except (httpx.HTTPError, msgspec.DecodeError) as error:
            return Failure(platform_error("box_list", self._url, error))
