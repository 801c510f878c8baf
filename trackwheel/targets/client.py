"""HTTP client for targets, based on aiohttp; docs/decisions/0002 has the measurement."""

from typing import Final

import aiohttp

from trackwheel.http1.const import FIRST_FINAL_STATUS, LAST_STATUS
from trackwheel.targets.const import (
    HEADER_BOOT,
    HEADER_DEADLINE,
    HEADER_DRAINING,
    HEADER_RETRY_AFTER,
    HEADER_RUN,
    MAX_ANSWER_BYTES,
    RUN_NOT_EXECUTED,
)
from trackwheel.targets.errors import (
    broken_error,
    closed_error,
    oversized_error,
    unreachable_error,
)
from trackwheel.targets.limited_connector import LimitedConnector, OversizedAnswerError
from trackwheel.targets.models import TargetReply

_SKIPPED_HEADERS: Final = ("User-Agent", "Accept-Encoding", "Accept")


class AiohttpTargetClient:
    """Exchange requests over keep-alive connections; the owner limits their concurrency."""

    def __init__(self) -> None:
        self._session = aiohttp.ClientSession(
            connector=LimitedConnector(),
            timeout=aiohttp.ClientTimeout(total=None),
            auto_decompress=False,
            skip_auto_headers=_SKIPPED_HEADERS,
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def post(self, target: str, path: str, body: bytes, deadline_ms: float) -> TargetReply:
        """Return the whole reply; raise `TargetUnreachableError` or `TargetBrokenError`."""
        headers = {HEADER_DEADLINE: f"{deadline_ms:.0f}", "Content-Type": "application/json"}
        return await self._exchange("POST", target, path, body, headers)

    async def get(self, target: str, path: str) -> TargetReply:
        """Return the whole reply; raise `TargetUnreachableError` or `TargetBrokenError`."""
        return await self._exchange("GET", target, path, None, {})

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _exchange(
        self, method: str, target: str, path: str, body: bytes | None, headers: dict[str, str]
    ) -> TargetReply:
        url = f"http://{target}{path}"
        try:
            async with self._session.request(
                method, url, data=body, headers=headers, allow_redirects=False
            ) as response:
                if not FIRST_FINAL_STATUS <= response.status <= LAST_STATUS:
                    response.close()
                    raise ValueError(f"status {response.status:03}")
                content = await self._read(response)
        except aiohttp.ClientConnectorError as error:
            raise unreachable_error(target, error) from error
        except (aiohttp.ServerDisconnectedError, ConnectionResetError) as error:
            raise closed_error(target, error) from error
        except OversizedAnswerError as error:
            raise oversized_error(target, error) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise broken_error(target, error) from error
        return _build_reply(response, content)

    async def _read(self, response: aiohttp.ClientResponse) -> bytes:
        """Read the body; an oversized one raises an error, which closes the connection."""
        if (response.content_length or 0) > MAX_ANSWER_BYTES:
            raise OversizedAnswerError(f"response body exceeds {MAX_ANSWER_BYTES} bytes")
        if response.content_length is not None:
            return await response.read()
        parts = []
        size = 0
        async for part in response.content.iter_any():
            size += len(part)
            if size > MAX_ANSWER_BYTES:
                raise OversizedAnswerError(f"response body exceeds {MAX_ANSWER_BYTES} bytes")
            parts.append(part)
        return b"".join(parts)


def _build_reply(response: aiohttp.ClientResponse, content: bytes) -> TargetReply:
    headers = response.headers
    return TargetReply(
        status=response.status,
        boot=headers.get(HEADER_BOOT, ""),
        draining=headers.get(HEADER_DRAINING) == "1",
        not_run=headers.get(HEADER_RUN) == RUN_NOT_EXECUTED,
        retry_after_s=_parse_retry_after_s(headers.get(HEADER_RETRY_AFTER, "")),
        body=content,
    )


def _parse_retry_after_s(text: str) -> float:
    return min(float(text), 3600.0) if text.isdigit() else 0.0
