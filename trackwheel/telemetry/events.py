"""Structured events: one JSON line each on standard output, rate-limited and non-blocking."""

import os
import sys
from typing import Final

import msgspec

from trackwheel.clock import steady_now

LINES_PER_KIND_S: Final = 20.0
"""Lines of one kind written per second; further ones are only counted."""
BURST_LINES: Final = 40.0
"""Lines of one kind that may be written at once."""
MAX_BUFFERED_BYTES: Final = 256 * 1024
"""Bytes buffered for a slow reader; beyond that, lines are dropped and counted."""

Field = str | int | float | bool | None


class _TokenBucket:
    """Limit the rate of lines of one kind."""

    def __init__(self, now: float) -> None:
        self._tokens = BURST_LINES
        self._refilled_at = now
        self.suppressed = 0

    def take(self, now: float) -> bool:
        self._tokens = min(BURST_LINES, self._tokens + (now - self._refilled_at) * LINES_PER_KIND_S)
        self._refilled_at = now
        if self._tokens < 1.0:
            self.suppressed += 1
            return False
        self._tokens -= 1.0
        return True


class EventLog:
    """Write events of one box."""

    def __init__(self, box_id: str, descriptor: int | None = None) -> None:
        self._box_id = box_id
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._bucket_by_kind: dict[str, _TokenBucket] = {}
        self._buffer = bytearray()
        self._encoder = msgspec.json.Encoder()
        self.dropped = 0
        os.set_blocking(self._descriptor, False)

    def write(self, kind: str, **fields: Field) -> None:
        """Write one event unless its kind exceeds its rate limit."""
        now = steady_now()
        bucket = self._bucket_by_kind.get(kind)
        if bucket is None:
            bucket = self._bucket_by_kind[kind] = _TokenBucket(now)
        if not bucket.take(now):
            return
        line: dict[str, Field] = {"at": round(now, 4), "box": self._box_id, "event": kind}
        line.update(fields)
        if bucket.suppressed:
            line["left_out"], bucket.suppressed = bucket.suppressed, 0
        self._write_line(self._encoder.encode(line) + b"\n")

    def _write_line(self, line: bytes) -> None:
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._buffer += line
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            # The reader is slow; the next event writes the buffered bytes.
            return
        except OSError:
            # The reading end is closed.
            self.dropped += 1
            written = len(self._buffer)
        del self._buffer[:written]
