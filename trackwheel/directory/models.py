"""Entries of the directory, its source and the messages between boxes."""

from typing import NamedTuple, Protocol

from returns.result import Result

from trackwheel.errors import TrackwheelError
from trackwheel.routing.models import RouteTable


class TargetEntry(NamedTuple):
    """One target as it describes itself; `cold_s` is how long it is still slow (seconds)."""

    instance: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    cold_s: float
    revision: int


class EntryGone(NamedTuple):
    """Say that the entry of a target is gone since a revision.

    `may_return_s` is how long an entry that lapsed while the store was away may still come back
    (seconds from when this is sent).
    """

    instance: str
    revision: int
    may_return_s: float = 0.0


class RoutesRead(NamedTuple):
    """Bring a configuration as the source holds it; None when there is none yet.

    `more` says that further changes wait already.
    """

    table: RouteTable | None
    content: bytes
    as_of: int
    more: bool = False


class TargetsRead(NamedTuple):
    """Bring all entries (`since` is None) or the changes after a revision.

    `more` says that further changes wait already.
    """

    since: int | None
    entries: list[TargetEntry]
    gone: list[EntryGone]
    as_of: int
    more: bool = False


class HistoryGoneError(TrackwheelError):
    """Say that the source no longer has the changes after a revision."""


class DirectorySource(Protocol):
    """Read the platform's store; a failure says nothing about what is in force.

    With `copy`, what is read may be seconds old, and parts of it of different ages.
    """

    async def read_routes(self, copy: bool = False) -> Result[RoutesRead, TrackwheelError]:
        """Return the configuration as it stands."""

    async def watch_routes(self, after: int, wait_s: float) -> Result[RoutesRead, TrackwheelError]:
        """Return the configuration when it changes after a revision, or nothing after a while."""

    async def read_targets(self, copy: bool = False) -> Result[TargetsRead, TrackwheelError]:
        """Return all entries of targets."""

    async def watch_targets(
        self, after: int, wait_s: float
    ) -> Result[TargetsRead, TrackwheelError]:
        """Return the changes of targets after a revision, or none after a while."""

    def decode_routes(self, content: bytes) -> Result[RouteTable, TrackwheelError]:
        """Return the configuration that some bytes hold."""


class DirectoryBeacon(NamedTuple):
    """Say how far a box is that reads the store, and whose reading it goes by.

    `targets_newest` is the revision of the newest change of a target; the store's own counter
    rises without any. `goes_by` is the sender's own address while the store answers it, that of a
    peer whom it answers and with whom the sender has caught up, or empty.
    """

    routes_version: int
    targets_newest: int
    goes_by: str


class DirectoryAsk(NamedTuple):
    """Ask a peer for what one lacks, of targets only when they are wanted."""

    routes_version: int
    targets_newest: int
    targets_wanted: bool


class RoutesPush(NamedTuple):
    """Pass a configuration on, whole, packed by zlib."""

    version: int
    packed: bytes


class TargetsPush(NamedTuple):
    """Pass on all changes after the revision `since`, up to the sender's `newest` one.

    After 0 those are all entries. A peer that lacks earlier changes takes these, and asks for the
    rest when it hears how far others are.
    """

    since: int
    newest: int
    entries: list[TargetEntry]
    gone: list[EntryGone]


DIRECTORY_MESSAGES = (DirectoryBeacon, DirectoryAsk, RoutesPush, TargetsPush)
