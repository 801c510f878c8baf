"""A store restored from a copy some seconds old, with boxes as separate processes.

Later writes are lost and their revisions are assigned again. Boxes keep what they know until the
operator and the targets have written again; new writes then count, whatever their revision.
"""

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.entry_fleet import EntryFleet
from standins.fleet import wait_until
from tests.whole.test_entry import LOOKUP, QUERY, run_fleet

PROPAGATION_S = 1.5
"""Time in which every box learns of a write, and of the restored store."""
REQUESTS_PER_BOX = 8
NEW_ROUTE = {**LOOKUP, "name": "n", "path_prefix": "/new/"}


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[EntryFleet]:
    """Run a fleet with four targets of one service."""
    with run_fleet(tmp_path) as fleet:
        for name in ("lookup-third", "lookup-fourth"):
            fleet.add_target(name, "lookup", "a")
        time.sleep(1.0)
        yield fleet


def find_targets_used(fleet: EntryFleet) -> set[str]:
    """Send requests to every box and return the instances that ran any."""
    for target in fleet.target_by_instance.values():
        target.runs.clear()
    for box in fleet.boxes:
        for number in range(REQUESTS_PER_BOX):
            path = "/new/x" if number % 2 else "/l/x"
            assert fleet.ask(box, path).status_code == 200
    return {name for name, target in fleet.target_by_instance.items() if target.runs}


def test_lost_changes_hold_until_they_are_rewritten_and_new_writes_count(
    fleet: EntryFleet,
) -> None:
    older_copy = fleet.copy_store()
    fleet.write_entry("lookup-east", "draining")
    fleet.evacuate("b")
    fleet.remove("servers/lookup-third")
    fleet.configure([QUERY, LOOKUP, NEW_ROUTE])
    time.sleep(PROPAGATION_S + 1.5)
    assert find_targets_used(fleet) == {"lookup-fourth"}
    latest_revision = fleet.store.revision

    fleet.set_store_back(older_copy)
    wait_until(lambda: find_targets_used(fleet) == {"lookup-fourth"}, 1.0, "the same targets")
    time.sleep(PROPAGATION_S)
    assert find_targets_used(fleet) == {"lookup-fourth"}

    # With revisions assigned before the restore: the third target returns, the fourth leaves.
    fleet.write_entry("lookup-third", "ready")
    fleet.write_entry("lookup-fourth", "draining")
    assert fleet.store.revision <= latest_revision
    time.sleep(PROPAGATION_S)
    assert find_targets_used(fleet) == {"lookup-third"}

    fleet.write_entry("lookup-east", "draining")
    fleet.evacuate("b")
    fleet.evacuate("b", asked=False)
    fleet.configure([QUERY, LOOKUP, NEW_ROUTE])
    time.sleep(PROPAGATION_S)
    assert find_targets_used(fleet) == {"lookup-third", "lookup-west"}
