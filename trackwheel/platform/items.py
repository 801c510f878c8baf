"""The bodies that the platform's store takes and gives."""

import base64
from typing import Self

import msgspec
from msgspec.structs import replace
from returns.result import Failure, Result, Success

from trackwheel.directory.revisions import make_revision
from trackwheel.errors import TrackwheelError
from trackwheel.platform.errors import store_error


class Item(msgspec.Struct):
    """One item as it was written, or a deletion of one.

    Its revision is the store's own until it is put `in_era`.
    """

    # The key's name on the wire has nothing to do with TLS.
    tls_key: str
    revision: int
    value: str = ""
    deleted: bool = False
    as_of: int = 0

    def in_era(self, era: int) -> Self:
        """Return the item with a revision that rises over all eras."""
        return replace(self, revision=make_revision(era, self.revision))

    def content(self) -> Result[bytes, TrackwheelError]:
        """Return the decoded value."""
        try:
            return Success(base64.b64decode(self.value, validate=True))
        except ValueError as error:
            return Failure(store_error("bad_value", "decode", self.tls_key, error))


class LeaseAsk(msgspec.Struct):
    """Ask for a lease."""

    ttl_ms: int


class Lease(msgspec.Struct):
    """A lease that was given."""

    lease: int


class Expected(msgspec.Struct):
    """Expect a key to stand at a revision; 0 that it is absent."""

    tls_key: str
    revision: int


class Put(msgspec.Struct):
    """Write an item under a lease."""

    tls_key: str
    value: str
    lease: int


class Change(msgspec.Struct):
    """Do all or nothing."""

    expected_revision: list[Expected] = []
    puts: list[Put] = []
    remove: list[str] = []


class Page(msgspec.Struct):
    """One page of a range."""

    items: list[Item]
    has_more: bool
    as_of: int

    def in_era(self, era: int) -> Self:
        """Return the page with revisions that rise over all eras."""
        items = [item.in_era(era) for item in self.items]
        return replace(self, items=items, as_of=make_revision(era, self.as_of))


class Events(msgspec.Struct):
    """What a watch tells."""

    events: list[Item]
    as_of: int

    def in_era(self, era: int) -> Self:
        """Return the changes with revisions that rise over all eras."""
        events = [item.in_era(era) for item in self.events]
        return replace(self, events=events, as_of=make_revision(era, self.as_of))
