"""Requests that come to a box before it knows any configuration."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from trackwheel.http1.models import Request
from trackwheel.http1.server import Exchange
from trackwheel.relay.const import EARLY_HELD, EARLY_WAIT_S

Action = Callable[[Request, Exchange], None]


class _Held(NamedTuple):
    request: Request
    timer: asyncio.TimerHandle


class EarlyRequests:
    """Hold requests for the moment in which a box that starts reads its configuration.

    A client that is refused comes back later than its answer would have come.
    """

    def __init__(self, handle: Action, refuse: Action) -> None:
        self._handle = handle
        self._refuse = refuse
        self._held_by_exchange: dict[Exchange, _Held] = {}

    def take(self, request: Request, exchange: Exchange) -> None:
        """Hold a request; refuse it when nothing is known in time, or when too many wait."""
        if len(self._held_by_exchange) >= EARLY_HELD:
            self._refuse(request, exchange)
            return
        exchange.on_disconnect = partial(self._forget, exchange)
        timer = asyncio.get_running_loop().call_later(EARLY_WAIT_S, self._late, exchange)
        self._held_by_exchange[exchange] = _Held(request, timer)

    def release(self) -> None:
        """Handle what waits, now that a configuration is known."""
        for exchange in list(self._held_by_exchange):
            self._handle(self._drop(exchange), exchange)

    def _forget(self, exchange: Exchange) -> None:
        self._drop(exchange)

    def _late(self, exchange: Exchange) -> None:
        self._refuse(self._drop(exchange), exchange)

    def _drop(self, exchange: Exchange) -> Request:
        held = self._held_by_exchange.pop(exchange)
        held.timer.cancel()
        return held.request
