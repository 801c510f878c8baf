"""Load: callers of several groups, some with wrong or withdrawn keys, at every box.

Real boxes: targets learn the group from the box alone, and the key reaches nobody.
"""

import signal
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import httpx
import pytest

from standins.entry_fleet import EntryFleet
from standins.fleet import wait_until
from tests.whole.test_entry import LOOKUP, ONCE, QUERY, check_answer_against_targets, run_fleet

KEY, SECOND_KEY, WEST_KEY = "key-of-the-clerks", "second-key-of-the-clerks", "key-of-the-west"
WRONG_KEY = "key-of-nobody"
OPEN = {**LOOKUP, "name": "p", "path_prefix": "/p/", "public": True}
ROUTES: list[dict[str, Any]] = [QUERY, LOOKUP, ONCE, OPEN]
CLERKS: dict[str, Any] = {"name": "clerks", "api_keys": [KEY, SECOND_KEY], "priority": 0}
WEST: dict[str, Any] = {"name": "west-only", "api_keys": [WEST_KEY], "allowed_regions": ["west"]}
IN_FORCE_S = 5.0
"""How soon a version is in force at each box that hears the store (the platform's bound)."""


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[EntryFleet]:
    """Run boxes whose configuration names two groups."""
    with run_fleet(tmp_path) as fleet:
        configure(fleet, [CLERKS, WEST])
        yield fleet


def configure(fleet: EntryFleet, groups: list[dict[str, Any]]) -> None:
    version = fleet.configure(ROUTES, groups=groups)
    for box in fleet.boxes:
        wait_until(
            lambda box=box: f'"version":{version}' in fleet.log(box),  # type: ignore[misc]
            IN_FORCE_S,
            "the configuration",
        )


def headers_of_runs(fleet: EntryFleet) -> list[dict[str, str]]:
    targets = fleet.target_by_instance.values()
    return [headers for target in targets for headers in target.headers_by_run]


def told_groups(fleet: EntryFleet) -> set[str]:
    return {headers.get("x-tenant", "") for headers in headers_of_runs(fleet)}


def test_targets_learn_the_group_from_the_box_and_nobody_the_key(fleet: EntryFleet) -> None:
    """Shards, groups at peers, hedges and repeats; a client that names another group."""
    forged = {"X-Tenant": "bosses"}
    for fault in ("", "shed", "error", "reset"):
        for number in range(4):
            fleet.target_by_instance[f"shard-{number}-east"].fault = fault
        fleet.target_by_instance["lookup-east"].fault = fault
        for box in fleet.boxes:
            fleet.ask(box, "/q/x", key=KEY, headers=forged)
            fleet.ask(box, "/l/x", key=SECOND_KEY, headers=forged)
            fleet.ask(box, "/o/x", key=KEY, headers=forged, content=b"promise")
    for target in fleet.target_by_instance.values():
        target.fault, target.delay_s = "", 0.2
    for box in fleet.boxes:
        check_answer_against_targets(fleet, fleet.ask(box, "/q/x", key=KEY, headers=forged))
    seen = headers_of_runs(fleet)
    assert len(seen) > 50
    assert told_groups(fleet) == {"clerks"}
    assert not any("authorization" in headers for headers in seen)
    assert '"event":"group_end"' in fleet.log(fleet.boxes[2])
    logs = "".join(fleet.log(box) for box in fleet.boxes)
    written = repr(seen) + logs
    assert not any(secret in written for secret in (KEY, SECOND_KEY, "bosses"))
    assert '"group":"clerks"' in logs


def test_key_decides_at_every_box(fleet: EntryFleet) -> None:
    for box in fleet.boxes:
        assert fleet.ask(box, "/l/x").status_code == 401
        assert fleet.ask(box, "/q/x", key=WRONG_KEY).status_code == 401
        assert fleet.ask(box, "/p/x", key=WRONG_KEY).status_code == 401
        assert not headers_of_runs(fleet)
        assert fleet.ask(box, "/p/x", headers={"X-Tenant": "bosses"}).status_code == 200
        assert told_groups(fleet) == {""}
        assert WRONG_KEY not in fleet.log(box)
        for target in fleet.target_by_instance.values():
            target.headers_by_run.clear()


def test_homes_of_a_group_bind_at_every_box_and_peer(fleet: EntryFleet) -> None:
    for box in fleet.boxes:
        check_answer_against_targets(fleet, fleet.ask(box, "/q/x", key=WEST_KEY))
        assert fleet.ask(box, "/l/x", key=WEST_KEY).status_code == 200
    east = [t for name, t in fleet.target_by_instance.items() if name.endswith("-east")]
    assert not any(target.runs for target in east)
    assert told_groups(fleet) == {"west-only"}


@pytest.mark.parametrize("versions", [1, 8], ids=["one-version", "storm"])
def test_key_taken_away_ends_on_open_connections(fleet: EntryFleet, versions: int) -> None:
    clients = [httpx.Client() for _ in fleet.boxes]
    for box, client in zip(fleet.boxes, clients, strict=True):
        assert fleet.ask(box, "/l/x", key=KEY, client=client).status_code == 200
    for _ in range(versions):
        fleet.configure(ROUTES, groups=[{**CLERKS, "api_keys": [SECOND_KEY]}, WEST])
        time.sleep(0.2)
    began = time.monotonic()
    for box, client in zip(fleet.boxes, clients, strict=True):
        wait_until(
            lambda box=box, client=client: (  # type: ignore[misc]
                fleet.ask(box, "/l/x", key=KEY, client=client).status_code == 401
            ),
            IN_FORCE_S,
            "the refusal of the key",
        )
        assert fleet.ask(box, "/l/x", key=SECOND_KEY, client=client).status_code == 200
    assert time.monotonic() - began < IN_FORCE_S
    for client in clients:
        client.close()


def test_box_started_without_the_store_takes_the_groups_from_peers(fleet: EntryFleet) -> None:
    """It knows which keys there are; one that it does not know may be new, and is not refused."""
    configure(fleet, [{**CLERKS, "api_keys": [SECOND_KEY]}, WEST])
    fleet.store.down = True
    box = fleet.boxes[1]
    fleet.signal(box, signal.SIGKILL)
    fleet.wait_exit(box, 5.0)
    fleet.start(box)
    fleet.wait_ready(box)
    assert fleet.ask(box, "/l/x", key=SECOND_KEY).status_code == 200
    wait_until(
        lambda: fleet.ask(box, "/l/x", key=KEY).status_code == 503,
        15.0,
        "the box to notice that nobody hears the store",
    )
    answer = fleet.ask(box, "/l/x", key=KEY)
    assert float(answer.headers["retry-after"]) > 0
    assert fleet.ask(box, "/l/x").status_code == 401
    assert fleet.ask(box, "/l/x", key=SECOND_KEY).status_code == 200
