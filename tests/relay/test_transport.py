"""Requests that wait for a connection to a target."""

import asyncio
from types import SimpleNamespace
from typing import Any

from tests.relay.conftest import ROUTE, target
from trackwheel.clock import steady_now
from trackwheel.http1.models import Request
from trackwheel.relay.models import Outcome, TargetResult
from trackwheel.relay.transport import MIN_CONNECTIONS, TargetAttempt, TargetTransport
from trackwheel.selection.target_selector import TargetSelector


def test_waiting_request_is_not_sent_to_a_target_that_is_gone(selector: TargetSelector) -> None:
    """Targets got requests up to 4 s after their entries had gone, as connections became free."""
    ended: list[tuple[int, Outcome]] = []

    async def scenario() -> None:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        gone = target("t", "s0")._replace(address=f"127.0.0.1:{port}")
        wire: Any = SimpleNamespace(
            target_request=lambda *_: Request(b"GET", b"/", (), b"", steady_now())
        )
        log: Any = SimpleNamespace(write=lambda kind, **fields: None)
        transport = TargetTransport(wire, selector, steady_now, log)
        transport.set_limits({"s0": MIN_CONNECTIONS}, 1)

        def send(number: int) -> None:
            def end(result: TargetResult) -> None:
                ended.append((number, result.outcome))

            request: Any = SimpleNamespace(request_id=str(number))
            attempt = TargetAttempt(number, request, gone, ROUTE, "first", True, False)
            transport.send(attempt, end)

        for number in range(MIN_CONNECTIONS + 1):
            send(number)
        async with asyncio.timeout(5.0):
            while transport.is_waiting(0, gone) or transport.is_waiting(1, gone):
                await asyncio.sleep(0.01)
        transport.close_unknown(set())
        server.close()

    asyncio.run(scenario())
    assert ended == [(MIN_CONNECTIONS, Outcome.NOT_SENT)]
