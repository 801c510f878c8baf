"""The lines of all targets of a box: what is sent, refused, withdrawn, counted and logged."""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from tests.admission.conftest import BULK, SLOTS, URGENT
from tests.relay.conftest import target
from trackwheel.admission.const import EXTRA_IN_FLIGHT
from trackwheel.admission.target_lines import LineRequest, TargetLines
from trackwheel.groups.models import Precedence
from trackwheel.http1.models import Request
from trackwheel.relay.models import OPEN_GATE, CallerRequest, SendGate, SendPermission

TARGET = target("t", "s")
IN_FLIGHT = SLOTS + EXTRA_IN_FLIGHT


class Fixture:
    """Lines whose requests are recorded instead of sent."""

    def __init__(self, enabled: bool = True) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.sent: list[str] = []
        self.refused: list[str] = []
        log: Any = SimpleNamespace(write=lambda kind, **fields: self.events.append((kind, fields)))
        figures: Any = SimpleNamespace(observe_wait=lambda route, waited_s: None)
        self.wakes: list[tuple[float, Callable[[float], None]]] = []
        self.lines = TargetLines(
            lambda target, now: SLOTS,
            lambda at, action: self.wakes.append((at, action)),
            log,
            figures,
        )
        self.lines.enabled = enabled

    def submit(
        self,
        name: str,
        precedence: Precedence = BULK,
        now: float = 0.0,
        gate: SendGate = OPEN_GATE,
    ) -> None:
        http = Request(b"GET", b"/", (), b"", now)
        caller = CallerRequest(name, "h", "/", now + 2.0, http, b"", "g", precedence)
        request = LineRequest(
            name,
            caller,
            TARGET,
            "r",
            now + 0.2,
            now + 2.0,
            lambda: self.sent.append(name),
            lambda: self.refused.append(name),
            gate,
        )
        self.lines.submit(request, now)

    def fill(self) -> list[str]:
        """Submit what the target has room for; return the names."""
        names = [f"first-{number}" for number in range(IN_FLIGHT)]
        for name in names:
            self.submit(name)
        return names


def test_without_groups_everything_is_sent_at_once() -> None:
    """Ten times what the target runs, under a configuration that names no groups."""
    fixture = Fixture(enabled=False)
    names = [f"r{number}" for number in range(10 * IN_FLIGHT)]
    for name in names:
        fixture.submit(name)
    assert fixture.sent == names
    assert not fixture.events and not fixture.lines.waiting


def test_groups_that_go_away_leave_nothing_behind() -> None:
    """A configuration without groups comes while requests wait."""
    fixture = Fixture()
    first = fixture.fill()
    fixture.submit("waiting")
    fixture.lines.enabled = False
    fixture.submit("new")
    fixture.lines.ended(first[0], TARGET, True, 0.01)
    assert fixture.sent == [*first, "new", "waiting"]


def test_withdrawn_request_is_not_sent() -> None:
    """Its answer came from another target while it waited."""
    fixture = Fixture()
    first = fixture.fill()
    fixture.submit("waiting")
    assert fixture.lines.withdraw("waiting", TARGET, 0.05)
    assert not fixture.lines.withdraw(first[0], TARGET, 0.05)
    fixture.lines.ended(first[0], TARGET, False, 0.05)
    assert fixture.sent == first
    assert fixture.lines.waited_by_outcome == {("r", "g", "withdrawn"): 1}


@pytest.mark.parametrize("gone", [False, True])
def test_target_that_leaves_gets_nothing_that_waits(gone: bool) -> None:
    """It is excluded, or its entry is gone, while requests wait for it."""
    fixture = Fixture()
    first = fixture.fill()
    fixture.submit("waiting")
    if gone:
        fixture.lines.retain(set(), 0.1)
    else:
        fixture.lines.refuse_waiting({TARGET.incarnation}, 0.1)
    for name in first:
        fixture.lines.ended(name, TARGET, True, 0.2)
    assert fixture.sent == first
    assert fixture.refused == ["waiting"]
    assert not fixture.lines.waiting


def test_line_is_looked_at_when_silent_requests_stop_holding_room() -> None:
    """All connections to a target fall silent, and no further request comes."""
    fixture = Fixture()
    first = fixture.fill()
    assert not fixture.wakes
    fixture.submit("waiting", now=0.1)
    fixture.submit("second", now=0.1)
    ((at, look),) = fixture.wakes
    look(at + 0.001)
    assert fixture.sent == [*first, "waiting", "second"]
    assert len(fixture.wakes) == 1


def test_request_that_is_quarantined_while_it_waits_is_not_sent() -> None:
    """Other boxes have seen targets end under it; the next one that waits goes instead."""
    fixture = Fixture()
    first = fixture.fill()
    gate: Any = SimpleNamespace(permission=lambda now: SendPermission.SHUT)
    fixture.submit("crashes targets", URGENT, gate=gate)
    fixture.submit("waiting")
    fixture.lines.ended(first[0], TARGET, True, 0.05)
    assert fixture.sent == [*first, "waiting"]
    assert fixture.lines.waited_by_outcome["r", "g", "held"] == 1


def test_dropped_request_still_counts_as_not_sent() -> None:
    """It was dropped since it could not end in time; whoever asked withdraws it afterwards."""
    fixture = Fixture()
    first = fixture.fill()
    fixture.submit("waiting")
    fixture.lines.ended(first[0], TARGET, True, 2.0)
    assert fixture.sent == first
    assert fixture.lines.withdraw("waiting", TARGET, 2.0)
    assert fixture.lines.waited_by_outcome == {("r", "g", "dropped"): 1}


def test_wait_is_logged_with_what_the_decision_saw() -> None:
    """An operator asks why an urgent request was late."""
    fixture = Fixture()
    first = fixture.fill()
    fixture.submit("waiting", URGENT)
    fixture.lines.ended(first[0], TARGET, True, 0.05)
    ((kind, fields),) = fixture.events
    assert kind == "target_wait"
    assert fields == {
        "id": "waiting",
        "route": "r",
        "group": "g",
        "target": "t",
        "outcome": "sent",
        "waited_ms": 50.0,
        "left_ms": 1950.0,
        "late": False,
        "in_flight": IN_FLIGHT,
        "waiting": 0,
    }
