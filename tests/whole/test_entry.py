"""Boxes as separate processes against stand-ins of the platform's store and targets."""

import signal
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

import httpx
import pytest

from standins.entry_fleet import EntryFleet
from standins.fleet import wait_until
from standins.shard_target import ODD_STATUSES

SHARDS = [f"shard-{number}" for number in range(6)]
QUERY = {
    "name": "q",
    "path_prefix": "/q/",
    "fanout_services": SHARDS,
    "top_k": 4,
    "min_coverage": 0.6,
}
LOOKUP = {"name": "l", "path_prefix": "/l/", "service": "lookup"}
ONCE = {"name": "o", "path_prefix": "/o/", "service": "lookup", "kind": "unsafe"}


@contextmanager
def run_fleet(folder: Path, zones: Sequence[str] = ("a", "a", "b")) -> Iterator[EntryFleet]:
    """Run boxes (two in the east, one in the west); shards 0 to 3 have targets in both regions."""
    with EntryFleet(list(zones), folder) as fleet:
        for number, shard in enumerate(SHARDS):
            fleet.add_target(f"{shard}-west", shard, "b")
            if number < 4:
                fleet.add_target(f"{shard}-east", shard, "a")
        fleet.add_target("lookup-east", "lookup", "a")
        fleet.add_target("lookup-west", "lookup", "b")
        fleet.configure([QUERY, LOOKUP, ONCE])
        fleet.start_all()
        time.sleep(1.5)
        yield fleet


@pytest.fixture(scope="module")
def module_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[EntryFleet]:
    """Run one fleet for all tests that do not stop or reconfigure its boxes."""
    with run_fleet(tmp_path_factory.mktemp("shared")) as fleet:
        yield fleet


@pytest.fixture
def shared_fleet(module_fleet: EntryFleet) -> Iterator[EntryFleet]:
    """Provide the shared fleet and clear the faults of its targets afterwards."""
    yield module_fleet
    for target in module_fleet.target_by_instance.values():
        target.fault, target.delay_s, target.left = "", 0.0, 0
        target.runs.clear()
    # Boxes avoid targets that failed for some seconds at most.
    time.sleep(1.0)


@pytest.fixture
def own_fleet(tmp_path: Path) -> Iterator[EntryFleet]:
    """Run a fleet for one test."""
    with run_fleet(tmp_path) as fleet:
        yield fleet


def check_answer_against_targets(fleet: EntryFleet, answer: httpx.Response) -> None:
    """Check that an answer merges the records of the targets that it names, one per shard."""
    assert answer.status_code == 200, answer.text
    attempt = answer.headers["x-attempt-id"]
    stamps = answer.headers["x-part-stamps"].split(", ")
    named = [fleet.target_by_instance[stamp.removesuffix(f".{attempt}")] for stamp in stamps]
    services = [target.service for target in named]
    assert len(set(services)) == len(services)
    assert len(services) + int(answer.headers["x-missing-parts"]) == len(SHARDS)
    records = sorted((r for target in named for r in target.records()), reverse=True)
    assert answer.content == b"".join(records[:4])


def test_query_answer_is_complete_at_every_box(shared_fleet: EntryFleet) -> None:
    for box in shared_fleet.boxes:
        answer = shared_fleet.ask(box, "/q/x")
        check_answer_against_targets(shared_fleet, answer)
        assert answer.headers["x-missing-parts"] == "0"


def test_shards_of_another_region_are_gathered_by_a_box_there(shared_fleet: EntryFleet) -> None:
    check_answer_against_targets(shared_fleet, shared_fleet.ask(shared_fleet.boxes[0], "/q/x"))
    assert '"event":"group_end"' in shared_fleet.log(shared_fleet.boxes[2])


@pytest.mark.parametrize("fault", ["shed", "error", "reset"])
def test_failing_targets_are_replaced_by_their_replicas(
    shared_fleet: EntryFleet, fault: str
) -> None:
    for number in range(4):
        shared_fleet.target_by_instance[f"shard-{number}-east"].fault = fault
    answer = shared_fleet.ask(shared_fleet.boxes[0], "/q/x")
    check_answer_against_targets(shared_fleet, answer)
    assert answer.headers["x-missing-parts"] == "0"


