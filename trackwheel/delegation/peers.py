"""State of the peers that gather shards for this box, and the messages exchanged with them."""

from bisect import bisect_right
from collections.abc import Callable, Iterable, Sequence
from itertools import accumulate
from typing import Final, NamedTuple

from trackwheel.delegation.const import (
    INITIAL_ROUND_TRIP_S,
    PEER_AVOID_S,
    PEERS_IN_ROTATION,
    ROUND_TRIP_WEIGHT,
)
from trackwheel.groups.models import NO_PRECEDENCE, Precedence
from trackwheel.relay.models import Place


class GroupForward(NamedTuple):
    """Request some shards of a query from a peer; times are remaining milliseconds when sent.

    The peer reports the received parts at `report_in_ms` and again at `answer_in_ms`, and sends
    later parts as they arrive. With `repeat`, other targets were asked for the shards before: the
    peer asks only targets of its own failure domain, at the cost of its own retry budget. Only
    records above `floor` are sent. The answer needs the share `least_coverage` of these shards.
    Only targets in the regions `homes` are asked; if it is empty, all may be. `group` is the name
    of the query's group; waiting queries are served in the order of `precedence`.
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
    group: str = ""
    precedence: Precedence = NO_PRECEDENCE


class GroupAccepted(NamedTuple):
    """Confirm that the peer works on the shards."""

    group_id: str


class GroupDeclined(NamedTuple):
    """Decline shards, given by position in the request, for which the peer asked no target."""

    group_id: str
    shards: list[int]


class GroupParts(NamedTuple):
    """Parts: shards by position in the request, their signatures and their merged top records.

    `ran` tells whether targets may have run any of the shards, `closed` how many targets have
    closed the connection during one so far. `not_run` of the last message are missing shards, by
    position, that certainly no target of the peer has run.
    """

    group_id: str
    shards: list[int]
    signatures: list[bytes]
    records: bytes
    final: bool
    ran: bool
    closed: int = 0
    not_run: list[int] = []


class GroupCancel(NamedTuple):
    """Cancel a group: its shards are no longer needed."""

    group_id: str


RELAY_MESSAGES: Final = (GroupForward, GroupAccepted, GroupDeclined, GroupParts, GroupCancel)


GOLDEN_RATIO_STEP: Final = 0.6180339887
"""Step of the rotation among peers: its multiples modulo 1 are spread evenly over any intervals."""


class PeerBox(NamedTuple):
    """A box to which shards may be delegated."""

    address: str
    place: Place
    speed: float = 1.0
    """Processor speed in cores."""


class PeerTracker:
    """Tracks the round trip to each peer and which peers have recently failed to respond."""

    def __init__(self, is_linked: Callable[[str], bool] = lambda address: False) -> None:
        self._is_linked = is_linked
        self._round_trip_by_address: dict[str, float] = {}
        self._avoided_until_by_address: dict[str, float] = {}
        self._picks = 0

    def round_trip_s(self, address: str) -> float:
        """Return the smoothed round trip to a peer (seconds)."""
        return self._round_trip_by_address.get(address, INITIAL_ROUND_TRIP_S)

    def record_accepted(self, address: str, took_s: float) -> None:
        """Record how long a peer took to accept a group."""
        before = self._round_trip_by_address.get(address, took_s)
        self._round_trip_by_address[address] = before + (took_s - before) * ROUND_TRIP_WEIGHT
        self._avoided_until_by_address.pop(address, None)

    def record_failure(self, address: str, now: float) -> None:
        """Record that a peer did not respond or that its link was lost."""
        self._avoided_until_by_address[address] = now + PEER_AVOID_S

    def pick(self, peers: Sequence[PeerBox], now: float) -> PeerBox | None:
        """Return one of the first usable peers in rotation, None if there is none.

        `peers` are in this box's preferred order. Only a few are used, so that links to them stay
        open: opening one takes three round trips, and a rotation over all peers made nearly every
        query meet a peer without a link. Faster boxes are picked more often.
        """
        usable = [
            peer for peer in peers if self._avoided_until_by_address.get(peer.address, 0.0) <= now
        ][:PEERS_IN_ROTATION]
        if not usable:
            return None
        self._picks += 1
        cumulative_speeds = list(accumulate(peer.speed for peer in usable))
        return usable[
            bisect_right(
                cumulative_speeds, self._picks * GOLDEN_RATIO_STEP % 1.0 * cumulative_speeds[-1]
            )
        ]

    def with_link(self, peers: Iterable[PeerBox]) -> list[PeerBox]:
        """Return the peers to which a link is open."""
        return [peer for peer in peers if self._is_linked(peer.address)]
