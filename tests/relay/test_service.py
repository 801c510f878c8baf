"""Responses and log lines of the relay before it has a configuration and targets."""

import asyncio
import json
from types import SimpleNamespace
from typing import Any

import pytest

from tests.platform.test_wire import CONFIG
from tests.relay.conftest import HERE
from trackwheel.clock import steady_now
from trackwheel.http1.models import Request, Response
from trackwheel.platform.decode import decode_routes
from trackwheel.platform.load import LoadReader
from trackwheel.platform.wire import PlatformWire
from trackwheel.relay.const import STARTUP_WAIT_SHARE
from trackwheel.relay.service import RelayService

DEADLINE_S = 0.5
HEADERS = (
    (b"host", b"h.example"),
    (b"x-attempt-id", b"r1"),
    (b"x-deadline-ms", b"500"),
)
WAIT_S = DEADLINE_S * STARTUP_WAIT_SHARE


class Fixture:
    """A relay without a configuration, its log events and its responses."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.answers: list[Response] = []
        log: Any = SimpleNamespace(write=lambda kind, **fields: self.events.append((kind, fields)))
        part: Any = None
        groups: Any = SimpleNamespace(peer_tracker=None)
        wire = PlatformWire(LoadReader(log))
        # Every request that gets past the start is held, so that no target is asked.
        held: Any = SimpleNamespace(retry_after_s=lambda fingerprint: 1.0)
        self.relay = RelayService(wire, part, part, part, groups, held, log, part, HERE, "o:1")

    async def ask(self, path: bytes = b"/nowhere/x") -> Any:
        exchange: Any = ClientExchange(self.answers)
        self.relay.handle(Request(b"GET", path, HEADERS, b"", steady_now()), exchange)
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
        await asyncio.sleep(WAIT_S * 1.5)

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
        await asyncio.sleep(WAIT_S * 1.5)

    asyncio.run(scenario())
    assert [answer.status for answer in fixture.answers] == ([] if leaves else [404])


@pytest.mark.parametrize(
    ("targets_come", "event"),
    [
        pytest.param(True, "held_request", id="served"),
        pytest.param(False, "given_up", id="refused-in-the-end"),
    ],
)
def test_request_that_waits_is_not_refused_between_configuration_and_targets(
    targets_come: bool, event: str
) -> None:
    """Load: all boxes start at once, and each knows its configuration before the first target."""
    fixture = Fixture()

    async def scenario() -> None:
        await fixture.ask(b"/a/x")
        fixture.relay.set_table(decode_routes(json.dumps(CONFIG).encode()).unwrap())
        assert not fixture.answers
        if targets_come:
            fixture.relay.targets_known()
            assert len(fixture.answers) == 1
        await asyncio.sleep(WAIT_S * 1.5)

    asyncio.run(scenario())
    assert [answer.status for answer in fixture.answers] == [503]
    assert [kind for kind, _ in fixture.events] == [event]


@pytest.mark.parametrize("deadline_ms", [100, 400])
def test_wait_for_a_start_is_a_share_of_the_time_of_the_request(deadline_ms: int) -> None:
    """Load: a start takes longer than one request can wait and not as long as another one can."""
    fixture = Fixture()

    async def scenario() -> None:
        headers = (*HEADERS[:2], (b"x-deadline-ms", str(deadline_ms).encode()))
        exchange: Any = ClientExchange(fixture.answers)
        fixture.relay.handle(Request(b"GET", b"/a/x", headers, b"", steady_now()), exchange)
        await asyncio.sleep(0.06)

    asyncio.run(scenario())
    assert bool(fixture.answers) is (deadline_ms == 100)


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
