"""A limit on the memory that many holders take together."""

from collections.abc import Callable
from typing import Generic, TypeVar

from trackwheel.http1.const import RESERVE_SHARE_OF_REST

H = TypeVar("H")


class MemoryShare(Generic[H]):
    """Bound the bytes that all holders have together: the holder of most is dropped first.

    Among holders of the same size, the one whose size has not changed for the longest is dropped.
    `drop` must release the holder's memory; its bytes no longer count when it is called.
    Reserved bytes count as well, but nobody is dropped for them.
    """

    def __init__(self, limit_bytes: int, drop: Callable[[H], None]) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._reserved_bytes = 0
        self._drop = drop
        self._bytes_by_holder: dict[H, int] = {}

    def hold(self, holder: H, size: int) -> None:
        """Record how many bytes a holder has; 0 releases them."""
        self.held_bytes += size - self._bytes_by_holder.pop(holder, 0)
        if size:
            self._bytes_by_holder[holder] = size
        self._drop_largest()

    def reserve(self, size: int) -> bool:
        """Reserve bytes until they are released; return whether a part of the rest suffices.

        While many have large reservations, small ones are still made.
        """
        if size > (self.limit_bytes - self._reserved_bytes) * RESERVE_SHARE_OF_REST:
            return False
        self._reserved_bytes += size
        self.held_bytes += size
        self._drop_largest()
        return True

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self._reserved_bytes -= size
        self.held_bytes -= size

    def _drop_largest(self) -> None:
        while self.held_bytes > self.limit_bytes and self._bytes_by_holder:
            largest = max(self._bytes_by_holder, key=self._bytes_by_holder.__getitem__)
            self.held_bytes -= self._bytes_by_holder.pop(largest)
            self._drop(largest)
