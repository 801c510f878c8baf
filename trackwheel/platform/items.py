"""Request and response bodies of the platform's store."""

import base64
from typing import Self

import msgspec
from msgspec.structs import replace
from returns.result import Failure, Result, Success

from trackwheel.directory.revisions import make_revision
from trackwheel.errors import TrackwheelError
from trackwheel.platform.errors import store_error


class Item(msgspec.Struct):
    """One item as written, or the deletion of one.

    `revision` is the store's own number; `in_era` converts it to one that rises across restores.
    """

    # The platform's name of the key; unrelated to TLS.
    tls_key: str
    revision: int
    value: str = ""
    deleted: bool = False
    as_of: int = 0

    def in_era(self, era: int) -> Self:
        """Return the item with a revision that rises across restores of the store."""
        return replace(self, revision=make_revision(era, self.revision))

    def content(self) -> Result[bytes, TrackwheelError]:
        """Decode the base64 value."""
        try:
            return Success(base64.b64decode(self.value, validate=True))
        except ValueError as error:
            return Failure(store_error("bad_value", "decode", self.tls_key, error))


class LeaseRequest(msgspec.Struct):
    """Request for a lease."""

    ttl_ms: int


class Lease(msgspec.Struct):
    """A granted lease."""

    lease: int


class Precondition(msgspec.Struct):
    """Precondition that a key is at a revision; 0 means that it is absent."""

    tls_key: str
    revision: int


class Put(msgspec.Struct):
    """Write of an item under a lease."""

    tls_key: str
    value: str
    lease: int


class Transaction(msgspec.Struct):
    """Writes and deletions that are applied atomically."""

    expected_revision: list[Precondition] = []
    puts: list[Put] = []
    remove: list[str] = []


class Page(msgspec.Struct):
    """One page of a range read."""

    items: list[Item]
    has_more: bool
    as_of: int

    def in_era(self, era: int) -> Self:
        """Return the page with revisions that rise across restores of the store."""
        items = [item.in_era(era) for item in self.items]
        return replace(self, items=items, as_of=make_revision(era, self.as_of))


class Events(msgspec.Struct):
    """Changes that a watch returns."""

    events: list[Item]
    as_of: int

    def in_era(self, era: int) -> Self:
        """Return the changes with revisions that rise across restores of the store."""
        events = [item.in_era(era) for item in self.events]
        return replace(self, events=events, as_of=make_revision(era, self.as_of))
