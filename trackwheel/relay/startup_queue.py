"""Requests that arrive at a box before it has a configuration and targets."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from trackwheel.http1.models import Request
from trackwheel.http1.server import Exchange
from trackwheel.relay.const import STARTUP_MAX_WAITING

RequestHandler = Callable[[Request, Exchange], None]


class _Waiting(NamedTuple):
    request: Request
    timer: asyncio.TimerHandle


class StartupQueue:
    """Holds requests while a starting box reads its configuration and targets.

    A client that is refused retries later than it would have been answered.
    """

    def __init__(self, handle: RequestHandler, refuse: RequestHandler) -> None:
        self._handle = handle
        self._refuse = refuse
        self._waiting_by_exchange: dict[Exchange, _Waiting] = {}

    def add(self, request: Request, exchange: Exchange, wait_s: float) -> None:
        """Hold a request; refuse it on time-out, or at once if too many are waiting."""
        if len(self._waiting_by_exchange) >= STARTUP_MAX_WAITING:
            self._refuse(request, exchange)
            return
        exchange.on_disconnect = partial(self._client_left, exchange)
        exchange.on_stop = partial(self._time_out, exchange)
        timer = asyncio.get_running_loop().call_later(wait_s, self._time_out, exchange)
        self._waiting_by_exchange[exchange] = _Waiting(request, timer)

    def release(self) -> None:
        """Handle all waiting requests, since more is known."""
        for exchange in list(self._waiting_by_exchange):
            self._handle(self._remove(exchange), exchange)

    def _client_left(self, exchange: Exchange) -> None:
        self._remove(exchange)

    def _time_out(self, exchange: Exchange) -> None:
        self._refuse(self._remove(exchange), exchange)

    def _remove(self, exchange: Exchange) -> Request:
        waiting = self._waiting_by_exchange.pop(exchange)
        waiting.timer.cancel()
        return waiting.request
