"""Plans, commands and results of a scatter-gather query."""

from typing import NamedTuple, Protocol

from trackwheel.relay.causes import Cause
from trackwheel.relay.models import OPEN_GATE, Place, RouteKey, SendGate, Target


class GroupPlan(NamedTuple):
    """Shards to delegate to one peer; times are monotonic seconds.

    The peer has to accept by `accept_by` and to report what it has received by `report_by`. With
    `repeat`, other targets were asked for the shards before.
    """

    address: str
    place: Place
    shards: tuple[str, ...]
    accept_by: float
    report_by: float
    repeat: bool = False


class GatherPlan(NamedTuple):
    """Parameters of one query; times are monotonic seconds.

    `answer_at` is the last moment to answer within the target latency, `end_at` the last moment to
    answer at all. With `partial`, the query is a group delegated by a peer: whatever was received
    by `end_at` is returned, and `least_coverage` is the coverage that the peer needs. With
    `repeat`, other targets were asked before, and only targets in this box's failure domain are
    asked. `gate` decides whether the query may be sent to targets at all.
    """

    route: RouteKey
    shards: tuple[str, ...]
    top_k: int
    groups: tuple[GroupPlan, ...]
    least_coverage: float
    max_attempts: int
    answer_at: float
    end_at: float
    partial: bool
    repeat: bool = False
    gate: SendGate = OPEN_GATE

    @property
    def peer_attempts(self) -> int:
        """Return on how many targets a peer may run a shard; this box keeps one attempt."""
        return max(1, self.max_attempts - 1)


class Regrouper(Protocol):
    """Finds peers near other targets for shards that are late or failed."""

    def regroup(
        self,
        tried_by_shard: dict[str, frozenset[str]],
        plan: GatherPlan,
        repeat: bool,
        now: float,
    ) -> tuple[GroupPlan, ...]:
        """Return disjoint groups for peers in the failure domains of untried targets.

        `repeat` tells whether targets were asked for the shards before.
        """


class SendPart(NamedTuple):
    """Command: request a shard from a target."""

    token: int
    shard: str
    target: Target
    reason: str


class CancelPart(NamedTuple):
    """Command: cancel an outstanding request."""

    token: int
    target: Target


class SendGroup(NamedTuple):
    """Command: delegate a group of shards to its peer.

    Records that are not above `floor` are not needed; `least_coverage` is the share of the group
    that the answer needs.
    """

    number: int
    group: GroupPlan
    floor: bytes
    least_coverage: float


class CancelGroup(NamedTuple):
    """Command: tell a peer that its group is no longer needed."""

    number: int
    address: str


class Declined(NamedTuple):
    """Command: tell the sender of a group for which of its shards no target was asked."""

    shards: tuple[str, ...]


class PeerSilent(NamedTuple):
    """Command: record that a peer did not accept or report in time."""

    address: str
    accepted: bool


class Gathered(NamedTuple):
    """Command: answer with these signatures and the top records of these lists.

    `cause` tells why shards are missing or, of a late answer, what it waited for at the target
    latency. No target may have run the missing shards `not_run`.
    """

    signature_by_shard: dict[str, bytes]
    record_lists: list[list[bytes]]
    missing: int
    reason: str
    lacking: str = ""
    cause: Cause | None = None
    not_run: tuple[str, ...] = ()


class GatherFailed(NamedTuple):
    """Command: fail the query; `ran` tells whether a target may have run it."""

    ran: bool
    late: bool
    reason: str
    lacking: str = ""
    cause: Cause | None = None


GatherCommand = (
    SendPart
    | CancelPart
    | SendGroup
    | CancelGroup
    | Declined
    | PeerSilent
    | Gathered
    | GatherFailed
)
