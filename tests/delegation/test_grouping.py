"""Which shards are delegated to which peer."""

from collections import Counter
from itertools import groupby

import pytest

from tests.relay.conftest import HERE, ROUTE, THERE, target
from trackwheel.delegation.const import PEER_AVOID_S, PEERS_IN_ROTATION
from trackwheel.delegation.gatherers import choose_gatherers
from trackwheel.delegation.grouping import GroupPlanner, group_remote_shards
from trackwheel.delegation.peers import PeerBox, PeerTracker
from trackwheel.gathering.gather_models import GatherPlan
from trackwheel.relay.models import Place, Target
from trackwheel.selection.target_selector import TargetSelector

BESIDE = Place("here", "here-b")
YONDER = Place("yonder", "yonder-a")
PEERS = (
    PeerBox("there:1", THERE),
    PeerBox("yonder:1", YONDER),
    PeerBox("near:1", HERE),
    PeerBox("beside:1", BESIDE),
)


def grouped(
    places_by_shard: dict[str, list[Place]],
    peers: tuple[PeerBox, ...] = PEERS,
    peer_tracker: PeerTracker | None = None,
    gathers: bool = True,
) -> list[tuple[str, tuple[str, ...]]]:
    selector = TargetSelector(HERE, 1)
    targets: dict[str, tuple[Target, ...]] = {
        shard: tuple(target(f"{shard}-{place.region}", shard, place) for place in places)
        for shard, places in places_by_shard.items()
    }
    selector.set_targets(targets, 0.0)
    groups = group_remote_shards(
        tuple(places_by_shard), HERE, gathers, peers, selector, peer_tracker or PeerTracker(), 0.0
    )
    return [(group.peer.address, group.shards) for group in groups]


@pytest.mark.parametrize(
    ("places", "expected"),
    [
        pytest.param({"a": [HERE], "b": [HERE, THERE]}, [], id="all-near"),
        pytest.param(
            {"a": [HERE], "b": [THERE], "c": [THERE]}, [("there:1", ("b", "c"))], id="one-group"
        ),
        pytest.param({"a": [THERE], "b": [HERE]}, [], id="single-far-shard-goes-directly"),
        pytest.param(
            {"a": [THERE], "b": [THERE], "c": [YONDER], "d": [YONDER]},
            [("there:1", ("a", "b")), ("yonder:1", ("c", "d"))],
            id="two-regions",
        ),
        pytest.param(
            {"a": [THERE, YONDER], "b": [YONDER], "c": [THERE, YONDER]},
            [("yonder:1", ("a", "b", "c"))],
            id="fewest-groups",
        ),
        pytest.param({"a": [], "b": []}, [], id="no-targets"),
        pytest.param(
            {"a": [BESIDE, THERE], "b": [BESIDE, THERE], "c": [THERE], "d": [THERE]},
            [("beside:1", ("a", "b")), ("there:1", ("c", "d"))],
            id="own-region-first",
        ),
    ],
)
def test_far_shards_go_in_few_groups(
    places: dict[str, list[Place]], expected: list[tuple[str, tuple[str, ...]]]
) -> None:
    assert sorted(grouped(places)) == expected


def test_without_peers_everything_is_asked_directly() -> None:
    assert grouped({"a": [THERE], "b": [THERE]}, ()) == []


def test_peer_that_failed_is_passed_over_for_a_while() -> None:
    places = {"a": [THERE, YONDER], "b": [THERE, YONDER]}
    ((first, _),) = grouped(places)
    peer_tracker = PeerTracker()
    peer_tracker.record_failure("there:1", 0.0)
    assert grouped(places, peer_tracker=peer_tracker) == [("yonder:1", ("a", "b"))]
    peer_tracker = PeerTracker()
    peer_tracker.record_failure(first, -PEER_AVOID_S)
    assert {grouped(places, peer_tracker=peer_tracker)[0][0] for _ in range(4)} == {first}


