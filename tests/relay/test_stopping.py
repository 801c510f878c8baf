"""Load: clients whom the platform still sends to a stopping box, until its process is gone.

What fits into the time left is sent to a target; the rest is refused as not run, and every request
in progress has its answer before the process ends.
"""

import asyncio
import json
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from tests.platform.test_wire import CONFIG
from tests.relay.conftest import HERE, ROUTE, target, target_result
from trackwheel.clock import steady_now
from trackwheel.http1.models import Request, Response, header
from trackwheel.platform.decode import decode_routes
from trackwheel.platform.load import LoadReader
from trackwheel.platform.wire import PlatformWire
from trackwheel.relay.causes import Cause
from trackwheel.relay.models import Outcome
from trackwheel.relay.service import RelayService
from trackwheel.relay.single import SendSingle, Single, SingleFailed, SinglePlan
from trackwheel.selection.budget import RetryBudget
from trackwheel.selection.target_selector import TargetSelector
from trackwheel.stop_deadline import MIN_RETRY_AFTER_S, TARGET_ANSWER_MARGIN_S, StopDeadline

USUAL_S, HIGH_S = 0.05, 0.15
"""Response times of most and of a tenth of the answers."""


def stop_at(at: float) -> StopDeadline:
    stop = StopDeadline()
    stop.set(at)
    return stop


def plan(repeatable: bool, stop: StopDeadline) -> SinglePlan:
    return SinglePlan(ROUTE, "s0", repeatable, 2, 10.0, 20.0, stop=stop)


def learn(selector: TargetSelector) -> None:
    """Let a target answer, a tenth of its requests late, long enough ago to be at rest again."""
    near = target("s0-near", "s0")
    for number in range(30):
        duration_s = HIGH_S if number % 10 == 0 else USUAL_S
        selector.sent(near, number, ROUTE, 0.0)
        selector.ended(near, number, Outcome.OK, None, duration_s)


@pytest.mark.parametrize(
    ("learnt", "repeatable", "left_s", "is_sent"),
    [
        pytest.param(True, True, 0.08, True, id="repeatable-usually-fits"),
        pytest.param(True, True, 0.03, False, id="repeatable-too-late"),
        pytest.param(True, False, 0.08, False, id="once-may-be-cut-off"),
        pytest.param(True, False, 0.16, True, id="once-nearly-always-fits"),
        pytest.param(False, False, ROUTE.aim_s - 0.01, False, id="once-pace-not-known"),
        pytest.param(False, False, ROUTE.aim_s + 0.01, True, id="once-target-latency-fits"),
    ],
)
def test_stopping_box_sends_only_what_its_target_can_answer_in_time(
    selector: TargetSelector,
    budget: RetryBudget,
    learnt: bool,
    repeatable: bool,
    left_s: float,
    is_sent: bool,
) -> None:
    """Requests were sent to targets in the last moments of a box and cut off with it."""
    if learnt:
        learn(selector)
    now = 60.0
    stop = stop_at(now + left_s + TARGET_ANSWER_MARGIN_S)
    single = Single(plan(repeatable, stop)._replace(answer_at=70.0, end_at=80.0), selector, budget)
    (command,) = single.start(now)
    if is_sent:
        assert isinstance(command, SendSingle)
    else:
        assert isinstance(command, SingleFailed)
        assert (command.ran, command.cause) == (False, Cause.STOPPING)


@pytest.mark.parametrize("outcome", [Outcome.NOT_RUN, Outcome.NOT_SENT])
def test_retry_that_does_not_fit_is_refused_as_not_run(
    selector: TargetSelector, budget: RetryBudget, outcome: Outcome
) -> None:
    """A request whose first target refused it must not begin at another one in the last moment."""
    single = Single(plan(False, stop_at(1.0)), selector, budget)
    (sent,) = single.start(0.0)
    assert isinstance(sent, SendSingle)
    (end,) = single.target_ended(sent.token, target_result(outcome), 0.9)
    assert isinstance(end, SingleFailed)
    assert (end.ran, end.cause) == (False, Cause.STOPPING)