def test_slow_shard_is_reported_missing_at_the_target_latency(shared_fleet: EntryFleet) -> None:
    for region in ("east", "west"):
        shared_fleet.target_by_instance[f"shard-0-{region}"].delay_s = 5.0
    began = time.monotonic()
    answer = shared_fleet.ask(shared_fleet.boxes[0], "/q/x")
    check_answer_against_targets(shared_fleet, answer)
    assert answer.headers["x-missing-parts"] == "1"
    # The target latency is 0.3 s and the deadline 2 s; tests/relay checks the exact time in
    # virtual time.
    assert time.monotonic() - began < 1.0


def test_query_survives_a_frozen_peer(own_fleet: EntryFleet) -> None:
    own_fleet.ask(own_fleet.boxes[0], "/q/x")
    own_fleet.signal(own_fleet.boxes[2], signal.SIGSTOP)
    try:
        check_answer_against_targets(own_fleet, own_fleet.ask(own_fleet.boxes[0], "/q/x"))
    finally:
        own_fleet.signal(own_fleet.boxes[2], signal.SIGCONT)


def test_unsafe_request_is_not_retried_after_a_reset(shared_fleet: EntryFleet) -> None:
    targets = [shared_fleet.target_by_instance[f"lookup-{region}"] for region in ("east", "west")]
    for target in targets:
        target.fault = "reset"
    answer = shared_fleet.ask(shared_fleet.boxes[0], "/o/x", content=b"promise")
    assert answer.status_code == 502
    assert sum(len(target.runs) for target in targets) == 1


@pytest.mark.parametrize("status", ODD_STATUSES)
def test_answer_with_a_status_that_http_does_not_have_is_told_as_no_answer(
    shared_fleet: EntryFleet, status: str
) -> None:
    """000 was awaited until the deadline, and 600 reached the client."""
    targets = [shared_fleet.target_by_instance[f"lookup-{region}"] for region in ("east", "west")]
    for target in targets:
        target.fault = status
    answer = shared_fleet.ask(shared_fleet.boxes[0], "/o/x", content=b"promise")
    assert answer.status_code == 502
    assert sum(len(target.runs) for target in targets) == 1


@pytest.mark.parametrize("status", ODD_STATUSES)
def test_part_with_a_status_that_http_does_not_have_is_replaced(
    shared_fleet: EntryFleet, status: str
) -> None:
    for number in range(4):
        shared_fleet.target_by_instance[f"shard-{number}-east"].fault = status
    answer = shared_fleet.ask(shared_fleet.boxes[0], "/q/x")
    check_answer_against_targets(shared_fleet, answer)
    assert answer.headers["x-missing-parts"] == "0"


def test_refusal_of_a_request_that_did_not_run_has_retry_after(shared_fleet: EntryFleet) -> None:
    targets = [shared_fleet.target_by_instance[f"lookup-{region}"] for region in ("east", "west")]
    for target in targets:
        target.fault = "shed"
    answer = shared_fleet.ask(shared_fleet.boxes[0], "/o/x", content=b"promise")
    assert answer.status_code == 503
    assert float(answer.headers["retry-after"]) > 0
    assert not any(target.runs for target in targets)


def test_client_disconnect_cancels_the_request(shared_fleet: EntryFleet) -> None:
    targets = [shared_fleet.target_by_instance[f"lookup-{region}"] for region in ("east", "west")]
    for target in targets:
        target.delay_s = 5.0
    with pytest.raises(httpx.ReadTimeout):
        httpx.get(
            f"http://{shared_fleet.boxes[0].front}/l/x",
            headers={"Host": "search.example", "X-Attempt-Id": "1", "X-Deadline-Ms": "2000"},
            timeout=0.2,
        )
    asked = [target for target in targets if target.runs]
    assert asked
    wait_until(lambda: all(target.left for target in asked), 1.0, "the cancellation")


