"""What a gather takes and gives: plans, commands and ends."""

from typing import NamedTuple, Protocol

from trackwheel.relay.models import OPEN_GATE, Place, RouteKey, SendGate, Target


class GroupPlan(NamedTuple):
    """Shards that a peer is asked for; times are monotonic seconds.

    The peer accepts before `accept_by` and reports what is in before `report_by`. With `repeat`,
    other targets were asked for the shards before.
    """

    address: str
    place: Place
    shards: tuple[str, ...]
    accept_by: float
    report_by: float
    repeat: bool = False


class GatherPlan(NamedTuple):
    """Say what a query needs; times are monotonic seconds.

    `answer_at` is the last moment to answer within the aim, `end_at` that to answer at all.
    With `partial`, the answer is a part of a peer's: whatever is in at `end_at` is given, and
    `least_coverage` is what the peer can do with. With `repeat`, others were asked before: only
    targets in this box's failure domain are asked now. `gate` knows whether the query may go to
    targets at all.
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
        """Return how many targets a peer may run a shard on; what is left is this box's own."""
        return max(1, self.max_attempts - 1)


class Regrouping(Protocol):
    """Find peers beside other targets for shards that are late or failed."""

    def groups_elsewhere(
        self,
        tried_by_shard: dict[str, frozenset[str]],
        plan: GatherPlan,
        repeat: bool,
        now: float,
    ) -> tuple[GroupPlan, ...]:
        """Return groups beside targets that were not tried; no shard is in two of them.

        `repeat` says whether targets were asked for the shards before.
        """


class SendPart(NamedTuple):
    """Command: ask a target for a shard."""

    token: int
    shard: str
    target: Target
    reason: str


class CancelPart(NamedTuple):
    """Command: take an unanswered request back."""

    token: int
    target: Target


class SendGroup(NamedTuple):
    """Command: hand a group of shards to its peer; records below `floor` are not needed.

    The answer can do with `least_coverage` of the group.
    """

    number: int
    group: GroupPlan
    floor: bytes
    least_coverage: float


class CancelGroup(NamedTuple):
    """Command: tell a peer that its shards are not awaited any more."""

    number: int
    address: str


class Declined(NamedTuple):
    """Command: tell the sender of a group that no target was asked for some of its shards."""

    shards: tuple[str, ...]


class PeerSilent(NamedTuple):
    """Command: note that a peer showed no life in time."""

    address: str
    accepted: bool


class Gathered(NamedTuple):
    """Command: answer with these signatures and the greatest of these records."""

    signature_by_shard: dict[str, bytes]
    record_lists: list[list[bytes]]
    missing: int
    reason: str
    lacking: str = ""


class GatherFailed(NamedTuple):
    """Command: tell the client that no answer comes; `ran` says whether a target may have run."""

    ran: bool
    late: bool
    reason: str
    lacking: str = ""


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
