"""Runs one case: its record, its exit status, and the end of everything it started."""

import asyncio
import json
import os
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from review.standins.boxes import CannotRunError

LIMIT_S = 110.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """Writes what was sent, answered and run, each with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def note(self, event: str, **fields: Any) -> None:
        """Write one event."""
        line = {"at": round(self.now(), 4), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()


Play = Callable[[Record, Path, bool], Awaitable[bool]]
"""Plays a case with its disruption or without it; returns whether the rule was broken."""


def run_case(script: str, play: Play) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(Path(script).parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note("begin", trouble=trouble)

    async def limited(folder: Path) -> bool:
        async with asyncio.timeout(LIMIT_S):
            return await play(record, folder, trouble)

    with tempfile.TemporaryDirectory() as folder:
        try:
            broken = asyncio.run(limited(Path(folder)))
        except (CannotRunError, OSError, TimeoutError) as error:
            record.note("could_not_run", reason=repr(error))
            print(f"could not run: {error!r}")
            sys.exit(COULD_NOT_RUN)
    record.note("end", broken=broken)
    sys.exit(BROKEN if broken else HELD)
