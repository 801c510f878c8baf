"""Load: peers that still delegate groups of shards to a box that is stopping."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from tests.delegation.test_outbound_groups import FakeHub
from tests.relay.conftest import ROUTE, target_result
from trackwheel.clock import steady_now
from trackwheel.delegation.inbound_groups import InboundGroups
from trackwheel.delegation.peers import (
    GroupAccepted,
    GroupDeclined,
    GroupForward,
    GroupParts,
)
from trackwheel.peers.models import PeerIdentity
from trackwheel.relay.models import OPEN_GATE, Outcome, TargetResult
from trackwheel.selection.budget import RetryBudget
from trackwheel.selection.target_selector import TargetSelector
from trackwheel.stop_deadline import StopDeadline
from trackwheel.units import MILLISECONDS

SENDER = PeerIdentity("peer", "boot", "peer:1", "there", "there-a")
SHARDS = ["s0", "s1", "s2"]
FORWARD = GroupForward(
    group_id="g",
    request_id="r",
    host="h",
    path="/",
    method=b"GET",
    target=b"/",
    headers=[],
    body=b"",
    route=ROUTE.name,
    shards=SHARDS,
    top_k=3,
    max_attempts=1,
    aim_ms=ROUTE.aim_s * MILLISECONDS,
    report_in_ms=1000.0,
    answer_in_ms=1000.0,
    end_in_ms=2000.0,
    repeat=False,
    floor=b"",
    least_coverage=1.0,
    homes=[],
)


class FakeTransport:
    """Keeps requests until their targets answer or they are withdrawn."""

    def __init__(self) -> None:
        self.on_result_by_token: dict[object, Callable[[TargetResult], None]] = {}

    def send(self, attempt: Any, on_result: Callable[[TargetResult], None]) -> None:
        self.on_result_by_token[attempt.token] = on_result

    def withdraw(self, token: object, *_: object) -> None:
        del self.on_result_by_token[token]

    def answer_first(self) -> None:
        token = next(iter(self.on_result_by_token))
        self.on_result_by_token.pop(token)(target_result(Outcome.OK))


class Box:
    """A box that gathers groups for peers, and what it has sent to them."""

    def __init__(self, selector: TargetSelector, budget: RetryBudget) -> None:
        self.hub = FakeHub()
        self.transport = FakeTransport()
        self.stop = StopDeadline()
        hub: Any = self.hub
        transport: Any = self.transport
        log: Any = SimpleNamespace(write=lambda kind, **fields: None)
        groups: Any = SimpleNamespace(forget=lambda run: None)
        quarantine: Any = SimpleNamespace(
            is_held=lambda content: False, gate=lambda content, for_peer: OPEN_GATE
        )
        self.groups = InboundGroups(
            hub, selector, budget, transport, groups, quarantine, log, self.stop
        )

    def receive(self) -> None:
        self.hub.handler_by_type[GroupForward](SENDER, FORWARD)


@pytest.mark.parametrize(
    ("left_s", "is_declined"),
    [
        pytest.param(ROUTE.aim_s / 2, True, id="too-late"),
        pytest.param(ROUTE.aim_s * 2, False, id="fits"),
    ],
)
def test_stopping_box_declines_a_group_that_it_cannot_gather_in_time(
    selector: TargetSelector, budget: RetryBudget, left_s: float, is_declined: bool
) -> None:
    """Targets were asked for a peer in the last moments of a box and cut off with it."""
    box = Box(selector, budget)

    async def scenario() -> None:
        box.stop.set(steady_now() + left_s)
        box.receive()

    asyncio.run(scenario())
    every = list(range(len(SHARDS)))
    answer = [
        GroupDeclined("g", every),
        GroupParts("g", [], [], b"", final=True, ran=False, not_run=every),
    ]
    assert box.hub.sent == [GroupAccepted("g"), *(answer if is_declined else [])]
    assert len(box.transport.on_result_by_token) == (0 if is_declined else len(SHARDS))


def test_stopping_box_reports_what_it_has_gathered_for_a_peer(
    selector: TargetSelector, budget: RetryBudget
) -> None:
    """A peer lost the parts of a group that the box had received, and learned so from its link."""
    box = Box(selector, budget)

    async def scenario() -> None:
        box.receive()
        box.transport.answer_first()
        box.groups.stop()

    asyncio.run(scenario())
    accepted, report = box.hub.sent
    assert isinstance(accepted, GroupAccepted)
    assert isinstance(report, GroupParts)
    assert (report.shards, report.final, report.not_run) == ([0], True, [])
    assert len(box.groups) == 0
    assert box.transport.on_result_by_token == {}
