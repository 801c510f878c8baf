"""Which shards are handed to which peer."""

import pytest

from tests.relay.conftest import HERE, THERE, target
from trackwheel.relay.board import Board
from trackwheel.relay.const import PEER_AVOID_S
from trackwheel.relay.gatherers import choose_gatherers
from trackwheel.relay.models import Place, Target
from trackwheel.relay.peers import PeerBoard, PeerBox, group_far_shards

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
    peer_board: PeerBoard | None = None,
    gathers: bool = True,
) -> list[tuple[str, tuple[str, ...]]]:
    board = Board(HERE, 1)
    targets: dict[str, tuple[Target, ...]] = {
        shard: tuple(target(f"{shard}-{place.region}", shard, place) for place in places)
        for shard, places in places_by_shard.items()
    }
    board.set_targets(targets)
    groups = group_far_shards(
        tuple(places_by_shard), HERE, gathers, peers, board, peer_board or PeerBoard(), 0.0
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
    peer_board = PeerBoard()
    peer_board.failed("there:1", 0.0)
    places = {"a": [THERE, YONDER], "b": [THERE, YONDER]}
    assert grouped(places, peer_board=peer_board) == [("yonder:1", ("a", "b"))]
    peer_board = PeerBoard()
    peer_board.failed("there:1", -PEER_AVOID_S)
    chosen = {grouped(places, peer_board=peer_board)[0][0] for _ in range(4)}
    assert chosen == {"there:1", "yonder:1"}


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


def test_lost_gatherer_moves_only_its_own_part() -> None:
    domain = [PeerBox(f"10.0.0.{number}:1", HERE) for number in range(10)]
    chosen = choose_gatherers(domain)
    lost = next(iter(chosen))
    after = choose_gatherers([box for box in domain if box.address != lost])
    assert chosen - {lost} <= after
