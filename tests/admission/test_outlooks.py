"""The Retry-After of refused requests, from what a box believes of the targets that they need."""

import json
from types import SimpleNamespace
from typing import Any

import pytest

from tests.platform.test_wire import CONFIG
from tests.relay.conftest import HERE, OLD, ROUTE, target
from trackwheel.admission.const import RETURN_JITTER, UNKNOWN_READY_S
from trackwheel.admission.outlooks import RefusalAdvisor
from trackwheel.groups.models import GroupTable
from trackwheel.http1.models import Request, Response, header
from trackwheel.platform.decode import decode_routes
from trackwheel.platform.load import LoadReader
from trackwheel.platform.wire import PlatformWire
from trackwheel.relay.const import RETRY_AFTER_S
from trackwheel.relay.models import OPEN_GATE, CallerRequest, Load, Outcome, Target
from trackwheel.relay.service import RelayService
from trackwheel.selection.budget import RetryBudget, RetryBudgetLimits
from trackwheel.selection.const import CONNECT_BACKOFF_S
from trackwheel.selection.target_selector import TargetSelector

LOG: Any = SimpleNamespace(write=lambda kind, **fields: None)
HTTP = Request(b"POST", b"/b/x", ((b"host", b"h.example"),), b"", 0.0)
CALLER = CallerRequest("r1", "h.example", "/b/x", 2.0, HTTP, b"")
SHARDS = ("s0", "s1", "s2")


def selector_with(*outcomes: Outcome, load: Load | None = None) -> TargetSelector:
    """Return a selector with one target each of three shards; the first one had some outcomes."""
    selector = TargetSelector(HERE, seed=1)
    targets: dict[str, tuple[Target, ...]] = {
        shard: (target(f"{shard}-t", shard),) for shard in SHARDS
    }
    selector.set_targets(targets, 0.0)
    for outcome in outcomes:
        selector.sent(targets["s0"][0], "token", ROUTE, 0.0)
        selector.ended(targets["s0"][0], "token", outcome, load, 0.0)
    return selector


@pytest.mark.parametrize(
    ("outcomes", "load", "least_s"),
    [
        ([Outcome.NOT_SENT] * 3, None, 4 * CONNECT_BACKOFF_S),
        # Twelve wait for two slots: six more rounds of the usual time, a fifth of the aim.
        ([Outcome.NOT_RUN], Load(2, 12, 2), 6 * ROUTE.aim_s / 5),
    ],
    ids=["refuses connections", "sheds"],
)
@pytest.mark.parametrize("max_missing", [0, 1])
def test_callers_return_when_the_worst_needed_shard_has_room(
    outcomes: list[Outcome], load: Load | None, least_s: float, max_missing: int
) -> None:
    """Sheds and dead targets at one of three shards, which the answer needs or not."""
    advisor = RefusalAdvisor(selector_with(*outcomes, load=load), 1, LOG)
    told_s = advisor.retry_after_s(CALLER, SHARDS, ROUTE, max_missing, 0.0)
    assert (told_s >= least_s) is (max_missing == 0)


def test_shard_without_a_target_is_awaited() -> None:
    """All targets of one shard are gone."""
    advisor = RefusalAdvisor(selector_with(), 1, LOG)
    told_s = advisor.retry_after_s(CALLER, ("s0", "unknown"), ROUTE, 0, 0.0)
    assert UNKNOWN_READY_S <= told_s <= UNKNOWN_READY_S * (1.0 + RETURN_JITTER)


@pytest.mark.parametrize("groups", [None, GroupTable({}, {})], ids=["no groups", "groups"])
def test_only_where_groups_are_named_is_retry_after_derived(groups: GroupTable | None) -> None:
    """Three callers are refused one after the other since the service has no target."""
    answers: list[Response] = []
    part: Any = None
    quarantine: Any = SimpleNamespace(
        retry_after_s=lambda content: 0.0,
        start_trial=lambda content: False,
        gate=lambda content: OPEN_GATE,
    )
    selector = TargetSelector(HERE, seed=1)
    relay = RelayService(
        PlatformWire(LoadReader(LOG)),
        selector,
        RetryBudget(RetryBudgetLimits(0.0, 10.0, 0.0), OLD),
        part,
        SimpleNamespace(peer_tracker=None),  # type: ignore[arg-type]
        quarantine,
        LOG,
        SimpleNamespace(observe_request=lambda *values: None),  # type: ignore[arg-type]
        HERE,
        "o:1",
        advisor=RefusalAdvisor(selector, 1, LOG),
    )
    table = decode_routes(json.dumps(CONFIG).encode()).unwrap()
    routes_by_host = {
        host: tuple(route._replace(public=True) for route in routes)
        for host, routes in table.routes_by_host.items()
    }
    relay.set_table(table._replace(routes_by_host=routes_by_host, groups=groups))
    relay.targets_known()
    for _ in range(3):
        exchange: Any = SimpleNamespace(respond=answers.append, on_disconnect=None)
        relay.handle(HTTP, exchange)
    told = [float(header(answer.headers, b"retry-after") or b"0") for answer in answers]
    assert [answer.status for answer in answers] == [503] * 3
    if groups is None:
        assert told == [RETRY_AFTER_S] * 3
    else:
        assert len(set(told)) == 3
