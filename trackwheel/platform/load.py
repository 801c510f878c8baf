"""Parsing of the load header that targets send with their answers."""

from typing import Final

from trackwheel.relay.models import Load
from trackwheel.telemetry.events import EventLog

MIN_FIELDS: Final = 3
"""Running requests, waiting requests and slots; newer targets append further fields."""
NORMAL_SLOWNESS_PERCENT: Final = 100
"""Value of the fourth field when requests take their usual time (percent)."""
MAX_DIGITS: Final = 9
"""No target counts this far, and Python refuses to convert very long numbers."""
MAX_LOGGED_BYTES: Final = 60
"""Bytes of an unreadable load that are logged."""


class LoadReader:
    """Parse load headers; count the unreadable ones and log the first of them."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self.unreadable = 0

    def read(self, value: bytes | None) -> Load | None:
        """Return the load, or None if the header is missing or unreadable."""
        if value is None:
            return None
        fields = [parse_number(field.strip()) for field in value.split(b",")]
        numbers = [field for field in fields if field is not None]
        if len(numbers) < max(MIN_FIELDS, len(fields)):
            self._record_unreadable(value)
            return None
        running, waiting, slots, *more = numbers
        return Load(running, waiting, slots, more[0] / NORMAL_SLOWNESS_PERCENT if more else 1.0)

    def _record_unreadable(self, value: bytes) -> None:
        self.unreadable += 1
        if self.unreadable == 1:
            self._log.write("load_unreadable", value=value[:MAX_LOGGED_BYTES].decode("latin-1"))


def parse_number(text: bytes) -> int | None:
    """Return the whole number in a header, or None for anything else."""
    return int(text) if text.isdigit() and len(text) <= MAX_DIGITS else None
