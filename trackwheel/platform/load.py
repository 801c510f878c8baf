"""The load that targets tell with their answers, read and checked."""

from typing import Final

from trackwheel.relay.models import Load
from trackwheel.telemetry.events import EventLog

LEAST_FIGURES: Final = 3
"""Requests running, requests waiting, and slots; later figures came with later targets."""
USUAL_SLOWNESS: Final = 100
"""What the fourth figure is where work takes as long as usual."""
MOST_DIGITS: Final = 9
"""Longer figures are none that a target counts; Python refuses to read very long ones."""
SHOWN_BYTES: Final = 60
"""Bytes of an unreadable load that the log shows."""


class LoadReader:
    """Read told loads; the first one that cannot be read is logged, and all are counted."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self.unreadable = 0

    def read(self, value: bytes | None) -> Load | None:
        """Return a told load, None when there is none or when it cannot be read."""
        if value is None:
            return None
        figures = [read_number(figure.strip()) for figure in value.split(b",")]
        numbers = [figure for figure in figures if figure is not None]
        if len(numbers) < max(LEAST_FIGURES, len(figures)):
            self._note_unreadable(value)
            return None
        running, waiting, slots, *more = numbers
        return Load(running, waiting, slots, more[0] / USUAL_SLOWNESS if more else 1.0)

    def _note_unreadable(self, value: bytes) -> None:
        self.unreadable += 1
        if self.unreadable == 1:
            self._log.write("load_unreadable", value=value[:SHOWN_BYTES].decode("latin-1"))


def read_number(text: bytes) -> int | None:
    """Return a whole number of a header, None for anything else."""
    return int(text) if text.isdigit() and len(text) <= MOST_DIGITS else None
