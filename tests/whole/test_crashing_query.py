"""A query or an execution that crashes every target which runs it, sent to the callers' API.

Owners and gateways attributed a crash to its target only, so the query went on to other targets,
as in tests/whole/test_crashing_request.py.
"""

import time
from collections.abc import Callable, Iterator

import pytest

from standins.fleet import SmallFleet
from tests.whole.test_target_faults import SERVICE, target_addresses

SendToBox = Callable[[SmallFleet, int], int]
"""Send a request to a box, given by its number; return the status code."""
KEY = "clerks-key"
CRASHING_BODY = "ends-targets"
PROPAGATION_S = 1.5
"""Time in which every box learns of the query."""
MAX_RUNS_WHEN_HELD = 3


@pytest.fixture
def targets(fleet: SmallFleet) -> Iterator[list[str]]:
    """Provide the addresses of all targets, each of which crashes on the crashing body."""
    addresses = [address for replicas in target_addresses(fleet) for address in replicas]
    for address in addresses:
        fleet.control(address, ends_under=CRASHING_BODY)
    yield addresses
    for address in addresses:
        fleet.control(address, ends_under="")


def count_runs(fleet: SmallFleet, targets: list[str]) -> int:
    counts = [fleet.counts(address) for address in targets]
    return sum(count["queries"] + sum(count["runs_by_request_id"].values()) for count in counts)


def send_query(fleet: SmallFleet, box_number: int) -> int:
    return fleet.query(fleet.boxes[box_number], KEY, SERVICE, CRASHING_BODY).status_code


def send_execution(fleet: SmallFleet, box_number: int) -> int:
    """Execute the request with a new id, as a caller does that starts over."""
    box = fleet.boxes[box_number]
    (request_id,) = fleet.call(box, KEY, "/v1/ids", {"count": 1}).json()["ids"]
    body = {"service": SERVICE, "key": f"k{box_number}", "body": CRASHING_BODY, "id": request_id}
    return fleet.call(box, KEY, "/v1/execute", body).status_code


@pytest.mark.parametrize("send", [send_query, send_execution])
def test_request_that_crashed_three_targets_is_refused(
    fleet: SmallFleet, targets: list[str], send: SendToBox
) -> None:
    runs_before = count_runs(fleet, targets)
    for box_number in (0, 1, 2) * 5:
        if count_runs(fleet, targets) - runs_before >= 3:
            break
        send(fleet, box_number)
        # Failed targets are not used for a moment.
        time.sleep(0.4)
    assert count_runs(fleet, targets) - runs_before >= 3
    time.sleep(PROPAGATION_S)
    runs_before = count_runs(fleet, targets)
    statuses = [send(fleet, box_number) for box_number in (0, 1, 2, 0, 1, 2)]
    assert count_runs(fleet, targets) - runs_before <= MAX_RUNS_WHEN_HELD
    assert statuses == [503] * 6
    assert fleet.query(fleet.boxes[0], KEY, SERVICE, "ledger").status_code == 200
