"""Stopped boxes that still get new connections until their processes are gone."""

import signal
import time
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Final, NamedTuple

import httpx
import pytest

from standins.entry_fleet import EntryFleet, EntryPlace
from trackwheel.units import MILLISECONDS

GRACE_S: Final = 4.0
"""Grace time of a box of the fleet."""
TARGETS: Final = 8
"""Targets with two slots each, enough for all requests in flight."""
WORK_S: Final = 0.8
PERIOD_S: Final = 0.08
DEADLINE_MS: Final = 6000
SEND_FOR_S: Final = GRACE_S + 1.0
LAST_SURE_S: Final = 2.0
"""Requests sent this soon after the signal leave their targets twice the time of their work."""
CUT_OFF: Final = 0
NOT_CONNECTED: Final = -1
ROUTES: Final = [
    {
        "name": kind,
        "path_prefix": f"/{kind}/",
        "service": "lookup",
        "kind": kind,
        "timeout_ms": DEADLINE_MS,
        "target_latency_ms": 2000,
    }
    for kind in ("unsafe", "safe")
]


class Sent(NamedTuple):
    """A request, when it was sent after the signal, and its answer."""

    request_id: str
    after_s: float
    status: int
    retry_after: str
    took_s: float


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[EntryFleet]:
    """Run one box and targets that work so long that requests are in flight at the end."""
    with EntryFleet(["a"], tmp_path) as fleet:
        for number in range(TARGETS):
            fleet.add_target(f"lookup-{number}", "lookup").delay_s = WORK_S
        fleet.configure(ROUTES)
        fleet.start_all()
        yield fleet


def send(fleet: EntryFleet, box: EntryPlace, kind: str, number: int, stopped_at: float) -> Sent:
    """Send a request on a new connection."""
    request_id = f"{kind}-{number}"
    began = time.monotonic()
    status, retry_after = CUT_OFF, ""
    try:
        answer = fleet.ask(
            box,
            f"/{kind}/x",
            deadline_ms=DEADLINE_MS,
            headers={"X-Attempt-Id": request_id},
            content=b"promise",
        )
        status, retry_after = answer.status_code, answer.headers.get("retry-after", "")
    except httpx.ConnectError:
        status = NOT_CONNECTED
    except httpx.HTTPError:
        pass
    took_s = time.monotonic() - began
    return Sent(request_id, began - stopped_at, status, retry_after, took_s)


@pytest.mark.parametrize("kind", ["unsafe", "safe"])
def test_request_at_a_stopping_box_is_answered_though_its_process_ends(
    fleet: EntryFleet, kind: str
) -> None:
    """Requests that arrived late in the grace time were sent to targets and then cut off."""
    (box,) = fleet.boxes
    for number in range(3):
        assert send(fleet, box, kind, -number, 0.0).status == 200
    fleet.signal(box, signal.SIGTERM)
    stopped_at = time.monotonic()
    with ThreadPoolExecutor(max_workers=64) as threads:
        sends: list[Future[Sent]] = []
        while time.monotonic() < stopped_at + SEND_FOR_S:
            sends.append(threads.submit(send, fleet, box, kind, len(sends), stopped_at))
            time.sleep(PERIOD_S)
        results = [pending.result() for pending in sends]
    assert fleet.wait_exit(box, 5.0) == 0
    runs = {run for target in fleet.target_by_instance.values() for run in target.runs}
    assert [sent for sent in results if sent.status == CUT_OFF and sent.request_id in runs] == []
    told_to_end = [
        run_at + int(headers["x-deadline-ms"]) / MILLISECONDS - stopped_at
        for target in fleet.target_by_instance.values()
        for run_at, headers in zip(target.run_times, target.headers_by_run, strict=True)
        if run_at > stopped_at
    ]
    # Targets are told to answer while the box can still pass it on.
    assert max(told_to_end) < GRACE_S
    # What fits into the time left is served.
    assert {sent.status for sent in results if sent.after_s < LAST_SURE_S} == {200}
    # What does not fit is refused at once, truthfully, with the time to come back.
    refused = [sent for sent in results if sent.status == 503]
    assert refused
    assert [sent for sent in refused if sent.request_id in runs] == []
    assert all(sent.took_s < WORK_S / 2 and float(sent.retry_after) > 0 for sent in refused)
    assert '"cause":"stopping"' in fleet.log(box)


def test_request_longer_than_the_grace_time_is_answered_at_its_end(fleet: EntryFleet) -> None:
    """A request that was in flight at the signal was cut off at the end of the grace time."""
    (box,) = fleet.boxes
    for target in fleet.target_by_instance.values():
        target.delay_s = GRACE_S * 2
    with ThreadPoolExecutor() as threads:
        pending = threads.submit(send, fleet, box, "unsafe", 0, 0.0)
        time.sleep(0.3)
        fleet.signal(box, signal.SIGTERM)
        sent = pending.result()
    assert sent.status == 502
    assert GRACE_S - 0.5 < sent.took_s < GRACE_S + 0.5
    assert fleet.wait_exit(box, 1.0) == 0
