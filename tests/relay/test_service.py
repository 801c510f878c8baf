"""What the relay answers, and writes, before it knows any configuration."""

from types import SimpleNamespace
from typing import Any

from tests.relay.conftest import HERE
from trackwheel.http1.models import Request, Response
from trackwheel.platform.wire import PlatformWire
from trackwheel.relay.service import RelayService


def test_request_before_any_configuration_is_refused_and_logged() -> None:
    """It once was refused without a line, so that nobody could find its cause."""
    events: list[tuple[str, dict[str, Any]]] = []
    log: Any = SimpleNamespace(write=lambda kind, **fields: events.append((kind, fields)))
    part: Any = None
    groups: Any = SimpleNamespace(peer_board=None)
    relay = RelayService(PlatformWire(), part, part, part, groups, log, part, HERE, "own:1")
    answers: list[Response] = []
    headers = ((b"x-attempt-id", b"r1"), (b"x-deadline-ms", b"500"))
    request = Request(b"GET", b"/q/x", headers, b"", 0.0)
    exchange: Any = SimpleNamespace(respond=answers.append)
    relay.handle(request, exchange)
    assert answers[0].status == 503
    assert b"retry-after" in {name for name, _ in answers[0].headers}
    assert events == [
        (
            "given_up",
            {"id": "r1", "ran": False, "late": False, "reason": "no configuration is known yet"},
        )
    ]
    assert relay.ended_by_kind[("no_configuration",)] == 1
