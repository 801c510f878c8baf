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

OWN = PeerIdentity("box-1", "boot", "own:1", "here", "here-a")
PEER = PeerIdentity("box-2", "boot", "peer:1", "here", "here-a")
GROUP = GroupPlan("peer:1", HERE, ("s0", "s1"), 0.06, 0.08)


class FakeHub:
    """Records the handler of each message type, and what is sent."""

    def __init__(self, identity: PeerIdentity = OWN) -> None:
        self.identity = identity
        self.sent: list[Any] = []
        self.handler_by_type: dict[type[Any], Callable[[PeerIdentity, Any], None]] = {}

    def register(self, kind: type[Any], handler: Callable[[PeerIdentity, Any], None]) -> None:
        self.handler_by_type[kind] = handler

    def on_link_lost(self, handler: object) -> None:
        pass

    def is_linked(self, address: str) -> bool:
        return True

    def send(self, address: str, message: object) -> bool:
        self.sent.append(message)
        return True


class DelegatedQuery:
    """One query of a box, of which a peer gathers all shards."""

    def __init__(
        self,
        selector: TargetSelector,
        budget: RetryBudget,
        log: Callable[[str], object] = lambda kind: None,
        identity: PeerIdentity = OWN,
    ) -> None:
        self.hub = FakeHub(identity)
        event_log: Any = SimpleNamespace(write=lambda kind, **fields: log(kind))
        wire: Any = SimpleNamespace(forwarded_headers=lambda http: ())
        hub: Any = self.hub
        groups = OutboundGroups(hub, wire, event_log)
        plan = GatherPlan(ROUTE, GROUP.shards, 3, (GROUP,), 1.0, 2, 0.2, 1.0, False)
        self.gather = Gather(plan, selector, budget)
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
            task=SimpleNamespace(gather=self.gather, request=request),
            perform=lambda commands: None,
        )
        (command,) = [found for found in self.gather.start(0.0) if isinstance(found, SendGroup)]
        groups.send_group(run, command)
        (forward,) = self.hub.sent
        self.group_id: str = forward.group_id

    def receive(self, message: GroupParts | GroupDeclined) -> None:
        """Receive a message of the peer."""
        self.hub.handler_by_type[type(message)](PEER, message)


@pytest.mark.parametrize(
    "message",
    [
        pytest.param(GroupParts("", [0, 2], [b"a", b"b"], b"", False, True), id="out-of-range"),
        pytest.param(GroupParts("", [-1], [b"a"], b"", False, True), id="negative"),
        pytest.param(GroupParts("", [], [], b"", True, False, 0, [9]), id="not-run-out-of-range"),
        pytest.param(GroupParts("", [0, 1], [b"a"], b"", True, True), id="too-few-signatures"),
        pytest.param(GroupDeclined("", [7]), id="declined-out-of-range"),
    ],
)
def test_message_about_other_shards_is_rejected(
    selector: TargetSelector, budget: RetryBudget, message: GroupParts | GroupDeclined
) -> None:
    """Without the check it ended the link's task, and so all traffic between the two boxes."""
    events: list[str] = []
    query = DelegatedQuery(selector, budget, events.append)
    query.receive(message._replace(group_id=query.group_id))
    assert events == ["peer_message_rejected"]
    query.receive(GroupParts(query.group_id, [0, 1], [b"a", b"b"], b"", True, True))
    assert query.gather.ended


def test_parts_for_an_earlier_boot_of_a_box_are_not_used(
    selector: TargetSelector, budget: RetryBudget
) -> None:
    """A query got the parts of another one, which had the same group number before a restart."""
    earlier = DelegatedQuery(selector, budget, identity=OWN._replace(boot="boot-0"))
    later = DelegatedQuery(selector, budget, identity=OWN._replace(boot="boot-1"))
    later.receive(GroupParts(earlier.group_id, [0, 1], [b"a", b"b"], b"", True, True))
    assert not later.gather.ended
