"""Load: callers with right, wrong and withdrawn keys at a box that may be behind the store.

A request for which a key decides is refused at once and named in the log without its key; one that
passes is its group's, whatever its client says.
"""

import asyncio
import json
from collections.abc import Sequence
from types import SimpleNamespace
from typing import Any

import pytest

from tests.platform.test_wire import CONFIG
from tests.relay.conftest import HERE
from trackwheel.groups.models import LEAST_PRIORITY
from trackwheel.http1.models import Headers, Request, Response, header
from trackwheel.platform.decode import decode_routes
from trackwheel.platform.load import LoadReader
from trackwheel.platform.wire import PlatformWire
from trackwheel.relay.entry_checks import Decide, EntryRefusal, EntryRequest
from trackwheel.relay.service import RelayService, combine_homes
from trackwheel.routing.models import RouteTable

KEY = "a-secret-key"
RIGHT = (b"authorization", b"Token " + KEY.encode())
WRONG = (b"authorization", b"Token another-secret")
GROUPS: list[dict[str, Any]] = [
    {"name": "clerks", "api_keys": [KEY], "priority": 0, "allowed_regions": ["east"]},
    {"name": "others", "api_keys": ["k2"]},
]
ROUTE: dict[str, Any] = CONFIG["routes"][0]  # type: ignore[index]
ROUTES: list[dict[str, Any]] = [
    {**ROUTE, "name": "plain", "path_prefix": "/plain/"},
    {**ROUTE, "name": "open", "path_prefix": "/open/", "public": True},
    {
        **ROUTE,
        "name": "west",
        "path_prefix": "/west/",
        "allowed_regions": ["west"],
    },
]
STOPPED = EntryRefusal(429, "stopped", "the test stops here")


def table(groups: Sequence[dict[str, Any]] | None = GROUPS, version: int = 7) -> RouteTable:
    config = {**CONFIG, "version": version, "routes": ROUTES, "tenants": groups}
    return decode_routes(json.dumps(config).encode()).unwrap()


class Exchange:
    """Records the response to one request."""

    def __init__(self) -> None:
        self.answers: list[Response] = []
        self.respond = self.answers.append
        self.on_disconnect: Any = None
        self.on_stop: Any = None


class Ticket:
    """Records its release."""

    def __init__(self) -> None:
        self.withdrawn = False

    def withdraw(self) -> None:
        self.withdrawn = True

    def end(self, ran: bool) -> None:
        pass


class Box:
    """A relay whose only check notes what it gets and refuses it, or lets it wait."""

    def __init__(self, current: bool = True, waits: bool = False) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.passed: list[EntryRequest] = []
        self.ticket = Ticket()
        self._waits = waits
        log: Any = SimpleNamespace(write=lambda kind, **fields: self.events.append((kind, fields)))
        part: Any = None
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
            checks=(self,),
            is_current=lambda: current,
        )

    def start(self, request: EntryRequest, decide: Decide) -> Ticket:
        self.passed.append(request)
        if not self._waits:
            decide(STOPPED)
        return self.ticket

    def ask(self, path: str, *headers: tuple[bytes, bytes]) -> Exchange:
        exchange = Exchange()
        common: Headers = ((b"host", b"h.example"), (b"x-attempt-id", b"r1"))
        request = Request(b"GET", path.encode(), (*common, *headers), b"", 0.0)
        self.relay.handle(request, exchange)
        return exchange


@pytest.mark.parametrize(
    ("path", "headers", "current", "status", "cause"),
    [
        pytest.param("/plain/x", (), True, 401, "key_missing", id="missing"),
        pytest.param("/plain/x", (), False, 401, "key_missing", id="missing-behind"),
        pytest.param("/plain/x", (RIGHT, RIGHT), True, 401, "key_missing", id="twice"),
        pytest.param("/plain/x", (WRONG,), True, 401, "key_unknown", id="unknown"),
        pytest.param("/plain/x", (WRONG,), False, 503, "key_not_yet_known", id="unknown-behind"),
        pytest.param("/open/x", (WRONG,), True, 401, "key_unknown", id="unknown-public"),
        pytest.param("/plain/x", (RIGHT,), True, 429, "stopped", id="known"),
        pytest.param("/plain/x", (RIGHT,), False, 429, "stopped", id="known-behind"),
        pytest.param("/open/x", (), True, 429, "stopped", id="public"),
        pytest.param("/open/x", (RIGHT,), True, 429, "stopped", id="known-public"),
        pytest.param("/west/x", (RIGHT,), True, 503, "no_common_home", id="no-common-home"),
    ],
)
def test_request_is_refused_at_once_for_its_key(
    path: str, headers: Headers, current: bool, status: int, cause: str
) -> None:
    box = Box(current)
    box.relay.set_table(table())
    box.relay.targets_known()
    (answer,) = box.ask(path, *headers).answers
    assert answer.status == status
    assert (header(answer.headers, b"retry-after") is not None) is (status == 503)
    ((kind, fields),) = box.events
    assert (kind, fields["id"], fields["cause"], fields["version"]) == ("refused", "r1", cause, 7)
    assert box.relay.ended_by_kind == {(cause,): 1}
    assert KEY not in repr(box.events) + repr(answer)
    assert "another-secret" not in repr(box.events) + repr(answer)


