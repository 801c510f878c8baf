"""Messages of peers about groups of shards, with a hub that only records handlers."""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from tests.relay.conftest import HERE, ROUTE
from trackwheel.delegation.outbound_groups import OutboundGroups
from trackwheel.delegation.peers import GroupDeclined, GroupParts
from trackwheel.gathering.gather import Gather
from trackwheel.gathering.gather_models import GatherPlan, GroupPlan, SendGroup
from trackwheel.groups.models import NO_PRECEDENCE
from trackwheel.peers.models import PeerIdentity
from trackwheel.selection.budget import RetryBudget
from trackwheel.selection.target_selector import TargetSelector

PEER = PeerIdentity("box-2", "boot", "peer:1", "here", "here-a")
GROUP = GroupPlan("peer:1", HERE, ("s0", "s1"), 0.06, 0.08)


class FakeHub:
    """Records the handler of each message type."""

    def __init__(self) -> None:
        self.handler_by_type: dict[type[Any], Callable[[PeerIdentity, Any], None]] = {}

    def register(self, kind: type[Any], handler: Callable[[PeerIdentity, Any], None]) -> None:
        self.handler_by_type[kind] = handler

    def on_link_lost(self, handler: object) -> None:
        pass

    def is_linked(self, address: str) -> bool:
        return True

    def send(self, address: str, message: object) -> bool:
        return True


@pytest.mark.parametrize(
    "message",
    [
        pytest.param(GroupParts("0", [0, 2], [b"a", b"b"], b"", False, True), id="out-of-range"),
        pytest.param(GroupParts("0", [-1], [b"a"], b"", False, True), id="negative"),
        pytest.param(GroupParts("0", [], [], b"", True, False, 0, [9]), id="not-run-out-of-range"),
        pytest.param(GroupParts("0", [0, 1], [b"a"], b"", True, True), id="too-few-signatures"),
        pytest.param(GroupDeclined("0", [7]), id="declined-out-of-range"),
    ],
)
def test_message_about_other_shards_is_rejected(
    selector: TargetSelector, budget: RetryBudget, message: GroupParts | GroupDeclined
) -> None:
    """Without the check it ended the link's task, and so all traffic between the two boxes."""
    events: list[str] = []
    log = SimpleNamespace(write=lambda kind, **fields: events.append(kind))
    hub = FakeHub()
    wire = SimpleNamespace(forwarded_headers=lambda http: ())
    groups = OutboundGroups(hub, wire, log)  # type: ignore[arg-type]
    plan = GatherPlan(ROUTE, GROUP.shards, 3, (GROUP,), 1.0, 2, 0.2, 1.0, False)
    gather = Gather(plan, selector, budget)
    http = SimpleNamespace(method=b"GET", target=b"/", body=b"")
    request = SimpleNamespace(
        request_id="r",
        host="h",
        path="/",
        deadline=1.0,
        http=http,
        group="",
        precedence=NO_PRECEDENCE,
    )
    run: Any = SimpleNamespace(
        task=SimpleNamespace(gather=gather, request=request), perform=lambda commands: None
    )
    (command,) = [found for found in gather.start(0.0) if isinstance(found, SendGroup)]
    groups.send_group(run, command)
    hub.handler_by_type[type(message)](PEER, message)
    assert events == ["peer_message_rejected"]
    sound = GroupParts("0", [0, 1], [b"a", b"b"], b"", True, True)
    hub.handler_by_type[GroupParts](PEER, sound)
    assert gather.ended
