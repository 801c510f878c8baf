"""Queries, answers and coverage, and the messages between gateways."""

from typing import NamedTuple

import msgspec

from trackwheel.dispatch.models import Outcome
from trackwheel.files.models import Policy


class Snapshot(NamedTuple):
    """Name one snapshot of a service's index: its version and how many shards its map has."""

    version: int
    map_size: int


class MissingShard(NamedTuple):
    """Name a shard that an answer does not cover, and why."""

    shard: int
    reason: str


class Answer(NamedTuple):
    """Hold a query's answer: the items of the covered shards at one snapshot, and the rest."""

    snapshot: Snapshot | None
    items_by_shard: dict[int, list[msgspec.Raw]]
    missing_shards: tuple[MissingShard, ...]

    @property
    def coverage(self) -> float:
        """Return the part of the shards that the answer covers."""
        total = len(self.items_by_shard) + len(self.missing_shards)
        return len(self.items_by_shard) / total if total else 0.0

    @property
    def complete(self) -> bool:
        """Return whether the answer covers every shard of its snapshot."""
        return self.snapshot is not None and not self.missing_shards


class QueryPlan(NamedTuple):
    """Hold what a query needs: targets by instance and the policy it lives under (seconds)."""

    query_id: str
    service: str
    group: str
    policy: Policy
    targets_by_instance: tuple[tuple[str, ...], ...]
    version_hint: int | None


class SubrequestResult(NamedTuple):
    """Event: a sub-request ended; `items_by_shard` is there when it ended well (seconds)."""

    nonce: int
    outcome: Outcome
    snapshot: Snapshot | None
    items_by_shard: dict[int, list[msgspec.Raw]]
    held_versions: tuple[int, ...]
    retry_after_s: float


class SendSubrequest(NamedTuple):
    """Command: ask a target for its shards at a version."""

    nonce: int
    instance: int
    target: str
    version: int | None
    last_resort: bool
    reason: str


class CancelSubrequest(NamedTuple):
    """Command: take an ask back."""

    nonce: int
    target: str


class QueryAnswered(NamedTuple):
    """Command: give the caller this answer."""

    answer: Answer


class QueryFailed(NamedTuple):
    """Command: tell the caller at once that there will be no answer (seconds)."""

    answer: Answer
    overloaded: bool
    retry_after_s: float


GatherCommand = SendSubrequest | CancelSubrequest | QueryAnswered | QueryFailed


class Forward(NamedTuple):
    """Pass a request that may run only once to the box that issued its id."""

    exchange_id: str
    issuer_boot: str
    request_id: str
    service: str
    group: str
    routing_key: str
    body: str
    deadline_ms: float


class Forwarded(NamedTuple):
    """Bring back what the issuer knows of the request."""

    exchange_id: str
    status: int
    payload: bytes
    retry_after_ms: float


GATEWAY_MESSAGES = (Forward, Forwarded)
