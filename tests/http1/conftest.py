"""Raw peers for the HTTP edge."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from trackwheel.http1.models import Request, Response
from trackwheel.http1.server import Exchange, Handler, ServerConnection, ServerState
from trackwheel.routing.models import Limits

LIMITS = Limits(500, 1000, 0.2, 0.5)


class Served:
    """A server on a free port with a handler that notes what it gets."""

    def __init__(self, handler: Handler | None = None, limits: Limits = LIMITS) -> None:
        self.requests: list[Request] = []
        self.gone = 0
        self.state = ServerState(handler or self.answer, lambda: limits)
        self.port = 0
        self._server: asyncio.Server | None = None

    def answer(self, request: Request, exchange: Exchange) -> None:
        """Answer with the request's own target and body."""
        self.requests.append(request)
        exchange.respond(Response(200, (), request.target + b" " + request.body))

    def keep(self, request: Request, exchange: Exchange) -> None:
        """Answer nothing; count clients that leave."""
        self.requests.append(request)

        def gone() -> None:
            self.gone += 1

        exchange.on_disconnect = gone

    async def __aenter__(self) -> "Served":
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
    """Run a coroutine within some seconds."""

    def run_it(coroutine: Coroutine[Any, Any, None]) -> None:
        async def bounded() -> None:
            async with asyncio.timeout(10):
                await coroutine

        asyncio.run(bounded())

    return run_it