@pytest.mark.parametrize("path", ["/none/", "/"], ids=["no-route", "root"])
def test_unknown_routes_are_not_found(shared_fleet: EntryFleet, path: str) -> None:
    assert shared_fleet.ask(shared_fleet.boxes[0], path).status_code == 404


def test_new_configuration_is_in_force_at_every_box(own_fleet: EntryFleet) -> None:
    own_fleet.configure([QUERY, LOOKUP, {**LOOKUP, "name": "n", "path_prefix": "/new/"}])
    for box in own_fleet.boxes:
        wait_until(
            lambda box=box: own_fleet.ask(box, "/new/x").status_code == 200,  # type: ignore[misc]
            1.0,
            "the configuration",
        )
        assert own_fleet.ask(box, "/o/x").status_code == 404


def test_box_restarted_during_a_store_outage_learns_from_peers(own_fleet: EntryFleet) -> None:
    """All boxes share one address here, so the store goes down after one has read it."""
    own_fleet.store.down = True
    box = own_fleet.boxes[1]
    own_fleet.signal(box, signal.SIGKILL)
    own_fleet.wait_exit(box, 5.0)
    own_fleet.start(box)
    own_fleet.wait_ready(box)
    check_answer_against_targets(own_fleet, own_fleet.ask(box, "/q/x"))


def test_truncated_watch_history_loses_no_change(own_fleet: EntryFleet) -> None:
    own_fleet.configure([QUERY, LOOKUP])
    own_fleet.remove("servers/shard-0-east")
    own_fleet.store.forget_history()
    own_fleet.configure([{**LOOKUP, "path_prefix": "/new/"}])
    for box in own_fleet.boxes:
        wait_until(
            lambda box=box: own_fleet.ask(box, "/new/x").status_code == 200,  # type: ignore[misc]
            3.0,
            "the configuration",
        )


def test_leaving_target_gets_nothing_new(own_fleet: EntryFleet) -> None:
    target = own_fleet.target_by_instance["lookup-east"]
    own_fleet.put("servers/lookup-east", target.entry(state="draining"))
    time.sleep(1.0)
    target.runs.clear()
    for box in own_fleet.boxes:
        assert own_fleet.ask(box, "/l/x").status_code == 200
    assert not target.runs


def count_runs(fleet: EntryFleet, instance_suffix: str) -> int:
    targets = fleet.target_by_instance.items()
    return sum(len(target.runs) for name, target in targets if name.endswith(instance_suffix))


def test_allowed_regions_are_respected_at_every_box(own_fleet: EntryFleet) -> None:
    """Two boxes are in the east and one in the west; two routes allow the west only."""
    allowed_regions = ((QUERY, "west"), (LOOKUP, "west"), (ONCE, "south"))
    version = own_fleet.configure(
        [{**route, "allowed_regions": [region]} for route, region in allowed_regions]
    )
    for box in own_fleet.boxes:
        wait_until(
            lambda box=box: f'"version":{version}' in own_fleet.log(box),  # type: ignore[misc]
            2.0,
            "the configuration",
        )
    for box in own_fleet.boxes:
        check_answer_against_targets(own_fleet, own_fleet.ask(box, "/q/x"))
        assert own_fleet.ask(box, "/l/x").status_code == 200
        refused = own_fleet.ask(box, "/o/x", content=b"promise")
        assert refused.status_code == 503
        assert float(refused.headers["retry-after"]) > 0
    assert count_runs(own_fleet, "-west")
    assert not count_runs(own_fleet, "-east")


def test_evacuated_domain_gets_nothing_until_the_evacuation_ends(own_fleet: EntryFleet) -> None:
    own_fleet.evacuate("a")
    time.sleep(1.0)
    for target in own_fleet.target_by_instance.values():
        target.runs.clear()
    for box in own_fleet.boxes:
        check_answer_against_targets(own_fleet, own_fleet.ask(box, "/q/x"))
        assert own_fleet.ask(box, "/l/x").status_code == 200
    assert not count_runs(own_fleet, "-east")
    own_fleet.evacuate("a", asked=False)
    time.sleep(1.0)
    for box in own_fleet.boxes[:2]:
        check_answer_against_targets(own_fleet, own_fleet.ask(box, "/q/x"))
    assert count_runs(own_fleet, "-east")


