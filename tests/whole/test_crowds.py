"""Crowds of clients that keep requests unfinished or leave answers unread, at a real box.

Each of them took more memory than the machine of the box has, or left no ordinary client an answer.
"""

import resource
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Final

import httpx
import pytest

from standins.crowd import Crowd, CrowdForm
from standins.entry_fleet import HOST, EntryFleet, EntryPlace

MEMORY_MB: Final = 100
MEMORY_BYTES: Final = MEMORY_MB * 1_000_000
"""Memory of the machine: of the process, and of what it has received and not read."""
MAX_FDS: Final = 500
FILE_FDS: Final = 200
"""Descriptors of a process that the platform sets aside for files."""
MOST_OPEN: Final = (MAX_FDS - FILE_FDS) * 9 // 10
"""A tenth of the sockets stays free for targets, peers, the store and readiness."""
BODY_BYTES: Final = 262_144
"""The largest body that the configuration of the fleet allows."""
HEAD_BYTES: Final = 16_000
"""Of a head just within what the configuration allows."""
LARGE_ANSWER: Final = bytes(6_000_000)
ANSWER: Final = bytes(100_000)
QUIET_TIMEOUT_S: Final = 40.0
ATTEMPTS: Final = 5
"""An ordinary client repeats a request that was refused or not answered."""

LOOKUP: Final = {"name": "l", "path_prefix": "/l/", "service": "lookup"}
SLOW: Final = {"name": "s", "path_prefix": "/s/", "service": "slow", "timeout_ms": 60_000}
LARGE: Final = {"name": "g", "path_prefix": "/g/", "service": "large", "timeout_ms": 60_000}
MIDDLE: Final = {"name": "m", "path_prefix": "/m/", "service": "middle", "timeout_ms": 60_000}


def head(method: str, path: str, *headers: str) -> bytes:
    """Return a request's head."""
    lines = (f"{method} {path} HTTP/1.1", f"Host: {HOST}", "X-Attempt-Id: 00000000000000c1")
    return "\r\n".join((*lines, "X-Deadline-Ms: 60000", *headers, "", "")).encode()


CHUNKED: Final = head("POST", "/l/x", "Transfer-Encoding: chunked")


def in_chunks(size: int) -> bytes:
    """Return a chunked request that lacks its last content byte and its end."""
    chunk = b"%x\r\n%s\r\n" % (size, b"c" * size)
    return CHUNKED + chunk * (BODY_BYTES // size - 1) + b"%x\r\n%s" % (size, b"c" * (size - 1))


def with_length(path: str, missing: int = 0) -> bytes:
    """Return a request with the largest body, which may lack some bytes at its end."""
    return head("POST", path, f"Content-Length: {BODY_BYTES}") + b"b" * (BODY_BYTES - missing)


FORM_BY_NAME: Final = {
    "chunks-of-two-bytes": CrowdForm(30, in_chunks(2)),
    "chunks-of-one-byte": CrowdForm(80, in_chunks(1)),
    "large-chunks": CrowdForm(500, in_chunks(65_536)),
    "body-with-length": CrowdForm(500, with_length("/l/x", missing=1)),
    "short-header-lines": CrowdForm(300, head("GET", "/l/x")[:-2] + b"a:\r\n" * (HEAD_BYTES // 4)),
    "trailer-without-end": CrowdForm(30, CHUNKED + b"1\r\nc\r\n0\r\nX-Filler: " + b"v" * 4_000_000),
    "bodies-behind-a-request": CrowdForm(40, with_length("/s/x"), repeats=16),
    "bodies-at-a-slow-target": CrowdForm(500, with_length("/s/x")),
    "large-answers-unread": CrowdForm(40, head("GET", "/g/x")),
    "large-answers-read-slowly": CrowdForm(40, head("GET", "/g/x"), reads_slowly=True),
    "many-answers-unread": CrowdForm(10, head("GET", "/m/x"), repeats=400),
}


@contextmanager
def run_box(folder: Path, max_fds: int) -> Iterator[tuple[EntryFleet, EntryPlace]]:
    """Run one box, and targets that answer at once, late, at length and at moderate length."""
    settings = f"limits.memory_mb={MEMORY_MB}\nlimits.max_fds={max_fds}\n"
    with EntryFleet(["a"], folder, settings) as fleet:
        fleet.add_target("lookup", "lookup")
        fleet.add_target("slow", "slow").delay_s = 50.0
        fleet.add_target("large", "large").filler = LARGE_ANSWER
        fleet.add_target("middle", "middle").filler = ANSWER
        fleet.configure([LOOKUP, SLOW, LARGE, MIDDLE])
        fleet.start_all()
        place = fleet.boxes[0]
        assert is_answered(fleet, place)
        yield fleet, place


def is_answered(fleet: EntryFleet, place: EntryPlace) -> bool:
    """Return whether an ordinary client, which repeats its request, gets an answer."""
    for _ in range(ATTEMPTS):
        try:
            if fleet.ask(place, "/l/x").status_code == 200:
                return True
        except httpx.HTTPError:
            continue
    return False


def unread_bytes(address: str) -> int:
    """Return the bytes that have arrived at connections of a listening address unread."""
    port = f"{int(address.rpartition(':')[2]):04X}"
    lines = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    established = [fields for fields in lines if fields[1].endswith(f":{port}")]
    return sum(int(fields[4].partition(":")[2], 16) for fields in established if fields[3] != "0A")


def play(fleet: EntryFleet, place: EntryPlace, address: str, form: CrowdForm) -> tuple[int, int]:
    """Let a crowd come and leave; return the most bytes held and descriptors open meanwhile."""
    held, opened = [0], [0]

    def look() -> int:
        assert fleet.runs(place)
        held.append(fleet.peak_memory_bytes(place) + unread_bytes(address))
        opened.append(fleet.open_descriptors(place))
        return held[-1]

    with Crowd(address, form) as crowd:
        crowd.wait_quiet(QUIET_TIMEOUT_S, look)
        assert is_answered(fleet, place), "no ordinary client is answered beside the crowd"
        assert fleet.ready(place)
        look()
    assert is_answered(fleet, place), "no ordinary client is answered after the crowd"
    look()
    return max(held), max(opened)


@pytest.mark.parametrize("name", FORM_BY_NAME)
def test_crowd_leaves_a_box_its_memory_and_others_their_answers(tmp_path: Path, name: str) -> None:
    """Such clients took all memory of a box, or all of its time, and its process was ended."""
    with run_box(tmp_path, 4_100) as (fleet, place):
        held, _ = play(fleet, place, place.front, FORM_BY_NAME[name])
    assert held <= MEMORY_BYTES


def test_crowd_at_the_readiness_address_leaves_a_box_its_memory(tmp_path: Path) -> None:
    """The servers of readiness and of clients bounded requests one by one, not together."""
    with run_box(tmp_path, 4_100) as (fleet, place):
        held, _ = play(fleet, place, place.readiness, FORM_BY_NAME["chunks-of-two-bytes"])
    assert held <= MEMORY_BYTES


def test_idle_crowd_leaves_a_box_descriptors_for_its_own_work(tmp_path: Path) -> None:
    """Idle clients took all descriptors: none was left for targets, the store and readiness."""
    with run_box(tmp_path, MAX_FDS) as (fleet, place):
        resource.prlimit(fleet.pid(place), resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))
        held, opened = play(fleet, place, place.front, CrowdForm(MAX_FDS + 100, b""))
    assert held <= MEMORY_BYTES
    assert opened <= MOST_OPEN
