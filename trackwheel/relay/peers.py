"""Handing a query to a box beside the targets, decided without I/O, and its messages."""

from typing import NamedTuple

from trackwheel.relay.const import (
    ACCEPT_SLACK_S,
    FIRST_ROUND_TRIP_S,
    PEER_AVOID_S,
)

ROUND_TRIP_WEIGHT = 0.2
"""Weight of the newest round trip in a peer's usual one."""


class QueryForward(NamedTuple):
    """Ask a peer to gather a query; times are what is left when it is sent (milliseconds)."""

    query_id: str
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
    least_coverage: float
    max_attempts: int
    aim_ms: float
    answer_in_ms: float
    end_in_ms: float
    repeat: bool


class QueryAccepted(NamedTuple):
    """Say that the peer works on the query."""

    query_id: str


class QueryDone(NamedTuple):
    """Bring the answer: signatures of the parts, or none where the peer gave up."""

    query_id: str
    signatures: list[bytes]
    missing: int
    body: bytes
    ran: bool
    late: bool
    reason: str


class QueryCancel(NamedTuple):
    """Say that nobody waits for the answer any more."""

    query_id: str


RELAY_MESSAGES = (QueryForward, QueryAccepted, QueryDone, QueryCancel)


class PeerBoard:
    """Know the round trip to each peer and which ones did not accept a query lately."""

    def __init__(self) -> None:
        self._round_trip_by_address: dict[str, float] = {}
        self._avoid_until_by_address: dict[str, float] = {}
        self._under_way_by_address: dict[str, int] = {}

    def round_trip_s(self, address: str) -> float:
        """Return the usual time to a peer and back (seconds)."""
        return self._round_trip_by_address.get(address, FIRST_ROUND_TRIP_S)

    def accepted(self, address: str, after_s: float) -> None:
        """Take how long a peer took to accept a query."""
        before = self._round_trip_by_address.get(address, after_s)
        self._round_trip_by_address[address] = before + (after_s - before) * ROUND_TRIP_WEIGHT
        self._avoid_until_by_address.pop(address, None)

    def failed(self, address: str, now: float) -> None:
        """Take that a peer did not accept, or was lost."""
        self._avoid_until_by_address[address] = now + PEER_AVOID_S

    def began(self, address: str) -> None:
        """Count a query at a peer."""
        self._under_way_by_address[address] = self._under_way_by_address.get(address, 0) + 1

    def ended(self, address: str) -> None:
        """Count a query at a peer no more."""
        self._under_way_by_address[address] = self._under_way_by_address.get(address, 1) - 1

    def order(self, addresses: tuple[str, ...], turn: int, now: float) -> list[str]:
        """Return the peers that may be asked, the least busy first, taking turns among equals."""
        usable = [
            address
            for address in addresses
            if self._avoid_until_by_address.get(address, 0.0) <= now
        ]
        count = max(1, len(usable))
        indexed = list(enumerate(usable))
        indexed.sort(
            key=lambda pair: (self._under_way_by_address.get(pair[1], 0), (pair[0] + turn) % count)
        )
        return [address for _, address in indexed]


class AskPeer(NamedTuple):
    """Command: hand the query to a peer."""

    address: str
    repeat: bool


class CancelPeer(NamedTuple):
    """Command: tell a peer that its answer is not awaited any more."""

    address: str


class RunHere(NamedTuple):
    """Command: gather the query at this box."""

    repeat: bool


HandOverCommand = AskPeer | CancelPeer | RunHere


class HandOver:
    """Decide which peer gathers a query, and what happens when it does not."""

    def __init__(self, peers: list[str], board: PeerBoard, answer_at: float, end_at: float) -> None:
        self._peers = peers
        self._board = board
        self._answer_at = answer_at
        self._end_at = end_at
        self._asked_at = 0.0
        self._repeat = False
        self._accepted = False
        self.current: str | None = None
        self.here = False

    def start(self, now: float) -> list[HandOverCommand]:
        """Ask the first peer."""
        return self._next(now)

    def accepted(self, address: str, now: float) -> None:
        """Take that a peer works on the query."""
        if address == self.current and not self._accepted:
            self._accepted = True
            self._board.accepted(address, now - self._asked_at)

    def lost(self, address: str, now: float) -> list[HandOverCommand]:
        """Take that the link to a peer broke."""
        if address != self.current:
            return []
        return self._pass_over(now)

    def tick(self, now: float) -> list[HandOverCommand]:
        """Go on without a peer that showed no life in time."""
        if self.current is None or now < self.next_wake():
            return []
        return [CancelPeer(self.current), *self._pass_over(now)]

    def next_wake(self) -> float:
        """Return when `tick` is next needed (monotonic seconds)."""
        if self.current is None:
            return self._end_at
        if not self._accepted:
            return self._asked_at + self._board.round_trip_s(self.current) + ACCEPT_SLACK_S
        return self._answer_at if self._asked_at < self._answer_at else self._end_at

    def finish(self) -> None:
        """End: the answer is there, or nobody waits for it."""
        if self.current is not None:
            self._board.ended(self.current)
            self.current = None

    def _pass_over(self, now: float) -> list[HandOverCommand]:
        assert self.current is not None
        self._board.failed(self.current, now)
        self._board.ended(self.current)
        self.current = None
        self._repeat = True
        return self._next(now)

    def _next(self, now: float) -> list[HandOverCommand]:
        self._accepted = False
        self._asked_at = now
        if not self._peers:
            self.here = True
            return [RunHere(self._repeat)]
        self.current = self._peers.pop(0)
        self._board.began(self.current)
        return [AskPeer(self.current, self._repeat)]
