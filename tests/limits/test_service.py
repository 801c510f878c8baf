"""The check of the limits at one box, which counts for itself."""

import asyncio
from typing import Any, cast

import pytest

from trackwheel.fleet.models import Member, Status
from trackwheel.groups.models import Group, GroupLimit, GroupTable
from trackwheel.limits import service
from trackwheel.limits.budget import LimitMargin
from trackwheel.limits.service import NO_TICKET, GroupLimits
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.relay.entry_checks import EntryRefusal, EntryRequest
from trackwheel.relay.models import CallerRequest
from trackwheel.routing.models import Route
from trackwheel.telemetry.events import EventLog

LIMITED = Group("limited", limit=GroupLimit(1.0, 2.0))
FREE = Group("free")
MARGIN = LimitMargin(5.0, 0.1, 0.0)
OWN = Member("own", "own", "x", "r", "d", 1, Status.ALIVE)


class FakeHub:
    """Delivers to the own box at once and keeps what goes to others."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, object]] = []
        self.handlers: dict[type, Any] = {}
        self.identity = PeerIdentity("own", "x", "own", "r", "d")

    def register(self, kind: type, handler: Any) -> None:
        self.handlers[kind] = handler

    def send(self, address: str, message: object) -> bool:
        if address == "own":
            self.handlers[type(message)](self.identity, message)
        else:
            self.sent.append((address, message))
        return True


class FakeLog:
    """Keeps the lines."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, object]]] = []

    def write(self, kind: str, **fields: object) -> None:
        self.lines.append((kind, fields))


class Clock:
    """Stands in for the steady clock."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class Bench:
    """One box with its limits."""

    def __init__(self, margin: LimitMargin | None, clock: Clock) -> None:
        self.clock = clock
        self.hub, self.log = FakeHub(), FakeLog()
        self.limits = GroupLimits(cast(Hub, self.hub), margin, 1, 7, cast(EventLog, self.log))
        self.limits.set_groups(GroupTable({"limited": LIMITED, "free": FREE}, {}))
        self.limits.set_members((OWN,), frozenset({"own"}), OWN)

    def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.1)):
            self.clock.now += 0.1
            self.limits._tick()

    def ask(self, group: Group | None) -> tuple[EntryRefusal | None | str, Any]:
        decisions: list[EntryRefusal | None] = []
        caller = cast(CallerRequest, type("Caller", (), {"request_id": "q"}))
        request = EntryRequest(caller, cast(Route, None), group)
        ticket = self.limits.start(request, decisions.append)
        return (decisions[0] if decisions else "waits"), ticket


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(service, "steady_now", clock)
    return clock


def run(margin: LimitMargin | None, clock: Clock, scene: Any) -> None:
    async def main() -> None:
        scene(Bench(margin, clock))

    asyncio.run(main())


@pytest.mark.parametrize(
    ("margin", "group"),
    [
        pytest.param(None, LIMITED, id="no-settings"),
        pytest.param(MARGIN, FREE, id="no-limit"),
        pytest.param(MARGIN, None, id="no-group"),
    ],
)
def test_nothing_is_checked_where_nothing_asks_for_it(
    margin: LimitMargin | None, group: Group | None, clock: Clock
) -> None:
    def scene(bench: Bench) -> None:
        for _ in range(100):
            assert bench.ask(group) == (None, NO_TICKET)
        assert not bench.limits.counted
        if margin is None:
            bench.pass_time(10.0)
            assert not bench.hub.sent
            assert bench.limits.counting.parts.boxes == 0

    run(margin, clock, scene)


def test_a_group_over_its_limit_is_refused_with_a_time_and_a_line(clock: Clock) -> None:
    """Load: twenty requests at once against a rate of one a second and a burst of two."""

    def scene(bench: Bench) -> None:
        bench.pass_time(20.0)
        decisions = [bench.ask(LIMITED)[0] for _ in range(20)]
        refusals = [d for d in decisions if isinstance(d, EntryRefusal)]
        assert 2 <= decisions.count(None) <= 4
        assert {refusal.status for refusal in refusals} == {429}
        assert all((refusal.retry_after_s or 0.0) > 0.0 for refusal in refusals)
        assert bench.limits.counted["limited", "refused"] == len(refusals)
        assert [kind for kind, _ in bench.log.lines if kind == "limit_refused"]

    run(MARGIN, clock, scene)


def test_a_request_that_no_target_ran_gives_its_token_back(clock: Clock) -> None:
    def scene(bench: Bench) -> None:
        bench.pass_time(20.0)
        for _ in range(10):
            decision, ticket = bench.ask(LIMITED)
            assert decision is None
            ticket.end(ran=False)

    run(MARGIN, clock, scene)


def test_a_removed_limit_takes_its_state_along(clock: Clock) -> None:
    def scene(bench: Bench) -> None:
        bench.pass_time(20.0)
        bench.ask(LIMITED)
        assert "limited" in bench.limits.tokens_by_group()
        bench.limits.set_groups(GroupTable({"limited": FREE}, {}))
        assert bench.limits.tokens_by_group() == {}
        assert bench.ask(LIMITED) == (None, NO_TICKET)

    run(MARGIN, clock, scene)
