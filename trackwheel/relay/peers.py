"""What is known of the peers that gather shards for this box, and the messages to them."""

from typing import Final, NamedTuple

from trackwheel.relay.board import Board
from trackwheel.relay.const import FIRST_ROUND_TRIP_S, LEAST_GROUP, PEER_AVOID_S
from trackwheel.relay.models import Place

ROUND_TRIP_WEIGHT: Final = 0.2
"""Weight of the newest round trip in a peer's usual one."""

FARTHEST: Final = 2
"""Distance of a place in another region."""


class GroupForward(NamedTuple):
    """Ask a peer for some shards of a query; times are what is left when it is sent (ms).

    The peer reports what is in at `report_in_ms` and sends the rest at `answer_in_ms` at last.
    """

    group_id: str
    request_id: str
    host: str
    path: str
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    route: str
    shards: list[str]
    top_k: int
    max_attempts: int
    aim_ms: float
    report_in_ms: float
    answer_in_ms: float
    end_in_ms: float


class GroupAccepted(NamedTuple):
    """Say that the peer works on the shards."""

    group_id: str


class GroupParts(NamedTuple):
    """Bring parts: shards by place in the request, their signatures, their greatest records."""

    group_id: str
    shards: list[int]
    signatures: list[bytes]
    records: bytes
    final: bool


class GroupCancel(NamedTuple):
    """Say that nobody waits for the shards any more."""

    group_id: str


RELAY_MESSAGES: Final = (GroupForward, GroupAccepted, GroupParts, GroupCancel)


class PeerBox(NamedTuple):
    """A box to which shards may be handed."""

    address: str
    place: Place


class PeerBoard:
    """Know the round trip to each peer and which ones showed no life lately."""

    def __init__(self) -> None:
        self._round_trip_by_address: dict[str, float] = {}
        self._avoid_until_by_address: dict[str, float] = {}
        self._turn = 0

    def round_trip_s(self, address: str) -> float:
        """Return the usual time to a peer and back (seconds)."""
        return self._round_trip_by_address.get(address, FIRST_ROUND_TRIP_S)

    def accepted(self, address: str, after_s: float) -> None:
        """Take how long a peer took to accept."""
        before = self._round_trip_by_address.get(address, after_s)
        self._round_trip_by_address[address] = before + (after_s - before) * ROUND_TRIP_WEIGHT
        self._avoid_until_by_address.pop(address, None)

    def failed(self, address: str, now: float) -> None:
        """Take that a peer showed no life, or was lost."""
        self._avoid_until_by_address[address] = now + PEER_AVOID_S

    def pick(self, peers: list[PeerBox], now: float) -> PeerBox | None:
        """Return the next usable peer in turn, None when there is none."""
        usable = [
            peer for peer in peers if self._avoid_until_by_address.get(peer.address, 0.0) <= now
        ]
        if not usable:
            return None
        self._turn += 1
        return usable[self._turn % len(usable)]


class ShardGroup(NamedTuple):
    """Some shards and the peer beside their targets."""

    peer: PeerBox
    shards: tuple[str, ...]


def group_far_shards(
    shards: tuple[str, ...],
    own: Place,
    gathers: bool,
    peers: tuple[PeerBox, ...],
    board: Board,
    peer_board: PeerBoard,
    now: float,
) -> list[ShardGroup]:
    """Return the shards that peers ask for this box, in as few groups as will do.

    A box that gathers asks the targets of its own failure domain itself; another one leaves them
    to a peer there. Domains of the own region come before others. What is left out is asked
    directly: shards with a target in the own domain, and single ones elsewhere.
    """
    left = {shard for shard in shards if not (gathers and board.has_target_at(shard, own, now))}
    peers_by_place: dict[Place, list[PeerBox]] = {}
    for peer in peers:
        if peer.place != own or not gathers:
            peers_by_place.setdefault(peer.place, []).append(peer)
    groups: list[ShardGroup] = []
    for distance in range(FARTHEST + 1):
        held_by_place = {
            place: {shard for shard in left if board.has_target_at(shard, place, now)}
            for place in peers_by_place
            if _distance(place, own) == distance
        }
        for chosen, held in _fewest(held_by_place, left, peers_by_place, peer_board, now):
            groups.append(ShardGroup(chosen, tuple(shard for shard in shards if shard in held)))
            left -= held
    return groups


def _distance(place: Place, own: Place) -> int:
    """Return 0 for the own failure domain, 1 for the own region, 2 for others."""
    if place == own:
        return 0
    return 1 if place.region == own.region else FARTHEST


def _fewest(
    held_by_place: dict[Place, set[str]],
    wanted: set[str],
    peers_by_place: dict[Place, list[PeerBox]],
    peer_board: PeerBoard,
    now: float,
) -> list[tuple[PeerBox, set[str]]]:
    """Return peers and what each is to gather, the place that holds most of the rest first."""
    left = set(wanted)
    found: list[tuple[PeerBox, set[str]]] = []
    while left and held_by_place:
        most = max(len(held & left) for held in held_by_place.values())
        if most < LEAST_GROUP:
            break
        best = [place for place, held in held_by_place.items() if len(held & left) == most]
        chosen = peer_board.pick([peer for place in best for peer in peers_by_place[place]], now)
        if chosen is None:
            for place in best:
                del held_by_place[place]
            continue
        held = held_by_place.pop(chosen.place) & left
        found.append((chosen, held))
        left -= held
    return found
