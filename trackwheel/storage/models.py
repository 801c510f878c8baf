"""What the platform's services answer."""

from typing import NamedTuple, Protocol

import msgspec
from returns.result import Result

from trackwheel.storage.errors import PlatformError


class StoredValue(NamedTuple):
    """Hold a key's value and its revision; revision 0 means that there is no value."""

    value: bytes
    revision: int


class WriteResult(NamedTuple):
    """Say whether a compare-and-swap took effect, and the key's revision after it."""

    written: bool
    revision: int


class BoxList(msgspec.Struct):
    """List the addresses of live and of leaving boxes; it lags."""

    live: list[str]
    leaving: list[str]


class KeyValueClient(Protocol):
    """Call the platform's key-value service."""

    async def get(self, key: str) -> Result[StoredValue, PlatformError]:
        """Return a key's value."""

    async def compare_and_swap(
        self, key: str, value: bytes, revision: int
    ) -> Result[WriteResult, PlatformError]:
        """Write a value if the key has a revision; a failure may have taken effect."""

    async def watch(self, key: str, after: int) -> Result[StoredValue, PlatformError]:
        """Return a key's value when its revision is another one, or after some seconds."""


class BoxListClient(Protocol):
    """Read the platform's box list."""

    async def read(self) -> Result[BoxList, PlatformError]:
        """Return the list as it stands."""
