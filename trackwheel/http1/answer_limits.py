"""Limits on the size of received answers, and on the memory of all of them together."""

from typing import Protocol

from trackwheel.http1.const import (
    BODY_SHARE_OF_MEMORY,
    DEFAULT_MEMORY_BYTES,
    MIN_BODY_LIMIT_BYTES,
    RECEIVE_SHARE_OF_MEMORY,
)
from trackwheel.http1.memory_share import MemoryShare


class Receiver(Protocol):
    """Receives one answer at a time."""

    def end_oversized(self, detail: str) -> None:
        """End the exchange and release its memory."""


class AnswerLimits:
    """Bound the body of each answer, and the bytes held by all unfinished answers of a box.

    The limit on a single answer does not protect a box from many large ones: when all of them
    together exceed the limit, the largest one is ended.
    """

    def __init__(self, memory_bytes: int = DEFAULT_MEMORY_BYTES) -> None:
        self.body_bytes = max(MIN_BODY_LIMIT_BYTES, int(memory_bytes * BODY_SHARE_OF_MEMORY))
        total_bytes = max(self.body_bytes, int(memory_bytes * RECEIVE_SHARE_OF_MEMORY))
        self._unfinished: MemoryShare[Receiver] = MemoryShare(total_bytes, _end)

    @property
    def held_bytes(self) -> int:
        """Return the bytes of all unfinished answers."""
        return self._unfinished.held_bytes

    def hold(self, receiver: Receiver, size: int) -> None:
        """Record how many bytes of an unfinished answer a receiver holds; 0 releases them."""
        self._unfinished.hold(receiver, size)


def _end(receiver: Receiver) -> None:
    receiver.end_oversized("all unfinished answers exceed the memory for them")