def test_boxes_hand_their_shards_to_few_peers_and_all_peers_have_work() -> None:
    """Each box delegates to few peers of a domain, so that links to them are open in advance.

    With one query per box in eight seconds and seven peers per domain in rotation, most queries
    met a peer without a link: three round trips out of the 112 ms of an urgent query.
    """
    peers = tuple(PeerBox(f"there:{n}", THERE, 2.0 if n < 2 else 0.5) for n in range(6))
    picked: Counter[str] = Counter()
    for own in range(200):
        planner = GroupPlanner(HERE, f"own:{own}", selector_of(FAR_ONLY), PeerTracker())
        planner.set_peers(peers, True)
        found = {planner.first_groups(("a", "b"), ROUTE, 0.2, 0.0)[0].address for _ in range(20)}
        assert len(found) <= PEERS_IN_ROTATION
        assert found <= set(planner.wanted_links())
        picked.update(found)
    assert len(picked) == len(peers)
    fast = picked["there:0"] + picked["there:1"]
    assert fast > sum(picked.values()) / 2


def test_box_that_does_not_gather_leaves_its_own_domain_to_a_peer() -> None:
    places = {"a": [HERE, THERE], "b": [HERE], "c": [BESIDE]}
    assert grouped(places, gathers=False) == [("near:1", ("a", "b"))]


@pytest.mark.parametrize(
    ("boxes", "gatherers"), [(1, 1), (3, 3), (4, 4), (5, 2), (10, 2), (14, 3), (50, 10)], ids=str
)
def test_large_domains_have_few_gatherers(boxes: int, gatherers: int) -> None:
    domain = [PeerBox(f"10.0.0.{number}:1", HERE) for number in range(boxes)]
    other = PeerBox("10.1.0.1:1", THERE)
    chosen = choose_gatherers([*domain, other])
    assert len(chosen) == gatherers + 1
    assert chosen == choose_gatherers([other, *reversed(domain)])


@pytest.mark.parametrize(
    ("speeds", "chosen"),
    [
        pytest.param([0.5] * 30 + [2.0] * 3, [2.0, 2.0, 2.0], id="three-fast-ones"),
        pytest.param([0.5] * 30 + [2.0], [2.0, 0.5, 0.5, 0.5], id="one-fast-one-and-others"),
        pytest.param([0.5] * 9 + [8.0], [8.0, 0.5], id="one-alone-would-not-do"),
        pytest.param([0.5, 0.5, 2.0], [2.0, 0.5, 0.5], id="small-domain"),
    ],
)
def test_fast_boxes_gather(speeds: list[float], chosen: list[float]) -> None:
    """Three boxes of each failure domain are four times as fast as the other thirty."""
    domain = [PeerBox(f"10.0.0.{n}:1", HERE, speed) for n, speed in enumerate(speeds)]
    speed_by_address = {box.address: box.speed for box in domain}
    found = sorted((speed_by_address[a] for a in choose_gatherers(domain)), reverse=True)
    assert found == chosen


def test_work_follows_speed() -> None:
    peers = [PeerBox("fast:1", HERE, 2.0), PeerBox("slow:1", HERE, 0.5)]
    tracker = PeerTracker()
    picked = [tracker.pick(peers, 0.0) for _ in range(1000)]
    assert 780 <= picked.count(peers[0]) <= 820
    assert max(len(list(run)) for box, run in groupby(picked) if box == peers[0]) <= 8


def test_lost_gatherer_moves_only_its_own_part() -> None:
    domain = [PeerBox(f"10.0.0.{number}:1", HERE) for number in range(10)]
    chosen = choose_gatherers(domain)
    lost = next(iter(chosen))
    after = choose_gatherers([box for box in domain if box.address != lost])
    assert chosen - {lost} <= after


PLAN = GatherPlan(ROUTE, ("a", "b", "c", "d"), 3, (), 0.8, 2, 0.2, 1.0, False)
FAR_ONLY = {"a": [THERE], "b": [THERE]}
TARGETS = {"a": [HERE, THERE], "b": [HERE, THERE, YONDER], "c": [HERE, YONDER], "d": [BESIDE]}
"""Places of the targets of four shards; each target is named after its shard and place."""


