"""Crowds of a group's callers that keep their bodies unfinished, at a box of the product itself."""

from pathlib import Path
from typing import Final

import httpx
import pytest

from standins.crowd import Crowd, CrowdForm
from standins.file_maker import ServiceShape
from standins.fleet import START_TIMEOUT_S, SmallFleet, wait_until
from tests.conftest import write_file

MEMORY_MB: Final = 200
MEMORY_BYTES: Final = MEMORY_MB * 1_000_000
SETTINGS: Final = f"[limits]\nmemory_mb = {MEMORY_MB}\n"
BODY_BYTES: Final = 250_000
"""Just within the limit on one body."""
QUIET_TIMEOUT_S: Final = 20.0
ATTEMPTS: Final = 5
KEY: Final = "clerks-key"
HEAD: Final = f"POST /v1/query HTTP/1.1\r\nHost: box\r\nAuthorization: Bearer {KEY}\r\n".encode()
CHUNK: Final = b"%x\r\n%s\r\n" % (50_000, b" " * 50_000)
FORM_BY_NAME: Final = {
    "body-with-length": CrowdForm(
        1_500, HEAD + b"Content-Length: %d\r\n\r\n%s" % (BODY_BYTES, b" " * (BODY_BYTES - 1))
    ),
    "large-chunks": CrowdForm(1_500, HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNK * 5),
}


def memory_bytes(pid: int) -> int:
    status = Path(f"/proc/{pid}/status").read_text()
    (line,) = (line for line in status.splitlines() if line.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024


def is_answered(fleet: SmallFleet) -> bool:
    """Return whether a caller that repeats its query gets an answer."""
    for _ in range(ATTEMPTS):
        try:
            if fleet.query(fleet.boxes[0], KEY, "ledger").status_code == 200:
                return True
        except httpx.HTTPError:
            continue
    return False


@pytest.mark.parametrize("name", FORM_BY_NAME)
def test_crowd_of_callers_leaves_a_box_its_memory(tmp_path: Path, name: str) -> None:
    """Each body was within its limit, and all together took the memory of a box."""
    path = write_file(tmp_path, [ServiceShape("ledger", 2, 1)])
    with SmallFleet([("here", "here-a")], [path], fleet_settings=SETTINGS) as fleet:
        wait_until(lambda: fleet.apply(path)["outcome"] == "accepted", START_TIMEOUT_S, "the file")
        process = fleet.process_by_name[fleet.boxes[0].box_id]
        assert is_answered(fleet)
        with Crowd(fleet.boxes[0].callers, FORM_BY_NAME[name]) as crowd:
            crowd.wait_quiet(QUIET_TIMEOUT_S, lambda: memory_bytes(process.pid))
            assert is_answered(fleet), "no other caller is answered beside the crowd"
        assert is_answered(fleet), "no other caller is answered after the crowd"
        assert process.poll() is None
        assert memory_bytes(process.pid) <= MEMORY_BYTES
