"""A connector of aiohttp that limits how many bytes are received for one answer."""

from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from trackwheel.targets.const import KEEP_ALIVE_S, MAX_RECEIVED_BYTES


class OversizedAnswerError(aiohttp.ClientPayloadError):
    """Raised when an answer exceeds a limit."""


class _LimitedHandler(ResponseHandler):
    """Closes the connection when one answer has taken more bytes than it may."""

    _received_bytes = 0

    def set_response_params(self, **parameters: Any) -> None:
        """Start to receive an answer."""
        self._received_bytes = 0
        super().set_response_params(**parameters)

    def data_received(self, data: bytes) -> None:
        """Feed the parser, or end the exchange."""
        self._received_bytes += len(data)
        if self._received_bytes <= MAX_RECEIVED_BYTES:
            super().data_received(data)
            return
        error = OversizedAnswerError(f"answer takes over {MAX_RECEIVED_BYTES} bytes")
        payload = self._payload
        self.set_exception(error)
        if payload is not None:
            payload.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


class LimitedConnector(aiohttp.TCPConnector):
    """Opens connections that limit the bytes of an answer.

    aiohttp itself limits the head, but neither interim answers nor chunk extensions.
    """

    def __init__(self) -> None:
        super().__init__(
            limit=0, limit_per_host=0, keepalive_timeout=KEEP_ALIVE_S, use_dns_cache=False
        )
        # aiohttp has no public way to choose the class of a connection's protocol.
        self._factory = partial(_LimitedHandler, loop=self._loop)  # type: ignore[assignment]