def selector_of(places_by_shard: dict[str, list[Place]]) -> TargetSelector:
    selector = TargetSelector(HERE, 1)
    selector.set_targets(
        {
            shard: tuple(
                target(f"{shard}@{place.failure_domain}", shard, place) for place in places
            )
            for shard, places in places_by_shard.items()
        },
        0.0,
    )
    return selector


@pytest.mark.parametrize(
    ("tried", "gathers", "expected"),
    [
        pytest.param(
            {"a": {"a@here-a"}, "b": {"b@here-a"}},
            True,
            [("there:1", ("a", "b"))],
            id="one-group-for-all",
        ),
        pytest.param({"c": {"c@here-a"}}, True, [("yonder:1", ("c",))], id="single-shard-too"),
        pytest.param(
            {"a": {"a@here-a"}, "c": {"c@here-a"}},
            True,
            [("there:1", ("a",)), ("yonder:1", ("c",))],
            id="two-places",
        ),
        pytest.param({"a": {"a@here-a", "a@there-a"}}, True, [], id="all-were-tried"),
        pytest.param(
            {"a": set(), "d": set()}, True, [("beside:1", ("d",))], id="own-target-is-left"
        ),
        pytest.param(
            {"a": set(), "b": set()}, False, [("near:1", ("a", "b"))], id="own-domain-by-a-peer"
        ),
    ],
)
def test_late_shards_go_beside_other_targets(
    tried: dict[str, set[str]], gathers: bool, expected: list[tuple[str, tuple[str, ...]]]
) -> None:
    planner = GroupPlanner(HERE, "own:1", selector_of(TARGETS), PeerTracker())
    planner.set_peers(PEERS, gathers)
    tried_by_shard = {shard: frozenset(targets) for shard, targets in tried.items()}
    groups = planner.regroup(tried_by_shard, PLAN, True, 0.0)
    assert sorted((group.address, group.shards) for group in groups) == expected
    assert all(group.repeat for group in groups)


def test_late_shards_go_over_links_that_are_there() -> None:
    """Opening a link to another region takes longer than a late shard may."""
    peer_tracker = PeerTracker(lambda address: address == "there:2")
    planner = GroupPlanner(HERE, "own:1", selector_of({"a": [THERE]}), peer_tracker)
    planner.set_peers(tuple(PeerBox(f"there:{n}", THERE) for n in range(5)), True)
    for _ in range(3):
        (group,) = planner.regroup({"a": frozenset()}, PLAN, True, 0.0)
        assert group.address == "there:2"
    peer_tracker.record_failure("there:2", 0.0)
    (group,) = planner.regroup({"a": frozenset()}, PLAN, True, 0.0)
    assert group.address != "there:2"


@pytest.mark.parametrize("gathers", [True, False], ids=["gathers", "leaves-that-to-others"])
def test_links_are_wanted_to_the_own_region_and_one_other(gathers: bool) -> None:
    yonder_b = Place("yonder", "yonder-b")
    far = {"there-a": {THERE}, "yonder-a": {YONDER, yonder_b}}
    places = [HERE, BESIDE, THERE, YONDER, yonder_b]
    peers = [PeerBox(f"{place.failure_domain}:{n}", place) for place in places for n in range(4)]
    wanted: Counter[str] = Counter()
    for own in range(60):
        planner = GroupPlanner(HERE, f"own:{own}", TargetSelector(HERE, 1), PeerTracker())
        assert planner.wanted_links() == []
        planner.set_peers(tuple(peers), gathers)
        links = planner.wanted_links()
        domains = Counter(address.split(":")[0] for address in links)
        assert set(domains.values()) == {PEERS_IN_ROTATION}
        assert domains.keys() >= {"here-b"}
        assert ("here-a" in domains) is not gathers
        others = domains.keys() - {"here-a", "here-b"}
        assert others in ({"there-a"}, {place.failure_domain for place in far["yonder-a"]})
        wanted.update(links)
    expected = len(peers) - 4 * gathers
    assert len(wanted) == expected, "boxes choose different peers, so that every peer is used"
