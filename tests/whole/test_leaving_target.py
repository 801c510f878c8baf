"""A target that announces its leave while a box reads all targets, page by page.

Two requests reached a leaving target 49 and 53 ms after the time in which it may still get work.
It had announced its leave five seconds before, at the same moment as 270 other targets; its
siblings got nothing. Here the change falls between the pages of a read, after the target's own one.
"""

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.entry_fleet import EntryFleet
from standins.fleet import wait_until
from tests.whole.test_entry import run_fleet

DRAIN_S = 3.0
"""Time in which a leaving target may still get work (bounds.drain_ms of the boxes)."""
OTHER_TARGETS = [f"z-{number:03}" for number in range(120)]
"""Targets of another service: so many that a full read takes several pages, and sorted after the
targets that serve requests here."""
STORE_OUTAGE_S = 2.5
"""Outage after which each watch has failed, so that boxes read all targets again."""
REQUESTS = 12


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[EntryFleet]:
    """Run three boxes, one of which reads the store for all, and many targets."""
    with run_fleet(tmp_path, ["a", "a", "a"]) as fleet:
        for name in OTHER_TARGETS:
            fleet.add_entry(name, "other")
        time.sleep(1.0)
        yield fleet


def leave_during_full_read(fleet: EntryFleet, leaving: str) -> None:
    """Let a target announce its leave after its own page of a full read, before the last page.

    A target of the last page announces its leave right afterwards.
    """
    target = fleet.target_by_instance[leaving]

    def leave() -> None:
        fleet.store.put(f"servers/{leaving}", target.entry("draining"))
        fleet.store.put(
            f"servers/{OTHER_TARGETS[-1]}", fleet.entry_of(OTHER_TARGETS[-1], "other", "draining")
        )

    fleet.store.down = True
    time.sleep(STORE_OUTAGE_S)
    fleet.store.after_first_page = leave
    fleet.store.down = False
    wait_until(lambda: fleet.store.after_first_page is None, 5.0, "a full read of the targets")


def test_target_that_leaves_during_a_full_read_gets_nothing_after_its_drain_time(
    fleet: EntryFleet,
) -> None:
    leaving = fleet.target_by_instance["lookup-east"]
    leave_during_full_read(fleet, "lookup-east")
    time.sleep(DRAIN_S)
    leaving.runs.clear()
    for box in fleet.boxes:
        for _ in range(REQUESTS):
            assert fleet.ask(box, "/l/x").status_code == 200
    assert leaving.runs == []
