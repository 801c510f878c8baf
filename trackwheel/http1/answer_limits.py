"""Limits on the size of received answers, and on the memory of all of them together."""

from typing import Protocol

from trackwheel.http1.const import (
    BODY_SHARE_OF_MEMORY,
    DEFAULT_MEMORY_BYTES,
    MIN_BODY_LIMIT_BYTES,
    RECEIVE_SHARE_OF_MEMORY,
)


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
        self._total_bytes = max(self.body_bytes, int(memory_bytes * RECEIVE_SHARE_OF_MEMORY))
        self._bytes_by_receiver: dict[Receiver, int] = {}
        self.held_bytes = 0

    def hold(self, receiver: Receiver, size: int) -> None:
        """Record how many bytes of an unfinished answer a receiver holds; 0 releases them."""
        self.held_bytes += size - self._bytes_by_receiver.pop(receiver, 0)
        if size:
            self._bytes_by_receiver[receiver] = size
        while self.held_bytes > self._total_bytes:
            largest = max(self._bytes_by_receiver, key=self._bytes_by_receiver.__getitem__)
            self.hold(largest, 0)
            largest.end_oversized("all unfinished answers exceed the memory for them")