def test_box_restarted_during_a_store_outage_knows_the_evacuation(own_fleet: EntryFleet) -> None:
    own_fleet.evacuate("a")
    time.sleep(1.0)
    own_fleet.store.down = True
    box = own_fleet.boxes[1]
    own_fleet.signal(box, signal.SIGKILL)
    own_fleet.wait_exit(box, 5.0)
    for target in own_fleet.target_by_instance.values():
        target.runs.clear()
    own_fleet.start(box)
    own_fleet.wait_ready(box)
    check_answer_against_targets(own_fleet, own_fleet.ask(box, "/q/x"))
    assert not count_runs(own_fleet, "-east")


def test_unreadable_store_entries_leave_the_others_in_force(own_fleet: EntryFleet) -> None:
    own_fleet.put("servers/junk", b"\xff\x00")
    own_fleet.put("servers/half", b'{"service": "lookup", "state": "ready"}')
    own_fleet.put(
        "servers/unnamed", own_fleet.target_by_instance["lookup-east"].entry(state="warming")
    )
    time.sleep(1.0)
    for box in own_fleet.boxes:
        check_answer_against_targets(own_fleet, own_fleet.ask(box, "/q/x"))
        assert own_fleet.ask(box, "/l/x").status_code == 200
    for box in own_fleet.boxes:
        rejected = [line for line in own_fleet.log(box).splitlines() if "entry_rejected" in line]
        assert all(sum(name in line for line in rejected) <= 1 for name in ("junk", "half"))


@pytest.mark.parametrize("second_signal", [None, signal.SIGHUP, signal.SIGTERM], ids=str)
def test_planned_stop_finishes_requests_in_flight(
    own_fleet: EntryFleet, second_signal: signal.Signals | None
) -> None:
    """SIGHUP 0.2 s after SIGTERM ended the process while a request was in flight."""
    box = own_fleet.boxes[0]
    own_fleet.target_by_instance["lookup-east"].delay_s = 1.0
    own_fleet.target_by_instance["lookup-west"].delay_s = 1.0
    with httpx.Client(headers={"Host": "search.example", "X-Deadline-Ms": "3000"}) as client:
        url = f"http://{box.front}/o/x"
        assert client.post(url, headers={"X-Attempt-Id": "1"}, content=b"x").status_code == 200
        own_fleet.signal(box, signal.SIGTERM)
        time.sleep(0.2)
        assert not own_fleet.ready(box)
        if second_signal is not None:
            own_fleet.signal(box, second_signal)
        answer = client.post(url, headers={"X-Attempt-Id": "2"}, content=b"x")
        assert answer.status_code == 200
        assert answer.headers["connection"] == "close"
    assert own_fleet.wait_exit(box, 5.0) == 0
    assert '"event":"stopped"' in own_fleet.log(box)


def test_sighup_does_not_interrupt_service(shared_fleet: EntryFleet) -> None:
    box = shared_fleet.boxes[0]
    shared_fleet.signal(box, signal.SIGHUP)
    assert shared_fleet.ask(box, "/l/x").status_code == 200
    assert shared_fleet.ready(box)


def is_listening(address: str) -> bool:
    """Return whether anything listens at an address."""
    try:
        httpx.get(f"http://{address}/ready", timeout=2.0)
    except httpx.ConnectError:
        return False
    return True


def test_box_without_configuration_is_not_ready_and_refuses_with_retry_after(
    tmp_path: Path,
) -> None:
    with EntryFleet(["a"], tmp_path) as fleet:
        (box,) = fleet.boxes
        fleet.start(box)
        wait_until(lambda: is_listening(box.readiness), 15.0, "the first answer")
        assert not fleet.ready(box)
        answer = fleet.ask(box, "/q/x")
        assert answer.status_code == 503
        assert float(answer.headers["retry-after"]) > 0
