"""Responses and log lines of the relay before it has a configuration."""

import asyncio
import json
from types import SimpleNamespace
from typing import Any

import pytest

from tests.platform.test_wire import CONFIG
from tests.relay.conftest import HERE
from trackwheel.http1.models import Request, Response
from trackwheel.platform.decode import decode_routes
from trackwheel.platform.load import LoadReader
from trackwheel.platform.wire import PlatformWire
from trackwheel.relay.const import STARTUP_WAIT_S
from trackwheel.relay.service import RelayService

HEADERS = ((b"x-attempt-id", b"r1"), (b"x-deadline-ms", b"500"))
REQUEST = Request(b"GET", b"/nowhere/x", HEADERS, b"", 0.0)


class Fixture:
    """A relay without a configuration, its log events and its responses."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.answers: list[Response] = []
        log: Any = SimpleNamespace(write=lambda kind, **fields: self.events.append((kind, fields)))
        part: Any = None
        groups: Any = SimpleNamespace(peer_tracker=None)
        wire = PlatformWire(LoadReader(log))
        self.relay = RelayService(wire, part, part, part, groups, part, log, part, HERE, "o:1")

    async def ask(self) -> Any:
        exchange: Any = ClientExchange(self.answers)
        self.relay.handle(REQUEST, exchange)
        return exchange


class ClientExchange:
    """Records the response to one request."""

    def __init__(self, answers: list[Response]) -> None:
        self.respond = answers.append
        self.on_disconnect: Any = None


def test_request_before_any_configuration_is_refused_soon_and_logged() -> None:
    """Without the log line, nobody could find the cause of the refusal."""
    fixture = Fixture()

    async def scenario() -> None:
        await fixture.ask()
        assert not fixture.answers
        await asyncio.sleep(STARTUP_WAIT_S * 1.5)

    asyncio.run(scenario())
    (answer,) = fixture.answers
    assert answer.status == 503
    assert b"retry-after" in {name for name, _ in answer.headers}
    assert fixture.events == [
        (
            "given_up",
            {
                "id": "r1",
                "ran": False,
                "late": False,
                "reason": "no configuration is known yet",
                "cause": "no_configuration",
            },
        )
    ]
    assert fixture.relay.ended_by_kind[("no_configuration",)] == 1
    assert fixture.relay.not_served == {("no_configuration", "early"): 1}


@pytest.mark.parametrize("leaves", [False, True], ids=["waits", "leaves"])
def test_request_that_waits_is_served_by_the_first_configuration(leaves: bool) -> None:
    """Without the wait, 35 of 3,100 requests were retried late after a start of the fleet."""
    fixture = Fixture()

    async def scenario() -> None:
        exchange = await fixture.ask()
        if leaves:
            exchange.on_disconnect()
        fixture.relay.set_table(decode_routes(json.dumps(CONFIG).encode()).unwrap())
        await asyncio.sleep(STARTUP_WAIT_S * 1.5)

    asyncio.run(scenario())
    assert [answer.status for answer in fixture.answers] == ([] if leaves else [404])


def test_requests_beyond_the_queue_limit_are_refused_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("trackwheel.relay.startup_queue.STARTUP_MAX_WAITING", 1)
    fixture = Fixture()

    async def scenario() -> None:
        await fixture.ask()
        await fixture.ask()
        assert [answer.status for answer in fixture.answers] == [503]

    asyncio.run(scenario())