@pytest.mark.parametrize("waits_for_connection", [True, False])
def test_request_in_flight_at_the_end_says_truly_whether_it_may_have_run(
    selector: TargetSelector, budget: RetryBudget, waits_for_connection: bool
) -> None:
    """A request that still waited for a connection to its target has certainly not run."""
    single = Single(plan(False, stop_at(1.0)), selector, budget)
    (sent,) = single.start(0.0)
    assert isinstance(sent, SendSingle)
    *_, end = single.stop([sent.token] if waits_for_connection else [], 1.0)
    assert isinstance(end, SingleFailed)
    assert (end.ran, end.cause) == (not waits_for_connection, Cause.STOPPING)
    assert single.target_ended(sent.token, target_result(Outcome.OK), 1.0) == []


class Exchange:
    """Records the response to one request."""

    def __init__(self) -> None:
        self.answers: list[Response] = []
        self.respond = self.answers.append
        self.on_disconnect: Any = None
        self.on_stop: Any = None


class Box:
    """A relay whose only check never decides."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.stop = StopDeadline()
        self.withdrawn = 0
        log: Any = SimpleNamespace(write=lambda kind, **fields: self.events.append((kind, fields)))
        part: Any = None
        check: Any = self
        groups: Any = SimpleNamespace(peer_tracker=None)
        quarantine: Any = SimpleNamespace(retry_after_s=lambda content: 0.0)
        wire = PlatformWire(LoadReader(log))
        self.relay = RelayService(
            wire,
            part,
            part,
            part,
            groups,
            quarantine,
            log,
            part,
            HERE,
            "o:1",
            checks=(check,),
            stop=self.stop,
        )

    def start(self, request: object, decide: object) -> "Box":
        return self

    def withdraw(self) -> None:
        self.withdrawn += 1

    def configure(self) -> None:
        self.relay.set_table(decode_routes(json.dumps(CONFIG).encode()).unwrap())
        self.relay.targets_known()

    async def ask(self) -> Exchange:
        exchange = Exchange()
        headers = ((b"host", b"h.example"), (b"x-attempt-id", b"r1"), (b"x-deadline-ms", b"5000"))
        self.relay.handle(Request(b"GET", b"/b/x", headers, b"", steady_now()), exchange)
        return exchange


@pytest.mark.parametrize(
    ("prepare", "cause"),
    [
        pytest.param(lambda box: None, "no_configuration", id="no-configuration-yet"),
        pytest.param(Box.configure, "stopping", id="at-an-entry-check"),
    ],
)
def test_request_that_waits_in_a_stopping_box_is_refused_at_the_end(
    prepare: Callable[[Box], None], cause: str
) -> None:
    """Requests that wait in the box for something else were cut off with its process too."""
    box = Box()
    prepare(box)

    async def scenario() -> Exchange:
        box.stop.set(steady_now() + 1.0)
        exchange = await box.ask()
        assert exchange.answers == []
        exchange.on_stop()
        return exchange

    (answer,) = asyncio.run(scenario()).answers
    assert answer.status == 503
    assert box.relay.not_served == {(cause, "early"): 1}


def test_request_after_the_last_answer_is_refused_with_the_time_to_come_back() -> None:
    """A connection that the kernel accepted in the last moment was reset instead."""
    box = Box()
    box.configure()
    box.stop.set(steady_now())
    (answer,) = asyncio.run(box.ask()).answers
    assert answer.status == 503
    assert float(header(answer.headers, b"retry-after") or b"0") >= MIN_RETRY_AFTER_S
    assert box.relay.not_served == {("stopping", "early"): 1}
    assert [(kind, fields["id"], fields["cause"]) for kind, fields in box.events] == [
        ("refused", "r1", "stopping")
    ]
