"""Entries of the directory, its source and the messages between boxes."""

from typing import NamedTuple, Protocol

from returns.result import Result

from trackwheel.errors import TrackwheelError
from trackwheel.routing.models import RouteTable


class TargetEntry(NamedTuple):
    """One target as it describes itself; `cold_s` is how long it is still slow (seconds).

    `born_ms` is when it started (Unix milliseconds): one that starts again under its id is another
    one, that holds and knows nothing of before. `sequence` rises with each time that it writes its
    entry.
    """

    instance: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    warmup_left_s: float
    revision: int
    born_ms: int = 0
    sequence: int = 0


class EntryRemoved(NamedTuple):
    """Say that the entry of a target is gone since a revision.

    `may_return_s` is how long an entry that lapsed while the store was away may still come back
    (seconds from when this is sent). `born_ms` and `sequence` are those of the last entry that is
    known, where there is one.
    """

    instance: str
    revision: int
    may_return_s: float = 0.0
    born_ms: int = 0
    sequence: int = -1


class Evacuation(NamedTuple):
    """Say whether the targets of a failure domain get nothing more, by the change of a revision."""

    failure_domain: str
    asked: bool
    revision: int


class OperatorStateRead(NamedTuple):
    """Bring what the operator has written: a configuration, None when none is new, evacuations.

    With `whole`, all evacuations are listed that are asked for; otherwise those that changed.
    `more` says that further changes wait already.
    """

    table: RouteTable | None
    content: bytes
    as_of: int
    more: bool = False
    evacuations: tuple[Evacuation, ...] = ()
    whole: bool = False


class TargetsRead(NamedTuple):
    """Bring all entries (`since` is None) or the changes after a revision.

    `more` says that further changes wait already.
    """

    since: int | None
    entries: list[TargetEntry]
    removed: list[EntryRemoved]
    as_of: int
    more: bool = False


class HistoryGoneError(TrackwheelError):
    """Say that the source no longer has the changes after a revision."""


class DirectorySource(Protocol):
    """Read the platform's store; a failure says nothing about what is in force.

    With `copy`, what is read may be seconds old, and parts of it of different ages.
    """

    async def read_operator_state(
        self, copy: bool = False
    ) -> Result[OperatorStateRead, TrackwheelError]:
        """Return the configuration and the evacuations as they stand."""

    async def watch_operator_state(
        self, after: int, wait_s: float
    ) -> Result[OperatorStateRead, TrackwheelError]:
        """Return what changes of them after a revision, or nothing after a while."""

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
    peer whom it answers and with whom the sender has caught up, or empty. All words on evacuations
    are in it: there are a few, mostly none, and a push of them that was lost heals so.
    `targets_digest` differs where two boxes at one revision hold other targets. `heard_ago_s` is
    how long ago that peer was heard (seconds).
    """

    routes_version: int
    targets_revision: int
    synced_via: str
    evacuations: list[Evacuation] = []
    targets_digest: int = 0
    synced_ago_s: float = 0.0


class DirectoryAsk(NamedTuple):
    """Ask a peer for what one lacks, of targets only when they are wanted."""

    routes_version: int
    targets_revision: int
    targets_wanted: bool


class RoutesPush(NamedTuple):
    """Pass a configuration on, whole, packed by zlib."""

    version: int
    packed: bytes


class EvacuationsPush(NamedTuple):
    """Pass on the newest word on each failure domain that was ever evacuated."""

    evacuations: list[Evacuation]


class TargetsPush(NamedTuple):
    """Pass on all changes after the revision `since`, up to the sender's `newest` one.

    After 0 those are all entries: what is not among them and not newer is gone, unless the store
    was away lately and it comes back within `may_return_s` (seconds from when this is sent). A
    peer that lacks earlier changes takes these, and asks for the rest when it hears how far others
    are.
    """

    since: int
    newest: int
    entries: list[TargetEntry]
    removed: list[EntryRemoved]
    may_return_s: float = 0.0


DIRECTORY_MESSAGES = (DirectoryBeacon, DirectoryAsk, RoutesPush, EvacuationsPush, TargetsPush)
