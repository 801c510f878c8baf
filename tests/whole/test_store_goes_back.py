"""A store that comes back from a copy some seconds old, with boxes as separate processes.

What was written since is gone, and revisions are given out again. Until the operator and the
targets have written again, boxes keep to what they know; what is written then counts, whatever its
revision.
"""

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.entry_fleet import EntryFleet
from standins.fleet import wait_until
from tests.whole.test_entry import LOOKUP, QUERY, run_fleet

KNOWN_AFTER_S = 1.5
"""After so long every box knows what was written, and that the store has come back."""
REQUESTS = 8
NEW = {**LOOKUP, "name": "n", "path_prefix": "/new/"}


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[EntryFleet]:
    """Run a fleet with four targets of one service."""
    with run_fleet(tmp_path) as fleet:
        for name in ("lookup-third", "lookup-fourth"):
            fleet.add_target(name, "lookup", "a")
        time.sleep(1.0)
        yield fleet


def asked(fleet: EntryFleet) -> set[str]:
    """Send requests at every box; return which targets have run any."""
    for target in fleet.target_by_instance.values():
        target.runs.clear()
    for place in fleet.boxes:
        for number in range(REQUESTS):
            path = "/new/x" if number % 2 else "/l/x"
            assert fleet.ask(place, path).status_code == 200
    return {name for name, target in fleet.target_by_instance.items() if target.runs}


def test_what_was_known_holds_until_it_is_written_again_and_what_is_written_counts(
    fleet: EntryFleet,
) -> None:
    earlier = fleet.copy_store()
    fleet.write_entry("lookup-east", "draining")
    fleet.evacuate("b")
    fleet.remove("servers/lookup-third")
    fleet.configure([QUERY, LOOKUP, NEW])
    time.sleep(KNOWN_AFTER_S + 1.5)
    assert asked(fleet) == {"lookup-fourth"}
    known = fleet.store.revision

    fleet.set_store_back(earlier)
    wait_until(lambda: asked(fleet) == {"lookup-fourth"}, 1.0, "the same targets")
    time.sleep(KNOWN_AFTER_S)
    assert asked(fleet) == {"lookup-fourth"}

    # Under revisions that were given before: the third is there again, the fourth leaves.
    fleet.write_entry("lookup-third", "ready")
    fleet.write_entry("lookup-fourth", "draining")
    assert fleet.store.revision <= known
    time.sleep(KNOWN_AFTER_S)
    assert asked(fleet) == {"lookup-third"}

    fleet.write_entry("lookup-east", "draining")
    fleet.evacuate("b")
    fleet.evacuate("b", asked=False)
    fleet.configure([QUERY, LOOKUP, NEW])
    time.sleep(KNOWN_AFTER_S)
    assert asked(fleet) == {"lookup-third", "lookup-west"}
