"""A connector of aiohttp that limits what is received for an answer beside its body."""

from functools import partial
from typing import Any

import aiohttp
from aiohttp import StreamReader
from aiohttp.client_proto import ResponseHandler

from trackwheel.http1.const import MAX_FRAMING_BYTES, MAX_HEAD_BYTES
from trackwheel.targets.const import KEEP_ALIVE_S


class OversizedAnswerError(aiohttp.ClientPayloadError):
    """Raised when an answer exceeds a limit."""


class _LimitedHandler(ResponseHandler):
    """Closes the connection when an answer has taken too many bytes beside its body.

    Their number also limits the time of the event loop: to parse a megabyte of interim answers
    takes a fifth of a second.
    """

    _received_bytes = 0
    _earlier_payload: StreamReader | None = None

    def set_response_params(self, **parameters: Any) -> None:
        """Start to receive an answer."""
        self._received_bytes = 0
        self._earlier_payload = self._payload
        super().set_response_params(**parameters)

    def data_received(self, data: bytes) -> None:
        """Feed the parser, then end the exchange if its answer exceeds a limit."""
        self._received_bytes += len(data)
        super().data_received(data)
        has_head = self._payload is not None and self._payload is not self._earlier_payload
        content_bytes = self._payload.total_bytes if has_head and self._payload else 0
        limit = MAX_HEAD_BYTES + (MAX_FRAMING_BYTES + content_bytes if content_bytes else 0)
        if self._received_bytes - content_bytes > limit:
            self._end_oversized(limit)

    def _end_oversized(self, limit: int) -> None:
        error = OversizedAnswerError(f"answer takes over {limit} bytes beside its body")
        payload = self._payload
        self.set_exception(error)
        if payload is not None:
            payload.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


class LimitedConnector(aiohttp.TCPConnector):
    """Opens connections that limit the bytes of an answer beside its body.

    aiohttp itself limits the head, but neither interim answers nor chunk extensions.
    """

    def __init__(self) -> None:
        super().__init__(
            limit=0, limit_per_host=0, keepalive_timeout=KEEP_ALIVE_S, use_dns_cache=False
        )
        # aiohttp has no public way to choose the class of a connection's protocol.
        self._factory = partial(_LimitedHandler, loop=self._loop)  # type: ignore[assignment]
