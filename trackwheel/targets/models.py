"""Messages of the target protocol and the interface of its client."""

from typing import NamedTuple, Protocol

import msgspec


class TargetReply(NamedTuple):
    """Complete reply of a target."""

    status: int
    boot: str
    draining: bool
    not_run: bool
    retry_after_s: float
    body: bytes


class TargetClient(Protocol):
    """Client for targets; cancelling an exchange closes its connection."""

    async def post(self, target: str, path: str, body: bytes, deadline_ms: float) -> TargetReply:
        """Return the whole reply; raise `TargetUnreachableError` or `TargetBrokenError`."""

    async def get(self, target: str, path: str) -> TargetReply:
        """Return the whole reply; raise `TargetUnreachableError` or `TargetBrokenError`."""

    async def close(self) -> None:
        """Close all connections."""


class AnswerHead(msgspec.Struct):
    """The fields of a query answer that the owner checks."""

    nonce: str
    version: int
    end: bool


class TargetAnswer(msgspec.Struct):
    """Complete answer to a query: the items of each shard at one version of the index."""

    nonce: str
    version: int
    map_size: int
    shards: dict[int, list[msgspec.Raw]]
    end: bool


class WrongVersion(msgspec.Struct):
    """Refusal of a version that the target does not hold."""

    nonce: str
    holds: list[int]


class ExecuteReply(msgspec.Struct):
    """Answer to a request that ran."""

    nonce: str
    end: bool


class ExecuteRefusal(msgspec.Struct):
    """Refusal of a request that did not run."""

    nonce: str
    code: str = "refused"


class HealthPage(msgspec.Struct):
    """Health page of a target; its fields are only hints."""

    draining: bool = False
    boot: str = ""
