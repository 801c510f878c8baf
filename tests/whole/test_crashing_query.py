"""A query or an execution that ends each target which runs it, on the product's own path.

The same fault as in tests/whole/test_crashing_request.py, found by looking for its cause elsewhere:
owners and gateways booked the end of a target to the target alone, and the query went on.
"""

import time
from collections.abc import Callable, Iterator

import pytest

from standins.fleet import SmallFleet
from tests.whole.test_target_faults import SERVICE, targets_of

Send = Callable[[SmallFleet, int], int]
"""Send something to one of the boxes, by its number; return the status."""
KEY = "clerks-key"
ENDS = "ends-targets"
KNOWN_AFTER_S = 1.5
"""After so long every box knows the query."""
REPEATS_AFTER = 3


@pytest.fixture
def targets(fleet: SmallFleet) -> Iterator[list[str]]:
    """Give the addresses of all targets, each of which ends under some queries."""
    addresses = [address for replicas in targets_of(fleet) for address in replicas]
    for address in addresses:
        fleet.control(address, ends_under=ENDS)
    yield addresses
    for address in addresses:
        fleet.control(address, ends_under="")


def runs(fleet: SmallFleet, targets: list[str]) -> int:
    counts = [fleet.counts(address) for address in targets]
    return sum(one["queries"] + sum(one["runs_by_request_id"].values()) for one in counts)


def query(fleet: SmallFleet, number: int) -> int:
    return fleet.query(fleet.boxes[number], KEY, SERVICE, ENDS).status_code


def execute(fleet: SmallFleet, number: int) -> int:
    """Run a request once, with an id of its own as a caller has that begins anew."""
    box = fleet.boxes[number]
    (request_id,) = fleet.call(box, KEY, "/v1/ids", {"count": 1}).json()["ids"]
    body = {"service": SERVICE, "key": f"k{number}", "body": ENDS, "id": request_id}
    return fleet.call(box, KEY, "/v1/execute", body).status_code


@pytest.mark.parametrize("send", [query, execute])
def test_what_three_targets_ended_under_goes_to_no_more(
    fleet: SmallFleet, targets: list[str], send: Send
) -> None:
    before = runs(fleet, targets)
    for number in (0, 1, 2) * 5:
        if runs(fleet, targets) - before >= 3:
            break
        send(fleet, number)
        # Targets that failed are out of use for a moment.
        time.sleep(0.4)
    assert runs(fleet, targets) - before >= 3
    time.sleep(KNOWN_AFTER_S)
    before = runs(fleet, targets)
    statuses = [send(fleet, number) for number in (0, 1, 2, 0, 1, 2)]
    assert runs(fleet, targets) - before <= REPEATS_AFTER
    assert statuses == [503] * 6
    assert fleet.query(fleet.boxes[0], KEY, SERVICE, "ledger").status_code == 200
