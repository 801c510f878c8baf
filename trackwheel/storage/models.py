"""Interfaces and results of the platform's services."""

from typing import NamedTuple, Protocol

import msgspec
from returns.result import Result

from trackwheel.storage.errors import PlatformError


class StoredValue(NamedTuple):
    """The value of a key and its revision; revision 0 means that there is no value."""

    value: bytes
    revision: int


class WriteResult(NamedTuple):
    """Whether a compare-and-swap took effect, and the revision of the key after it."""

    written: bool
    revision: int


class BoxList(msgspec.Struct):
    """Addresses of the live and the leaving boxes; may be out of date."""

    live: list[str]
    leaving: list[str]


class KeyValueClient(Protocol):
    """Interface of the key-value service."""

    async def get(self, key: str) -> Result[StoredValue, PlatformError]:
        """Return the value of a key."""

    async def compare_and_swap(
        self, key: str, value: bytes, revision: int
    ) -> Result[WriteResult, PlatformError]:
        """Write a value if the key has the given revision; a failed call may have taken effect."""

    async def watch(self, key: str, after: int) -> Result[StoredValue, PlatformError]:
        """Return the value of a key once its revision differs from `after`, or after a timeout."""


class BoxListClient(Protocol):
    """Interface of the box list."""

    async def read(self) -> Result[BoxList, PlatformError]:
        """Return the current list."""
