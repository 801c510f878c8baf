"""One run of the soak: a fleet, load, faults, and the verdict."""

import asyncio
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from soak.checks import check_all
from soak.clients import Balancer, Client, Told, key_of, send_ending
from soak.const import BOX_MEMORY_BYTES, CLIENTS, ENDING_PATHS, KEY_TAKEN_SHARE, SHARDS
from soak.crowds import send_crowds
from soak.fleet import SoakFleet
from soak.plan import draw_faults
from standins.entry_fleet import EntryPlace

ZONES = ("a", "a", "b", "b")


class Verdict(NamedTuple):
    """Say what a run showed."""

    seed: int
    broken: list[str]
    answers_by_status: Counter[int]
    faults: int
    folder: Path


def run_soak(seed: int, seconds: float, boxes: int, folder: Path | None = None) -> Verdict:
    """Run one seed; logs of the boxes stay in the folder."""
    folder = folder or Path(tempfile.mkdtemp(prefix=f"trackwheel-soak-{seed}-"))
    zones = [ZONES[number % len(ZONES)] for number in range(boxes)]
    with SoakFleet(zones, folder) as fleet:
        fleet.set_up()
        told = asyncio.run(_load(fleet, seed, seconds))
        broken = check_all(fleet, told) + _check_end(fleet)
    statuses = Counter(one.status for one in told)
    return Verdict(seed, broken, statuses, len(fleet.spans), folder)


async def _load(fleet: SoakFleet, seed: int, seconds: float) -> list[Told]:
    told: list[Told] = []
    names = [place.name for place in fleet.boxes]
    faults = draw_faults(
        seed, seconds, names, sorted(fleet.proxy_by_name), sorted(fleet.target_by_instance)
    )
    until = time.monotonic() + seconds
    balancer = Balancer(seed, fleet.boxes)
    clients = [Client(seed, number, balancer, told) for number in range(CLIENTS)]
    endings = ENDING_PATHS if seed % 2 == 0 else ()
    if endings:
        fleet.let_end("ends-targets")
    async with asyncio.TaskGroup() as tasks:
        for path in endings:
            tasks.create_task(send_ending(seed, path, balancer, until))
        tasks.create_task(fleet.run(faults))
        tasks.create_task(send_crowds(seed, seconds, fleet.boxes))
        tasks.create_task(_take_key_away(fleet, KEY_TAKEN_SHARE * seconds))
        tasks.create_task(balancer.run(until))
        for client in clients:
            tasks.create_task(client.run(until, lambda: fleet.version))
    return told


async def _take_key_away(fleet: SoakFleet, after_s: float) -> None:
    await asyncio.sleep(after_s)
    fleet.take_key_away()


def _check_end(fleet: SoakFleet) -> list[str]:
    """After the faults every box is ready and covers every shard that has a target left."""
    broken: list[str] = []
    gone = fleet.left_at_by_instance
    left = {t.service for t in fleet.target_by_instance.values() if t.instance not in gone}
    lost = sum(shard not in left for shard in SHARDS)
    for place in fleet.boxes:
        broken += _check_box(fleet, place, lost)
        peak_bytes = fleet.peak_memory_bytes(place)
        if peak_bytes > BOX_MEMORY_BYTES:
            broken.append(f"memory: {place.name} held {peak_bytes} bytes")
    return broken


def _check_box(fleet: SoakFleet, place: EntryPlace, lost: int) -> list[str]:
    if not fleet.ready(place):
        return [f"end: {place.name} is not ready"]
    answer = fleet.ask(place, "/q/x", key=key_of(0))
    missing = answer.headers.get("x-missing-parts", "0")
    if lost <= 2 and (answer.status_code != 200 or int(missing) > lost):
        return [f"end: {place.name} says {answer.status_code} and lacks {missing} of {lost}"]
    return []
