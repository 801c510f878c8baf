"""Load: callers of a leaving box whose drain time is shorter than their deadlines."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import httpx
import pytest

from tests.gateway.test_http import IN_FORCE, KEY, SERVICE, Broken
from trackwheel.clock import steady_now
from trackwheel.dispatch.models import ExecuteAsk, PermitRequest, RunOutcome
from trackwheel.files.models import TargetSpec
from trackwheel.gateway.execution_runner import ExecutionRequest, ExecutionResult, ExecutionRunner
from trackwheel.gateway.forwarding import Forwarder
from trackwheel.gateway.http import CallersApp
from trackwheel.gateway.models import Forward
from trackwheel.gateway.target_selector import TargetSelector
from trackwheel.peers.models import PeerIdentity
from trackwheel.stop_deadline import StopDeadline
from trackwheel.telemetry.burn import Burn
from trackwheel.telemetry.explain import Traces

OWN = PeerIdentity("box", "b007", "own:1", "here", "here-a")
OWNER = PeerIdentity("owner", "b008", "owner:1", "here", "here-a")
LONG_S = 30.0


class FakeHub:
    """Records what is sent and the handler of each message type."""

    def __init__(self) -> None:
        self.identity = OWN
        self.sent: list[Any] = []
        self.handler_by_type: dict[type[Any], Callable[[PeerIdentity, Any], None]] = {}

    def register(self, kind: type[Any], handler: Callable[[PeerIdentity, Any], None]) -> None:
        self.handler_by_type[kind] = handler

    def on_link_lost(self, handler: object) -> None:
        pass

    def send(self, address: str, message: object) -> bool:
        self.sent.append(message)
        return True


@pytest.mark.parametrize(
    ("is_permitted", "outcome"),
    [
        pytest.param(False, RunOutcome.NOT_RUN, id="waits-at-the-owner"),
        pytest.param(True, RunOutcome.UNKNOWN, id="at-the-target"),
    ],
)
def test_stop_settles_what_is_in_progress(is_permitted: bool, outcome: RunOutcome) -> None:
    """A request that runs at most once was cut off with its box, with no word of its outcome."""
    fake = FakeHub()
    hub: Any = fake
    owners: Any = SimpleNamespace(owner=lambda service, target: OWNER)
    runner = ExecutionRunner(hub, owners, TargetSelector(seed=0), Traces())
    service = SERVICE._replace(targets_by_instance=((TargetSpec("t:1", "here", "here-a"),),))
    (request_id,) = runner.issue("clerks", 1)
    request = ExecutionRequest(request_id, "clerks", service, "key", "body", LONG_S)

    async def scenario() -> ExecutionResult:
        running = asyncio.ensure_future(runner.run(request))
        await asyncio.sleep(0.01)
        (ask,) = fake.sent
        assert isinstance(ask, ExecuteAsk)
        if is_permitted:
            permit = PermitRequest(ask.query_id, ask.nonce, ask.target, request_id, OWN.boot)
            fake.handler_by_type[PermitRequest](OWNER, permit)
        runner.stop()
        async with asyncio.timeout(1.0):
            return await running

    assert asyncio.run(scenario()).outcome is outcome
    assert runner.running == 0


def test_stop_ends_the_wait_for_another_box() -> None:
    """A request that was forwarded to the box of its id was cut off with the box that waited."""
    hub: Any = FakeHub()
    directory: Any = SimpleNamespace(boot_address=lambda boot: OWNER.address)
    forwarder = Forwarder(hub, directory)
    forward = Forward("", OWNER.boot, "id", "s", "clerks", "key", "body", LONG_S * 1000)

    async def scenario() -> object:
        waiting = asyncio.ensure_future(forwarder.forward_to_issuer(forward))
        await asyncio.sleep(0.01)
        assert not waiting.done()
        forwarder.stop()
        async with asyncio.timeout(1.0):
            return await waiting

    assert asyncio.run(scenario()) is None


@pytest.mark.parametrize(
    ("left_s", "status"),
    [pytest.param(-0.1, 503, id="no-time-left"), pytest.param(5.0, 500, id="time-left")],
)
def test_request_after_the_last_answer_of_a_leaving_box_is_refused(
    left_s: float, status: int
) -> None:
    """Requests on kept connections were begun in the last moments and cut off."""
    stop = StopDeadline()
    stop.set(steady_now() + left_s)
    # Any request that is not refused meets a part that is broken.
    broken: Any = Broken()
    app = CallersApp(lambda: IN_FORCE, lambda: True, broken, broken, broken, Burn(), stop).app()

    async def scenario() -> httpx.Response:
        transport = httpx.ASGITransport(app=app)
        async with httpx.AsyncClient(transport=transport, base_url="http://box") as client:
            headers = {"Authorization": f"Bearer {KEY}"}
            return await client.post("/v1/query", json={"service": "s"}, headers=headers)

    response = asyncio.run(scenario())
    assert response.status_code == status
    if status == 503:
        assert response.json()["error"]["code"] == "not_ready"
        assert response.json()["retry_after_ms"] > 0
