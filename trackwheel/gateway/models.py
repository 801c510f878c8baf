"""Query plans, answers and commands, and the messages between gateways."""

from typing import NamedTuple

import msgspec

from trackwheel.dispatch.models import Outcome
from trackwheel.files.models import Policy


class Snapshot(NamedTuple):
    """A snapshot of a service's index: its version and the number of shards in its map."""

    version: int
    map_size: int


class MissingShard(NamedTuple):
    """A shard that an answer does not cover, and the reason."""

    shard: int
    reason: str


class Answer(NamedTuple):
    """The answer of a query: items of the covered shards at one snapshot, and missing shards."""

    snapshot: Snapshot | None
    items_by_shard: dict[int, list[msgspec.Raw]]
    missing_shards: tuple[MissingShard, ...]

    @property
    def coverage(self) -> float:
        """Return the fraction of the shards that the answer covers."""
        total = len(self.items_by_shard) + len(self.missing_shards)
        return len(self.items_by_shard) / total if total else 0.0

    @property
    def complete(self) -> bool:
        """Return whether the answer covers every shard of its snapshot."""
        return self.snapshot is not None and not self.missing_shards


class QueryPlan(NamedTuple):
    """Input of a query: targets by instance and the policy with its deadlines."""

    query_id: str
    service: str
    group: str
    policy: Policy
    targets_by_instance: tuple[tuple[str, ...], ...]
    version_hint: int | None


class SubrequestResult(NamedTuple):
    """Event: a sub-request ended; `items_by_shard` is set if it succeeded (seconds)."""

    nonce: int
    outcome: Outcome
    snapshot: Snapshot | None
    items_by_shard: dict[int, list[msgspec.Raw]]
    held_versions: tuple[int, ...]
    retry_after_s: float


class SendSubrequest(NamedTuple):
    """Command: request the shards of a target at a version."""

    nonce: int
    instance: int
    target: str
    version: int | None
    last_resort: bool
    reason: str


class CancelSubrequest(NamedTuple):
    """Command: cancel a sub-request."""

    nonce: int
    target: str


class QueryAnswered(NamedTuple):
    """Command: return this answer to the caller."""

    answer: Answer


class QueryFailed(NamedTuple):
    """Command: tell the caller that the coverage was not reached (seconds)."""

    answer: Answer
    overloaded: bool
    retry_after_s: float


GatherCommand = SendSubrequest | CancelSubrequest | QueryAnswered | QueryFailed


class Forward(NamedTuple):
    """Message: forward an at-most-once request to the box that issued its id."""

    exchange_id: str
    issuer_boot: str
    request_id: str
    service: str
    group: str
    routing_key: str
    body: str
    deadline_ms: float


class Forwarded(NamedTuple):
    """Message: the issuer's response to a forwarded request."""

    exchange_id: str
    status: int
    payload: bytes
    retry_after_ms: float


GATEWAY_MESSAGES = (Forward, Forwarded)
