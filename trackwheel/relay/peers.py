"""What is known of the peers that gather shards for this box, and the messages to them."""

from bisect import bisect_right
from collections.abc import Callable, Iterable, Sequence
from itertools import accumulate
from typing import Final, NamedTuple

from trackwheel.relay.const import (
    INITIAL_ROUND_TRIP_S,
    PEER_AVOID_S,
    PEERS_IN_ROTATION,
    ROUND_TRIP_WEIGHT,
)
from trackwheel.relay.models import Place


class GroupForward(NamedTuple):
    """Ask a peer for some shards of a query; times are what is left when it is sent (ms).

    The peer reports what is in at `report_in_ms`, again at `answer_in_ms`, and sends each part that
    comes later as it comes. With `repeat`, other targets were asked for the shards before: the
    peer asks those beside it and no others, and pays for that. Only records above `floor` are sent.
    The answer can do with `least_coverage` of these shards. Only targets in the regions `homes` are
    asked, any when it is empty.
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
    repeat: bool
    floor: bytes
    least_coverage: float
    homes: list[str]


class GroupAccepted(NamedTuple):
    """Say that the peer works on the shards."""

    group_id: str


class GroupDeclined(NamedTuple):
    """Leave shards, by place in the request, to others: no target was asked for them here."""

    group_id: str
    shards: list[int]


class GroupParts(NamedTuple):
    """Bring parts: shards by place in the request, their signatures, their greatest records.

    `ran` says whether targets may have run any of the shards, `closed` how many targets ended the
    connection under one so far.
    """

    group_id: str
    shards: list[int]
    signatures: list[bytes]
    records: bytes
    final: bool
    ran: bool
    closed: int = 0


class GroupCancel(NamedTuple):
    """Say that nobody waits for the shards any more."""

    group_id: str


RELAY_MESSAGES: Final = (GroupForward, GroupAccepted, GroupDeclined, GroupParts, GroupCancel)


GOLDEN_RATIO_STEP: Final = 0.6180339887
"""Step of the turn among peers: its multiples fall evenly into parts of any size."""


class PeerBox(NamedTuple):
    """A box to which shards may be handed."""

    address: str
    place: Place
    speed: float = 1.0
    """How fast its processor is, in cores."""


class PeerTracker:
    """Know the round trip to each peer and which ones showed no life lately."""

    def __init__(self, is_linked: Callable[[str], bool] = lambda address: False) -> None:
        self._is_linked = is_linked
        self._round_trip_by_address: dict[str, float] = {}
        self._avoid_until_by_address: dict[str, float] = {}
        self._turn = 0

    def round_trip_s(self, address: str) -> float:
        """Return the usual time to a peer and back (seconds)."""
        return self._round_trip_by_address.get(address, INITIAL_ROUND_TRIP_S)

    def record_accepted(self, address: str, took_s: float) -> None:
        """Take how long a peer took to accept."""
        before = self._round_trip_by_address.get(address, took_s)
        self._round_trip_by_address[address] = before + (took_s - before) * ROUND_TRIP_WEIGHT
        self._avoid_until_by_address.pop(address, None)

    def record_failure(self, address: str, now: float) -> None:
        """Take that a peer showed no life, or was lost."""
        self._avoid_until_by_address[address] = now + PEER_AVOID_S

    def pick(self, peers: Sequence[PeerBox], now: float) -> PeerBox | None:
        """Return one of the first usable peers in turn, None when there is none.

        They come in this box's own order. It keeps to a few, so that links to them stand: opening
        one takes three ways there and back, and with all in turn nearly every query met a peer
        without a link. Faster boxes have their turn more often.
        """
        usable = [
            peer for peer in peers if self._avoid_until_by_address.get(peer.address, 0.0) <= now
        ][:PEERS_IN_ROTATION]
        if not usable:
            return None
        self._turn += 1
        speeds = list(accumulate(peer.speed for peer in usable))
        return usable[bisect_right(speeds, self._turn * GOLDEN_RATIO_STEP % 1.0 * speeds[-1])]

    def with_link(self, peers: Iterable[PeerBox]) -> list[PeerBox]:
        """Return the peers to which a link stands."""
        return [peer for peer in peers if self._is_linked(peer.address)]
