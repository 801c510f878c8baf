"""Messages, commands and interfaces of the quarantine."""

from typing import NamedTuple, Protocol

from returns.result import Result

from trackwheel.errors import TrackwheelError
from trackwheel.relay.models import Incarnation


class RequestCrashes(NamedTuple):
    """Targets that crashed under one request at the sender."""

    fingerprint: bytes
    incarnations: list[Incarnation]


class CrashReport(NamedTuple):
    """Report crashes of targets under requests that nothing has answered at the sender."""

    rows: list[RequestCrashes]


class RequestsAnswered(NamedTuple):
    """Announce requests that targets have answered, and that therefore crash none."""

    fingerprints: list[bytes]


class HeldRequest(NamedTuple):
    """A held request and the time until its release (milliseconds)."""

    fingerprint: bytes
    left_ms: float


class RequestsHeld(NamedTuple):
    """Announce the held requests."""

    rows: list[HeldRequest]


QUARANTINE_MESSAGES = (CrashReport, RequestsAnswered, RequestsHeld)

Message = CrashReport | RequestsAnswered | RequestsHeld


class EventWriter(Protocol):
    """Log of decisions for operators."""

    def write(self, kind: str, **fields: str | int | float | bool | None) -> None:
        """Write one event."""


class HeldStore(Protocol):
    """Persistent store of held requests, which survives a restart of all boxes."""

    @property
    def era(self) -> int:
        """Return a counter that increases whenever recent writes may have been lost."""

    async def read(self) -> Result[list[HeldRequest], TrackwheelError]:
        """Return the stored requests; the result may be some seconds old."""

    async def put(self, held: HeldRequest) -> Result[None, TrackwheelError]:
        """Store a held request unless another box has; the entry expires with the hold."""

    async def delete(self, fingerprint: bytes) -> Result[None, TrackwheelError]:
        """Delete the entry of a request."""


class Broadcast(NamedTuple):
    """Command: send a message to every box."""

    message: Message


class HoldStarted(NamedTuple):
    """Command: log that a request is held, its crash count and the duration (seconds)."""

    fingerprint: bytes
    crash_count: int
    duration_s: float


class TrialStarted(NamedTuple):
    """Command: log that a request goes to a single target first, and its crash count."""

    fingerprint: bytes
    crash_count: int


class HoldCleared(NamedTuple):
    """Command: log that an answer has cleared a held request."""

    fingerprint: bytes


Command = Broadcast | HoldStarted | TrialStarted | HoldCleared
