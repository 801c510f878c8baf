"""Targets that are slow, die, misreport health, answer in part, move shards and leave."""

import asyncio
import json
import time
from collections.abc import Iterator
from typing import Any

import pytest

from bench.load import Callers, run_queries
from standins.fleet import SmallFleet

SERVICE = "ledger"


def target_addresses(fleet: SmallFleet) -> list[list[str]]:
    """Return the addresses of the targets by instance, read from the file in force."""
    text = fleet.http.get(f"http://{fleet.boxes[0].operators}/v1/files/test").text
    section = text.split("[targets ledger]")[1].split("[")[0]
    lines = [line for line in section.splitlines() if "=" in line]
    return [
        [word.strip().split("/")[2] for word in line.split("=")[1].split(",")] for line in lines
    ]


@pytest.fixture
def targets(fleet: SmallFleet) -> Iterator[list[list[str]]]:
    """Provide the targets; afterwards clear their faults and give each a new boot."""
    addresses = target_addresses(fleet)
    yield addresses
    for instance, replicas in enumerate(addresses):
        for address in replicas:
            no_faults = {
                "service_s": 0.004,
                "slow_factor": 1.0,
                "slow_share": 0.0,
                "shed": False,
                "draining": False,
                "lie_healthy": False,
                "half_answer": False,
                "wrong_nonce": False,
                "hang": False,
            }
            fleet.control(
                address, new_boot=True, shards=make_content([1], 6, [instance]), **no_faults
            )
    wait_for_complete_answers(fleet)


def make_content(versions: list[int], map_size: int, shards: list[int]) -> dict[str, Any]:
    """Return the shards of a target by version, each item tagged with its version."""
    return {
        str(version): {
            "map_size": map_size,
            "shards": {str(s): [f"{version}|ledger-{s}-{n}" for n in range(3)] for s in shards},
        }
        for version in versions
    }


def wait_for_complete_answers(fleet: SmallFleet) -> None:
    end = time.monotonic() + 15.0
    while time.monotonic() < end:
        answers = [fleet.query(box, "clerks-key", SERVICE) for box in fleet.boxes for _ in range(4)]
        if all(a.status_code == 200 and a.json()["version"] == 1 for a in answers):
            return
        time.sleep(0.1)
    raise TimeoutError("no complete answers of version 1 from every box within 15 s")


def callers_addresses(fleet: SmallFleet) -> list[str]:
    return [box.callers for box in fleet.boxes]


@pytest.mark.parametrize(
    "fault",
    [
        pytest.param({"half_answer": True}, id="half-answer"),
        pytest.param({"wrong_nonce": True}, id="foreign-answer"),
        pytest.param({"hang": True}, id="hang"),
        pytest.param({"service_s": 0.3}, id="straggler"),
        pytest.param({"shed": True}, id="shed"),
        pytest.param({"lie_healthy": True, "draining": True}, id="leaves-and-lies"),
    ],
)
def test_replica_covers_for_a_faulty_target(
    fleet: SmallFleet, targets: list[list[str]], fault: dict[str, Any]
) -> None:
    fleet.control(targets[2][0], **fault)
    results = run_queries(callers_addresses(fleet), "clerks", SERVICE, 40, 2.0)
    assert results.cut_off == []
    assert results.broken == []
    assert results.answered >= 78, results.codes
    assert min(results.coverage) == 1.0


def test_query_with_a_shedding_instance_fails_at_once_with_its_reason(
    fleet: SmallFleet, targets: list[list[str]]
) -> None:
    for address in targets[4]:
        fleet.control(address, shed=True)
    started = time.monotonic()
    response = fleet.query(fleet.boxes[0], "clerks-key", SERVICE)
    took_s = time.monotonic() - started
    body = response.json()
    assert response.status_code == 503
    reason_by_shard = {lack["shard"]: lack["reason"] for lack in body["lacking"]}
    assert reason_by_shard[4] == "shed"
    assert set(reason_by_shard.values()) <= {"shed", "not_awaited"}
    assert int(response.headers["retry-after"]) >= 1
    assert body["retry_after_ms"] >= 50
    assert took_s < 0.25, "answered only near the deadline of 500 ms, not at once"


def test_refused_query_is_logged_with_its_reasons(
    fleet: SmallFleet, targets: list[list[str]]
) -> None:
    """Without the reasons, on-call engineers could not tell overload from a pause by the logs."""
    for address in targets[4]:
        fleet.control(address, shed=True)
    response = fleet.query(fleet.boxes[0], "clerks-key", SERVICE)
    assert response.status_code == 503
    lines = [line for line in fleet.log("box-0").splitlines() if '"query_given_up"' in line]
    event = json.loads(lines[-1])
    assert event["overloaded"] is True
    assert "shed 1" in event["lacking"]


def test_versions_flip_under_load(fleet: SmallFleet, targets: list[list[str]]) -> None:
    async def flip(callers: Callers) -> None:
        for version in (2, 3, 4):
            for instance, replicas in enumerate(targets):
                for address in replicas:
                    shards = make_content([version], 6, [instance])
                    await asyncio.to_thread(fleet.control, address, shards=shards)
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.4)

    results = run_queries(callers_addresses(fleet), "clerks", SERVICE, 50, 3.0, flip)
    assert results.broken == []
    assert results.cut_off == []
    assert results.answered >= 140, results.codes


def test_repartition_under_load(fleet: SmallFleet, targets: list[list[str]]) -> None:
    """Each shard splits in two, and its second half moves to another instance."""

    async def split(callers: Callers) -> None:
        await asyncio.sleep(0.5)
        for instance, replicas in enumerate(targets):
            for address in replicas:
                moved = (instance + 1) % 6 + 6
                both_maps = make_content([1], 6, [instance]) | make_content(
                    [2], 12, [instance, moved]
                )
                await asyncio.to_thread(fleet.control, address, shards=both_maps)
        await asyncio.sleep(0.3)
        for instance, replicas in enumerate(targets):
            for address in replicas:
                moved = (instance + 1) % 6 + 6
                after = make_content([2], 12, [instance, moved])
                await asyncio.to_thread(fleet.control, address, shards=after)

    results = run_queries(callers_addresses(fleet), "clerks", SERVICE, 50, 2.5, split)
    assert results.broken == []
    assert results.answered >= 115, results.codes
    last = fleet.query(fleet.boxes[0], "clerks-key", SERVICE).json()
    assert (last["version"], last["map_size"], last["whole"]) == (2, 12, True)


@pytest.mark.parametrize(
    "claims_healthy",
    [pytest.param(False, id="health-page-says-so"), pytest.param(True, id="page-lies")],
)
def test_leaving_target_gets_nothing_new(
    fleet: SmallFleet, targets: list[list[str]], claims_healthy: bool
) -> None:
    """Queries alternate between both replicas, so the leaving one would get some of them."""
    leaving = targets[3][0]
    fleet.control(leaving, draining=True, lie_healthy=claims_healthy)
    started = time.time()
    results = run_queries(callers_addresses(fleet), "clerks", SERVICE, 40, 4.0)
    assert results.answered >= 158, results.codes
    counts = fleet.counts(leaving)
    assert counts["last_new_work"] - started < 2.0
    fleet.control(leaving, draining=False, lie_healthy=False, new_boot=True)
    run_queries(callers_addresses(fleet), "clerks", SERVICE, 40, 6.0)
    assert (
        fleet.counts(leaving)["queries"] > counts["queries"]
    ), "the target gets no work after its return"
