"""Structured events: one JSON line each to standard output, bounded and never blocking."""

import os
import sys
from typing import Final

import msgspec

from trackwheel.clock import steady_now

LINES_PER_KIND_S: Final = 20.0
"""Lines of one kind that are written each second; more are counted, not written."""
BURST_LINES: Final = 40.0
"""Lines of one kind that may come at once."""
MAX_WAITING_BYTES: Final = 256 * 1024
"""Bytes that wait for a slow reader; beyond them lines are dropped and counted."""

Field = str | int | float | bool | None


class _Allowance:
    """Let so many lines of one kind pass."""

    def __init__(self, now: float) -> None:
        self._tokens = BURST_LINES
        self._at = now
        self.left_out = 0

    def take(self, now: float) -> bool:
        self._tokens = min(BURST_LINES, self._tokens + (now - self._at) * LINES_PER_KIND_S)
        self._at = now
        if self._tokens < 1.0:
            self.left_out += 1
            return False
        self._tokens -= 1.0
        return True


class EventLog:
    """Write events of one box."""

    def __init__(self, box_id: str, descriptor: int | None = None) -> None:
        self._box_id = box_id
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._allowance_by_kind: dict[str, _Allowance] = {}
        self._waiting = bytearray()
        self._encoder = msgspec.json.Encoder()
        self.dropped = 0
        os.set_blocking(self._descriptor, False)

    def write(self, kind: str, **fields: Field) -> None:
        """Write one event unless its kind has had its share of lines."""
        now = steady_now()
        allowance = self._allowance_by_kind.get(kind)
        if allowance is None:
            allowance = self._allowance_by_kind[kind] = _Allowance(now)
        if not allowance.take(now):
            return
        line: dict[str, Field] = {"at": round(now, 4), "box": self._box_id, "event": kind}
        line.update(fields)
        if allowance.left_out:
            line["left_out"], allowance.left_out = allowance.left_out, 0
        self._put(self._encoder.encode(line) + b"\n")

    def _put(self, line: bytes) -> None:
        if len(self._waiting) + len(line) > MAX_WAITING_BYTES:
            self.dropped += 1
            return
        self._waiting += line
        try:
            written = os.write(self._descriptor, self._waiting)
        except BlockingIOError:
            # The reader is slow; the bytes wait for the next event.
            return
        except OSError:
            # Nobody reads any more.
            self.dropped += 1
            written = len(self._waiting)
        del self._waiting[:written]
