"""Entries of the directory, the interface of its source and the messages between boxes."""

from typing import NamedTuple, Protocol

from returns.result import Result

from trackwheel.errors import TrackwheelError
from trackwheel.routing.models import RouteTable


class TargetEntry(NamedTuple):
    """One target as it describes itself; `warmup_left_s` is the rest of its warm-up (seconds).

    `born_ms` is the start time (Unix milliseconds): a target that restarts under its id is a
    different one, without the data and the state of the earlier one. `sequence` rises with each
    write of the entry.
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
    """The entry of a target was removed at a revision.

    `may_return_s` is how long an entry that expired while the store was unavailable may still be
    written again (seconds from when this is sent). `born_ms` and `sequence` are those of the last
    known entry, where there is one.
    """

    instance: str
    revision: int
    may_return_s: float = 0.0
    born_ms: int = 0
    sequence: int = -1


class Evacuation(NamedTuple):
    """Whether the targets of a failure domain get no new work, as of a revision."""

    failure_domain: str
    active: bool
    revision: int


class OperatorStateRead(NamedTuple):
    """What the operator has written: a configuration (None if none is new) and evacuations.

    With `complete`, all active evacuations are listed; otherwise those that changed. `more` says
    that further changes are already available.
    """

    table: RouteTable | None
    content: bytes
    as_of: int
    more: bool = False
    evacuations: tuple[Evacuation, ...] = ()
    complete: bool = False


class TargetsRead(NamedTuple):
    """All entries (`since` is None) or the changes after a revision.

    `more` says that further changes are already available.
    """

    since: int | None
    entries: list[TargetEntry]
    removed: list[EntryRemoved]
    as_of: int
    more: bool = False


class HistoryGoneError(TrackwheelError):
    """The source no longer has the changes after a revision."""


class DirectorySource(Protocol):
    """Read the platform's store; a failure leaves in force what is in force.

    With `copy`, the result may be some seconds old, and parts of it of different ages.
    """

    async def read_operator_state(
        self, copy: bool = False
    ) -> Result[OperatorStateRead, TrackwheelError]:
        """Return the current configuration and evacuations."""

    async def watch_operator_state(
        self, after: int, wait_s: float
    ) -> Result[OperatorStateRead, TrackwheelError]:
        """Return their changes after a revision; none when the wait ends first."""

    async def read_targets(self, copy: bool = False) -> Result[TargetsRead, TrackwheelError]:
        """Return all entries of targets."""

    async def watch_targets(
        self, after: int, wait_s: float
    ) -> Result[TargetsRead, TrackwheelError]:
        """Return the changes of targets after a revision; none when the wait ends first."""

    def decode_routes(self, content: bytes) -> Result[RouteTable, TrackwheelError]:
        """Decode a configuration."""


class DirectoryBeacon(NamedTuple):
    """The state of a box that watches the store, and the box through which it is in sync.

    `targets_revision` is the revision of the newest change of a target; the counter of the store
    also rises without one. `synced_via` is the address of the sender while the store answers it,
    that of a peer which the store answers and with which the sender has caught up, or empty. All
    evacuations are included: there are few, mostly none, and a lost push of them is made up for.
    `targets_digest` differs where two boxes at one revision hold different targets. `synced_ago_s`
    is how long ago the beacon of that peer arrived (seconds), `targets_age_s` for how long changes
    of targets may be unknown to the sender (seconds).
    """

    routes_version: int
    targets_revision: int
    synced_via: str
    evacuations: list[Evacuation] = []
    targets_digest: int = 0
    synced_ago_s: float = 0.0
    targets_age_s: float = 0.0


class DirectoryAsk(NamedTuple):
    """Ask a peer for what this box lacks; for targets only if they are wanted."""

    routes_version: int
    targets_revision: int
    targets_wanted: bool


class RoutesPush(NamedTuple):
    """Pass on a complete configuration, compressed with zlib."""

    version: int
    compressed: bytes


class EvacuationsPush(NamedTuple):
    """Pass on the latest state of each failure domain that was ever evacuated."""

    evacuations: list[Evacuation]


class TargetsPush(NamedTuple):
    """Pass on all changes after the revision `since`, up to `known_revision` of the sender.

    With `since` 0 these are all entries: an entry that is not listed and not newer was removed,
    unless the store was unavailable lately and the entry is written again within `may_return_s`
    (seconds from when this is sent). A peer that lacks earlier changes applies these, and asks for
    the rest when a beacon shows a newer revision.
    """

    since: int
    known_revision: int
    entries: list[TargetEntry]
    removed: list[EntryRemoved]
    may_return_s: float = 0.0


DIRECTORY_MESSAGES = (DirectoryBeacon, DirectoryAsk, RoutesPush, EvacuationsPush, TargetsPush)
