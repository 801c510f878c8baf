"""A group's limit over boxes as separate processes, one of which is killed."""

import json
import signal
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import httpx
import pytest

from standins.entry_fleet import HOST, EntryFleet, EntryPlace

SETTINGS: Final = """\
bounds.quota_window_s=5
bounds.quota_overshoot=0.1
bounds.quota_slack=10
"""
RATE_PER_S, BURST = 4.0, 2.0
BOUND: Final = (RATE_PER_S * 5.0 + BURST) * 1.1 + 10.0
LOOKUP = {"name": "l", "path_prefix": "/l/", "service": "lookup"}
SETTLED_S: Final = 7.0


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[EntryFleet]:
    """Run three boxes with one group that has a limit and one that has none."""
    with EntryFleet(["a", "a", "b"], tmp_path) as fleet:
        for place in fleet.boxes:
            with (tmp_path / f"{place.name}.conf").open("a") as settings:
                settings.write(SETTINGS)
        fleet.add_target("lookup-east", "lookup", "a")
        fleet.add_target("lookup-west", "lookup", "b")
        fleet.configure([LOOKUP])
        config = json.loads(fleet.content)
        config["tenants"] = [
            {"name": "some", "api_keys": ["k1"], "rate_per_s": RATE_PER_S, "burst": BURST},
            {"name": "free", "api_keys": ["k2"]},
        ]
        fleet.put("op/config", json.dumps(config).encode())
        fleet.start_all()
        time.sleep(SETTLED_S)
        yield fleet


def ask(fleet: EntryFleet, place: EntryPlace, key: str) -> httpx.Response:
    headers = {
        "Host": HOST,
        "Authorization": f"Token {key}",
        "X-Attempt-Id": f"{time.monotonic_ns():016x}"[-16:],
        "X-Deadline-Ms": "2000",
    }
    return httpx.get(f"http://{place.front}/l/x", headers=headers, timeout=10.0)


def ask_for(
    fleet: EntryFleet, boxes: list[EntryPlace], key: str, per_s: float, seconds: float
) -> list[httpx.Response]:
    """Ask boxes in turn at a steady rate."""
    answers = []
    start = time.monotonic()
    number = 0
    while time.monotonic() < start + seconds:
        answers.append(ask(fleet, boxes[number % len(boxes)], key))
        number += 1
        time.sleep(max(0.0, start + number / per_s - time.monotonic()))
    return answers


def served(answers: list[httpx.Response]) -> int:
    return sum(answer.status_code == 200 for answer in answers)


def test_limit_counts_over_all_boxes(fleet: EntryFleet) -> None:
    """Load: below the limit through all and one; five times the limit; then a box is killed."""
    calm = ask_for(fleet, fleet.boxes, "k1", 2.5, 4.0)
    assert served(calm) == len(calm), [answer.status_code for answer in calm]
    one = ask_for(fleet, fleet.boxes[2:], "k1", 2.5, 4.0)
    assert served(one) == len(one), [answer.status_code for answer in one]

    over = ask_for(fleet, fleet.boxes, "k1", 20.0, 5.0)
    refused = [answer for answer in over if answer.status_code != 200]
    assert RATE_PER_S * 5.0 * 0.8 <= served(over) <= BOUND
    assert {answer.status_code for answer in refused} == {429}
    assert all(float(answer.headers["Retry-After"]) >= 0.0 for answer in refused)

    free = ask_for(fleet, fleet.boxes, "k2", 20.0, 2.0)
    assert served(free) == len(free)

    fleet.signal(fleet.boxes[0], signal.SIGKILL)
    after = ask_for(fleet, fleet.boxes[1:], "k1", 20.0, 5.0)
    assert 1 <= served(after) <= BOUND
    ran = sum(len(target.runs) for target in fleet.target_by_instance.values())
    assert ran >= served(over)
