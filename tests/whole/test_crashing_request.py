"""A request that crashes every target which runs it, at boxes as separate processes.

A client sent one such request again every few seconds, to any box. Three times all targets of a
service ended within 150 ms, with no operator action; sweeps over its shards went unanswered for
four to ten seconds, and 120 and 133 targets had ended by the time the broken rule was noticed. The
request ended the target of each shard, then the second ones through retries by the boxes, then
every target started meanwhile. A crash was attributed to its target only: each attempt has another
id, and retry budgets count it as a new request, so nothing recognised the request. The content was
the same in every connection that closed and in none that was answered. Without the quarantine these
tests lose all targets.
"""

import signal
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from standins.entry_fleet import EntryFleet, EntryPlace
from standins.fleet import wait_until
from tests.whole.test_entry import SHARDS, check_answer_against_targets, run_fleet

UNAVOIDABLE_CRASHES = 3
"""Crashes that cannot be prevented: until then the request looks like any other."""
PROPAGATION_S = 1.5
"""Time in which every box learns of the request; the platform's rule allows four seconds."""
MAX_RUNS_WHEN_HELD = 3
"""Further runs that the platform's rule tolerates."""


class Case(NamedTuple):
    """A request that crashes targets: its path, and whether it may run only once."""

    path: str
    once: bool = False


CASES = {
    "query": Case("/q/crash"),
    "lookup": Case("/l/crash"),
    "once": Case("/o/crash", once=True),
}


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[EntryFleet]:
    """Run a fleet whose targets crash on any request with "crash" in its path."""
    with run_fleet(tmp_path) as fleet:
        for target in fleet.target_by_instance.values():
            target.ends_under = "crash"
        yield fleet


def send_request(fleet: EntryFleet, box: EntryPlace, case: Case) -> int:
    """Send the request and return the status code."""
    options: dict[str, Any] = {"content": b"promise"} if case.once else {}
    return fleet.ask(box, case.path, **options).status_code


def count_runs(fleet: EntryFleet) -> int:
    """Count the requests that reached targets, including those before a target was replaced."""
    return sum(len(target.runs) for target in fleet.target_by_instance.values())


def crash_three_targets(fleet: EntryFleet, case: Case) -> None:
    """Send the request to one box after the other until it has crashed three targets."""
    for box in [*fleet.boxes, *fleet.boxes]:
        if count_runs(fleet) >= UNAVOIDABLE_CRASHES:
            break
        send_request(fleet, box, case)
        fleet.replace_ended()
        time.sleep(0.2)
    assert count_runs(fleet) >= UNAVOIDABLE_CRASHES


@pytest.mark.parametrize("case", CASES.values(), ids=CASES.keys())
def test_request_that_crashed_three_targets_is_refused(fleet: EntryFleet, case: Case) -> None:
    crash_three_targets(fleet, case)
    time.sleep(PROPAGATION_S)
    fleet.replace_ended()
    runs_before = count_runs(fleet)
    statuses = []
    for box in [*fleet.boxes, *fleet.boxes]:
        statuses.append(send_request(fleet, box, case))
        fleet.replace_ended()
    assert count_runs(fleet) - runs_before <= MAX_RUNS_WHEN_HELD
    assert statuses == [503] * len(statuses)
    time.sleep(PROPAGATION_S)
    for box in fleet.boxes:
        check_answer_against_targets(fleet, fleet.ask(box, "/q/other"))


def test_crashing_query_spares_the_second_replica_of_each_shard(fleet: EntryFleet) -> None:
    """All shards are queried at once; replicas of crashed targets are not tried."""
    assert send_request(fleet, fleet.boxes[0], CASES["query"]) != 200
    crashed = sum(target.ended for target in fleet.target_by_instance.values())
    assert UNAVOIDABLE_CRASHES <= crashed <= len(SHARDS)


def quarantine_query(fleet: EntryFleet) -> None:
    """Let a query crash targets, wait until boxes and store hold it, then replace the targets."""
    crash_three_targets(fleet, CASES["query"])
    wait_until(lambda: bool(fleet.keys("held/")), 5.0, "the entry in the store")
    fleet.replace_ended()
    time.sleep(PROPAGATION_S)


def restart_boxes(fleet: EntryFleet, boxes: list[EntryPlace]) -> None:
    for box in boxes:
        fleet.signal(box, signal.SIGKILL)
        fleet.wait_exit(box, 5.0)
    for box in boxes:
        fleet.start(box)
    for box in boxes:
        fleet.wait_ready(box)
    time.sleep(PROPAGATION_S)


@pytest.mark.parametrize("restarted", [1, 3], ids=["one-box", "all-boxes"])
def test_restarted_boxes_know_held_requests(fleet: EntryFleet, restarted: int) -> None:
    quarantine_query(fleet)
    runs_before = count_runs(fleet)
    restart_boxes(fleet, fleet.boxes[:restarted])
    assert [send_request(fleet, box, CASES["query"]) for box in fleet.boxes] == [503] * 3
    assert count_runs(fleet) == runs_before


def test_box_restarted_during_a_store_outage_learns_held_requests_from_peers(
    fleet: EntryFleet,
) -> None:
    quarantine_query(fleet)
    runs_before = count_runs(fleet)
    fleet.store.down = True
    restart_boxes(fleet, fleet.boxes[1:2])
    assert send_request(fleet, fleet.boxes[1], CASES["query"]) == 503
    assert count_runs(fleet) == runs_before


def test_malformed_held_entries_hold_no_request(fleet: EntryFleet) -> None:
    fleet.put("held/not-hexadecimal", b"9")
    fleet.put("held/00", b"no number")
    restart_boxes(fleet, fleet.boxes)
    for box in fleet.boxes:
        check_answer_against_targets(fleet, fleet.ask(box, "/q/other"))


def send_concurrently(fleet: EntryFleet, paths: list[str]) -> None:
    """Send requests to one box at once, so that the same targets run them."""
    with ThreadPoolExecutor(len(paths)) as pool:
        list(pool.map(lambda path: fleet.ask(fleet.boxes[0], path), paths))


def test_two_crashing_requests_at_the_same_targets_are_both_held(fleet: EntryFleet) -> None:
    paths = ["/q/crash-1", "/q/crash-2"]
    send_concurrently(fleet, paths)
    time.sleep(PROPAGATION_S)
    fleet.replace_ended()
    time.sleep(PROPAGATION_S)
    runs_before = count_runs(fleet)
    for box in [*fleet.boxes, *fleet.boxes]:
        for path in paths:
            assert fleet.ask(box, path).status_code in (502, 503)
        fleet.replace_ended()
    assert count_runs(fleet) - runs_before <= MAX_RUNS_WHEN_HELD


def test_bystanders_are_served_once_targets_have_restarted(fleet: EntryFleet) -> None:
    """Bystanders were in flight at every crashed target and have never been answered before."""
    bystanders = [f"/q/other-{number}" for number in range(4)]
    for target in fleet.target_by_instance.values():
        target.delay_s = 0.2
    send_concurrently(fleet, ["/q/crash", *bystanders])
    time.sleep(PROPAGATION_S)
    fleet.replace_ended()
    time.sleep(PROPAGATION_S)
    for box in fleet.boxes:
        for path in bystanders:
            check_answer_against_targets(fleet, fleet.ask(box, path))
