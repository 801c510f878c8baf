"""Requests at a target that had said it leaves, at boxes as separate processes.

What was seen: two requests reached a target 49 and 53 ms after the time in which a leaving target
may still get work; it had said so five seconds before, as had 270 targets at the same moment, and
its siblings got nothing.
"""

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.entry_fleet import EntryFleet
from standins.fleet import wait_until
from tests.whole.test_entry import run_fleet

DRAIN_S = 3.0
"""So long may a leaving target get work, by the boxes' settings."""
OTHERS = [f"z-{number:03}" for number in range(120)]
"""Targets of another service, so many that a reading of all takes several pages; by their names
they come after those that are asked here."""
STORE_AWAY_S = 2.5
"""After so long each watch has failed, and all is read anew."""
REQUESTS = 12


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[EntryFleet]:
    """Run three boxes, of which one reads the store for all, and many targets."""
    with run_fleet(tmp_path, ["a", "a", "a"]) as fleet:
        for name in OTHERS:
            fleet.add_entry(name, "other")
        time.sleep(1.0)
        yield fleet


def leave_while_all_are_read(fleet: EntryFleet, leaving: str) -> None:
    """Let a target say that it leaves after its own page of a reading, before the last one.

    Another one, of the last page, says so right after it.
    """
    target = fleet.target_by_instance[leaving]

    def leave() -> None:
        fleet.store.put(f"servers/{leaving}", target.entry("draining"))
        fleet.store.put(f"servers/{OTHERS[-1]}", fleet.entry_of(OTHERS[-1], "other", "draining"))

    fleet.store.down = True
    time.sleep(STORE_AWAY_S)
    fleet.store.after_first_page = leave
    fleet.store.down = False
    wait_until(lambda: fleet.store.after_first_page is None, 5.0, "a reading of all targets")


def test_target_that_leaves_while_all_are_read_gets_nothing_after_its_time(
    fleet: EntryFleet,
) -> None:
    leaving = fleet.target_by_instance["lookup-east"]
    leave_while_all_are_read(fleet, "lookup-east")
    time.sleep(DRAIN_S)
    leaving.runs.clear()
    for place in fleet.boxes:
        for _ in range(REQUESTS):
            assert fleet.ask(place, "/l/x").status_code == 200
    assert leaving.runs == []
