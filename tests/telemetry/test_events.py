"""Structured events: rate-limited, and never blocked by a slow reader."""

import json
import os
import time

from trackwheel.telemetry.events import BURST_LINES, MAX_BUFFERED_BYTES, EventLog


def read_bytes(descriptor: int) -> bytes:
    os.set_blocking(descriptor, False)
    data = b""
    try:
        while piece := os.read(descriptor, 65536):
            data += piece
    except BlockingIOError:
        pass
    return data


def read_all(descriptor: int) -> list[dict[str, object]]:
    return [json.loads(line) for line in read_bytes(descriptor).splitlines()]


def test_event_is_one_line_of_json() -> None:
    reader, writer = os.pipe()
    EventLog("box-1", writer).write("given_up", id="9c41", ran=True, reason="time is up")
    (line,) = read_all(reader)
    assert line.pop("at")
    assert line == {
        "box": "box-1",
        "event": "given_up",
        "id": "9c41",
        "ran": True,
        "reason": "time is up",
    }


def test_flood_of_one_kind_does_not_suppress_others() -> None:
    reader, writer = os.pipe()
    log = EventLog("box-1", writer)
    for number in range(1000):
        log.write("flood", number=number)
    log.write("rare")
    lines = read_all(reader)
    assert sum(line["event"] == "flood" for line in lines) <= BURST_LINES + 2
    assert lines[-1]["event"] == "rare"


def test_suppressed_lines_are_counted() -> None:
    reader, writer = os.pipe()
    log = EventLog("box-1", writer)
    for _ in range(100):
        log.write("flood")
    time.sleep(0.1)
    log.write("flood")
    assert read_all(reader)[-1]["left_out"] == 100 - BURST_LINES


def test_slow_reader_drops_lines_and_does_not_block() -> None:
    reader, writer = os.pipe()
    log = EventLog("box-1", writer)
    for number in range(2000):
        log.write(f"kind-{number}", text="x" * 500)
    assert log.dropped > 0
    # The last line in the pipe may be cut; its rest follows as soon as there is room.
    data = read_bytes(reader)
    for number in range(20):
        log.write(f"after-{number}")
        data += read_bytes(reader)
    kinds = [json.loads(line)["event"] for line in data.splitlines()]
    assert kinds[0] == "kind-0"
    assert kinds[-1] == "after-19"
    assert len(kinds) == 2020 - log.dropped
    assert MAX_BUFFERED_BYTES < 2000 * 500


def test_closed_reader_does_not_raise() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    log = EventLog("box-1", writer)
    log.write("one")
    assert log.dropped == 1
