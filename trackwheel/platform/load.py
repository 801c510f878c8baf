"""The load that targets tell with their answers, read and checked."""

from typing import Final

from trackwheel.relay.models import Load
from trackwheel.telemetry.events import EventLog

LEAST_FIGURES: Final = 3
"""Requests running, requests waiting, and slots; later figures came with later targets."""
USUAL_SLOWNESS: Final = 100
"""What the fourth figure is where work takes as long as usual."""
SHOWN_BYTES: Final = 60


class LoadReader:
    """Read told loads; the first one that cannot be read is logged, and all are counted."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self.unreadable = 0

    def read(self, value: bytes | None) -> Load | None:
        """Return a told load, None when there is none or when it cannot be read."""
        if value is None:
            return None
        figures = value.split(b",")
        if len(figures) < LEAST_FIGURES or not all(f.strip().isdigit() for f in figures):
            self._note_unreadable(value)
            return None
        running, waiting, slots, *more = (int(figure) for figure in figures)
        return Load(running, waiting, slots, more[0] / USUAL_SLOWNESS if more else 1.0)

    def _note_unreadable(self, value: bytes) -> None:
        self.unreadable += 1
        if self.unreadable == 1:
            self._log.write("load_unreadable", value=value[:SHOWN_BYTES].decode("latin-1"))
