"""Load: queries over hundreds of shards on boxes that get one every few seconds.

The state of one such query is some 2,000 objects. Where a cycle keeps it after the end, the boxes
hold ten of them until the garbage collector runs, minutes later, on boxes that have 32 MB.
"""

import asyncio
import gc
import json
import weakref
from collections.abc import Callable, Iterator
from types import SimpleNamespace
from typing import Any

import pytest

from tests.platform.test_wire import CONFIG
from tests.relay.conftest import HERE, target, target_result
from trackwheel.clock import steady_now
from trackwheel.delegation.peers import PeerTracker
from trackwheel.http1.models import Request, Response
from trackwheel.http1.server import _ServerExchange
from trackwheel.platform.decode import decode_routes
from trackwheel.platform.load import LoadReader
from trackwheel.platform.wire import PlatformWire
from trackwheel.relay.models import OPEN_GATE, Outcome, TargetResult
from trackwheel.relay.runs import GatherRun, SingleRun
from trackwheel.relay.service import RelayService
from trackwheel.selection.budget import RetryBudget
from trackwheel.selection.target_selector import TargetSelector

SHARDS = ("s1", "s2")
PATHS = {"query": b"/a/x", "single": b"/b/x"}


class FakeTransport:
    """Keeps the callbacks of requests until the targets answer or the requests are withdrawn."""

    def __init__(self) -> None:
        self.on_result_by_token: dict[object, Callable[[TargetResult], None]] = {}

    def send(self, attempt: Any, on_result: Callable[[TargetResult], None]) -> None:
        self.on_result_by_token[attempt.token] = on_result

    def withdraw(self, token: object, *_: object) -> None:
        self.on_result_by_token.pop(token, None)

    def end_all(self, outcome: Outcome) -> None:
        while self.on_result_by_token:
            _, on_result = self.on_result_by_token.popitem()
            on_result(target_result(outcome))


class FakeConnection:
    """Records the responses written to a client."""

    def __init__(self) -> None:
        self.answers: list[Response] = []

    def write_response(self, response: Response, *_: object) -> None:
        self.answers.append(response)


@pytest.fixture
def no_collection() -> Iterator[None]:
    """Leave it to reference counts alone to free objects."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.fixture
def runs(monkeypatch: pytest.MonkeyPatch) -> list[weakref.ref[Any]]:
    """Return weak references to the runs that are made."""
    found: list[weakref.ref[Any]] = []
    for kind in (GatherRun, SingleRun):
        start = kind.start

        def note(run: Any, start: Callable[[Any], None] = start) -> None:
            found.append(weakref.ref(run))
            start(run)

        monkeypatch.setattr(kind, "start", note)
    return found


@pytest.mark.usefixtures("no_collection")
@pytest.mark.parametrize("end", ["answered", "failed", "client_left"])
@pytest.mark.parametrize("kind", PATHS)
def test_state_of_a_request_is_freed_at_its_end(
    kind: str, end: str, runs: list[weakref.ref[Any]], budget: RetryBudget
) -> None:
    selector = TargetSelector(HERE, seed=1)
    selector.set_targets({shard: (target(f"{shard}-a", shard),) for shard in SHARDS}, 0.0)
    transport, connection = FakeTransport(), FakeConnection()
    log: Any = SimpleNamespace(write=lambda *_, **__: None)
    groups: Any = SimpleNamespace(peer_tracker=PeerTracker(), forget=lambda run: None)
    quarantine: Any = SimpleNamespace(
        retry_after_s=lambda _: 0.0, start_trial=lambda _: False, gate=lambda _: OPEN_GATE
    )
    part: Any = transport
    figures: Any = SimpleNamespace(observe_request=lambda *_: None)
    wire = PlatformWire(LoadReader(log))
    relay = RelayService(
        wire, selector, budget, part, groups, quarantine, log, figures, HERE, "own:1"
    )

    async def scenario() -> None:
        relay.set_table(decode_routes(json.dumps(CONFIG).encode()).unwrap())
        relay.targets_known()
        headers = ((b"host", b"h.example"), (b"x-attempt-id", b"r1"), (b"x-deadline-ms", b"900"))
        request = Request(b"GET", PATHS[kind], headers, b"", steady_now())
        server: Any = connection
        exchange = _ServerExchange(server, False, True)
        relay.handle(request, exchange)
        assert runs[0]() is not None
        if end == "client_left":
            exchange.notify_disconnect()
        else:
            transport.end_all(Outcome.OK if end == "answered" else Outcome.FAILED)
        freed = weakref.ref(exchange)
        del exchange
        assert [run() for run in runs] == [None]
        assert freed() is None

    asyncio.run(scenario())
    assert len(connection.answers) == (0 if end == "client_left" else 1)