def test_request_that_passes_is_its_groups_and_has_no_key() -> None:
    box = Box()
    box.relay.set_table(table())
    box.relay.targets_known()
    box.ask("/plain/x", RIGHT, (b"x-tenant", b"others"))
    box.ask("/open/x", (b"x-tenant", b"others"))
    keyed, public = box.passed
    assert (keyed.caller.group, keyed.caller.precedence) == ("clerks", (0, 2))
    assert keyed.group is not None
    assert keyed.group.name == "clerks"
    assert (public.caller.group, public.group) == ("", None)
    assert public.caller.precedence == (LEAST_PRIORITY, 2)
    assert KEY not in repr(box.passed)
    assert "others" not in repr([one.caller for one in box.passed])
    assert box.relay.group_counts.number_by_group_and_kind == {("clerks", "stopped"): 1}


def test_without_groups_a_request_is_passed_on_as_it_came() -> None:
    box = Box()
    box.relay.set_table(table(None))
    box.relay.targets_known()
    box.ask("/plain/x", WRONG, (b"x-tenant", b"others"))
    ((caller, _, group),) = box.passed
    assert (caller.group, group) == ("", None)
    assert {WRONG, (b"x-tenant", b"others")} <= set(caller.http.headers)


def test_key_taken_away_ends_with_the_version_on_an_open_connection() -> None:
    box = Box()
    box.relay.set_table(table())
    box.relay.targets_known()
    assert box.ask("/plain/x", RIGHT).answers[0].status == 429
    box.relay.set_table(table([{**GROUPS[0], "api_keys": []}], version=8))
    box.relay.targets_known()
    assert box.ask("/plain/x", RIGHT).answers[0].status == 401
    box.relay.set_table(table(version=9))
    box.relay.targets_known()
    assert box.ask("/plain/x", RIGHT).answers[0].status == 429
    box.relay.set_table(table([], version=10))
    box.relay.targets_known()
    assert not box.relay.group_counts.number_by_group_and_kind


def test_request_that_waits_for_a_configuration_is_identified_by_it() -> None:
    box = Box()

    async def scenario() -> list[Exchange]:
        waiting = [box.ask("/plain/x", RIGHT), box.ask("/plain/x", WRONG), box.ask("/plain/x")]
        assert not any(exchange.answers for exchange in waiting)
        box.relay.set_table(table())
        box.relay.targets_known()
        return waiting

    answers = [exchange.answers[0].status for exchange in asyncio.run(scenario())]
    assert answers == [429, 401, 401]


def test_client_that_leaves_while_a_check_decides_is_logged() -> None:
    box = Box(waits=True)
    box.relay.set_table(table())
    box.relay.targets_known()
    exchange = box.ask("/plain/x", RIGHT)
    exchange.on_disconnect()
    assert box.ticket.withdrawn
    ((kind, fields),) = box.events
    assert (kind, fields["id"], fields["group"]) == ("client_left", "r1", "clerks")
    assert box.relay.ended_by_kind == {("client_left",): 1}


@pytest.mark.parametrize(
    ("route", "group", "both"),
    [
        ("", "", ""),
        ("a", "", "a"),
        ("", "a", "a"),
        ("ab", "bc", "b"),
        ("a", "b", None),
    ],
)
def test_homes_of_route_and_group_bind_both(route: str, group: str, both: str | None) -> None:
    expected = None if both is None else frozenset(both)
    assert combine_homes(frozenset(route), frozenset(group)) == expected
