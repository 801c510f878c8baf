"""Load: queries of callers with keys, gathered by peers.

What a peer is sent says whose the query is, in which order and where it may run, and not the key.
"""

from types import SimpleNamespace
from typing import Any

from tests.delegation.test_outbound_groups import GROUP, FakeHub
from tests.platform.test_wire import WIRE, request
from tests.relay.conftest import ROUTE
from trackwheel.delegation.outbound_groups import OutboundGroups
from trackwheel.delegation.peers import RELAY_MESSAGES, GroupForward
from trackwheel.gathering.gather import Gather
from trackwheel.gathering.gather_models import GatherPlan, SendGroup
from trackwheel.groups.models import NO_PRECEDENCE, Precedence
from trackwheel.peers.codec import Codec
from trackwheel.relay.models import CallerRequest
from trackwheel.selection.budget import RetryBudget
from trackwheel.selection.target_selector import TargetSelector

ORDER = Precedence(1, 2)
CODEC = Codec(RELAY_MESSAGES)


def forward(caller: CallerRequest, selector: TargetSelector, budget: RetryBudget) -> GroupForward:
    hub = FakeHub()
    log: Any = SimpleNamespace(write=lambda kind, **fields: None)
    groups = OutboundGroups(hub, WIRE, log)  # type: ignore[arg-type]
    route = ROUTE._replace(homes=frozenset({"here"}))
    plan = GatherPlan(route, GROUP.shards, 3, (GROUP,), 1.0, 2, 0.2, 1.0, False)
    gather = Gather(plan, selector, budget)
    run: Any = SimpleNamespace(
        task=SimpleNamespace(gather=gather, request=caller), perform=lambda commands: None
    )
    (command,) = [found for found in gather.start(0.0) if isinstance(found, SendGroup)]
    groups.send_group(run, command)
    (message,) = [found for found in hub.sent if isinstance(found, GroupForward)]
    return message


def test_peer_is_sent_the_group_and_not_the_key(
    selector: TargetSelector, budget: RetryBudget
) -> None:
    incoming = request((b"authorization", b"Token a-secret-key"), (b"x-tenant", b"bosses"))
    caller = WIRE.with_group(WIRE.read_request(incoming), "clerks", ORDER)
    (received,) = CODEC.decode(CODEC.encode([forward(caller, selector, budget)]), "peer:1")
    assert isinstance(received, GroupForward)
    assert "a-secret-key" not in repr(received)
    assert "bosses" not in repr(received)
    assert (received.group, received.precedence, received.homes) == ("clerks", ORDER, ["here"])


def test_message_of_a_box_without_groups_belongs_to_none(
    selector: TargetSelector, budget: RetryBudget
) -> None:
    message = forward(WIRE.read_request(request()), selector, budget)
    assert (message.group, message.precedence) == ("", NO_PRECEDENCE)
