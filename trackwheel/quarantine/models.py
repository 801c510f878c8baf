"""What boxes tell each other of requests under which targets ended, and what is decided."""

from typing import NamedTuple, Protocol

from returns.result import Result

from trackwheel.errors import TrackwheelError
from trackwheel.relay.models import Life


class EndsUnder(NamedTuple):
    """Name the targets that ended under a request at the sender."""

    fingerprint: bytes
    lives: list[Life]


class CrashReport(NamedTuple):
    """Tell under which requests targets ended, none of which was answered at the sender."""

    rows: list[EndsUnder]


class RequestsAnswered(NamedTuple):
    """Tell that targets have answered requests, which therefore end none."""

    fingerprints: list[bytes]


class HeldRequest(NamedTuple):
    """Say how much longer a request is held (milliseconds)."""

    fingerprint: bytes
    left_ms: float


class RequestsHeld(NamedTuple):
    """Tell which requests are held."""

    rows: list[HeldRequest]


QUARANTINE_MESSAGES = (CrashReport, RequestsAnswered, RequestsHeld)

Message = CrashReport | RequestsAnswered | RequestsHeld


class EventWriter(Protocol):
    """Write what is decided for operators."""

    def write(self, kind: str, **fields: str | int | float | bool | None) -> None:
        """Write one event."""


class HeldStore(Protocol):
    """Keep held requests where they outlast all boxes."""

    @property
    def era(self) -> int:
        """Return a number that rises each time that what was written lately may be lost."""

    async def read(self) -> Result[list[HeldRequest], TrackwheelError]:
        """Return the requests that are held, as they stood some seconds ago."""

    async def put(self, held: HeldRequest) -> Result[None, TrackwheelError]:
        """Write that a request is held, unless another box has; it is forgotten in time."""

    async def delete(self, fingerprint: bytes) -> Result[None, TrackwheelError]:
        """Remove what is written of a request."""


class TellAll(NamedTuple):
    """Command: tell every box."""

    message: Message


class Held(NamedTuple):
    """Command: write down that a request is held, after how many ends, for how long (seconds)."""

    fingerprint: bytes
    ends: int
    for_s: float


class OnTrial(NamedTuple):
    """Command: write down that a request goes to one target first, after so many ends."""

    fingerprint: bytes
    ends: int


class Cleared(NamedTuple):
    """Command: write down that a request that was held goes to targets again."""

    fingerprint: bytes


Command = TellAll | Held | OnTrial | Cleared
