"""Limits on what all clients of a box hold together."""

from collections import Counter
from enum import StrEnum
from typing import Protocol

from trackwheel.http1.const import (
    ANSWER_SHARE_OF_MEMORY,
    DEFAULT_MEMORY_BYTES,
    MIN_BODY_LIMIT_BYTES,
    REQUEST_SHARE_OF_MEMORY,
)
from trackwheel.http1.memory_share import MemoryShare


class EndCause(StrEnum):
    """Why a box refused a request that it had not passed on, or closed a connection."""

    INVALID = "invalid"
    LATE = "late"
    STOPPING = "stopping"
    MEMORY = "memory"
    ANSWER_MEMORY = "answer_memory"
    ANSWER_STALLED = "answer_stalled"
    DESCRIPTORS = "descriptors"


class RequestHolder(Protocol):
    """Holds requests that have not been passed on."""

    def drop_requests(self) -> None:
        """Refuse these requests and release their memory."""


class AnswerHolder(Protocol):
    """Holds answers that its client has not read."""

    def drop_answers(self) -> None:
        """Close the connection and release the memory of its answers."""


class ClientLimits:
    """Bound the memory that the clients of a box take together, whichever address they use."""

    def __init__(self, memory_bytes: int = DEFAULT_MEMORY_BYTES) -> None:
        self.requests: MemoryShare[RequestHolder] = MemoryShare(
            int(memory_bytes * REQUEST_SHARE_OF_MEMORY), _drop_requests
        )
        self.answers: MemoryShare[AnswerHolder] = MemoryShare(
            max(MIN_BODY_LIMIT_BYTES, int(memory_bytes * ANSWER_SHARE_OF_MEMORY)), _drop_answers
        )
        self.ended_by_cause: Counter[tuple[str]] = Counter()


def _drop_requests(holder: RequestHolder) -> None:
    holder.drop_requests()


def _drop_answers(holder: AnswerHolder) -> None:
    holder.drop_answers()
