"""An HTTP server and fixtures for its tests."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from trackwheel.http1.models import Request, Response
from trackwheel.http1.server import Exchange, Handler, ServerConnection, ServerState
from trackwheel.routing.models import Limits

LIMITS = Limits(500, 1000, 0.2, 0.5)


class RecordingServer:
    """A server on a free port that records the requests it handles."""

    def __init__(self, handler: Handler | None = None, limits: Limits = LIMITS) -> None:
        self.requests: list[Request] = []
        self.disconnects = 0
        self.state = ServerState(handler or self.answer, lambda: limits)
        self.port = 0
        self._server: asyncio.Server | None = None

    def answer(self, request: Request, exchange: Exchange) -> None:
        """Answer with the target and body of the request."""
        self.requests.append(request)
        exchange.respond(Response(200, (), request.target + b" " + request.body))

    def hold(self, request: Request, exchange: Exchange) -> None:
        """Leave the request unanswered and count disconnecting clients."""
        self.requests.append(request)

        def count_disconnect() -> None:
            self.disconnects += 1

        exchange.on_disconnect = count_disconnect

    async def __aenter__(self) -> "RecordingServer":
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self.state), "127.0.0.1", 0
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._server is not None
        self._server.close()


Run = Callable[[Coroutine[Any, Any, None]], None]


@pytest.fixture
def run() -> Run:
    """Return a function that runs a coroutine with a timeout."""

    def run_it(coroutine: Coroutine[Any, Any, None]) -> None:
        async def bounded() -> None:
            async with asyncio.timeout(10):
                await coroutine

        asyncio.run(bounded())

    return run_it
