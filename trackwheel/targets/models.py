"""What goes to a target and what comes back."""

from typing import NamedTuple, Protocol

import msgspec


class TargetReply(NamedTuple):
    """Hold a target's whole reply."""

    status: int
    boot: str
    draining: bool
    not_run: bool
    retry_after_s: float
    body: bytes


class TargetClient(Protocol):
    """Exchange requests with targets; cancelling an exchange closes its connection."""

    async def post(self, target: str, path: str, body: bytes, deadline_ms: float) -> TargetReply:
        """Return the whole reply; raise `TargetUnreachableError` or `TargetBrokenError`."""

    async def get(self, target: str, path: str) -> TargetReply:
        """Return the whole reply; raise `TargetUnreachableError` or `TargetBrokenError`."""

    async def close(self) -> None:
        """Close all connections."""


class AnswerHead(msgspec.Struct):
    """Read from a query's answer only what the owner checks."""

    nonce: str
    version: int
    end: bool


class TargetAnswer(msgspec.Struct):
    """Read a query's whole answer: the items of each shard at one version of the index."""

    nonce: str
    version: int
    map_size: int
    shards: dict[int, list[msgspec.Raw]]
    end: bool


class WrongVersion(msgspec.Struct):
    """Read a target's refusal of a version that it does not hold."""

    nonce: str
    holds: list[int]


class ExecuteReply(msgspec.Struct):
    """Read the answer to a request that ran."""

    nonce: str
    end: bool


class ExecuteRefusal(msgspec.Struct):
    """Read the refusal of a request that did not run."""

    nonce: str
    code: str = "refused"


class HealthPage(msgspec.Struct):
    """Read a health page: hints only."""

    draining: bool = False
    boot: str = ""
