"""Log messages never block a box."""

import os

from trackwheel.telemetry.logs import DroppingStream

LINE = "x" * 999 + "\n"


def test_slow_reader_drops_lines_and_does_not_block() -> None:
    """A box whose output nobody read used to block at its next log line."""
    reader, writer = os.pipe()
    stream = DroppingStream(writer)
    for _ in range(1000):
        stream.write(LINE)
    assert stream.dropped > 0
    assert os.read(reader, 1000).decode() == LINE
    os.close(reader)
    stream.write(LINE)
    os.close(writer)
