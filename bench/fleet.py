"""Membership: time to notice a killed box, false deaths under loss, and what it costs."""

import signal
import time

from bench.processes import cpu_seconds
from bench.report import Report, Series
from bench.setting import places
from bench.virtual_fleet import VirtualFleet
from standins.fleet import BoxPlace, SmallFleet, wait_until

REAL_SIZES = (3, 7, 15, 30)
REST_S = 4.0
LOSS = 0.1
LOSS_SECONDS = 600.0


def _real(size: int) -> tuple[float, float, float]:
    """Return the time to notice a killed box, and bytes and core share of a box at rest."""
    with SmallFleet(places(size, 3), []) as fleet:
        time.sleep(1.0)
        pids = [fleet.process_by_name[box.box_id].pid for box in fleet.boxes]
        cpu = sum(map(cpu_seconds, pids))
        sent = sum(_sent_bytes(fleet, box) for box in fleet.boxes)
        started = time.monotonic()
        time.sleep(REST_S)
        rest_s = time.monotonic() - started
        cpu_share = (sum(map(cpu_seconds, pids)) - cpu) / rest_s / size
        sent = sum(_sent_bytes(fleet, box) for box in fleet.boxes) - sent
        killed = fleet.boxes[-1]
        started = time.monotonic()
        fleet.signal_box(killed, signal.SIGKILL)
        for box in fleet.boxes[:-1]:
            wait_until(lambda box=box: fleet.members_seen(box) == size - 1, 10.0, "notice")  # type: ignore[misc]
        return time.monotonic() - started, sent / rest_s / size, cpu_share


def _sent_bytes(fleet: SmallFleet, box: BoxPlace) -> float:
    text = fleet.http.get(f"http://{box.operators}/metrics").text
    lines = [line for line in text.splitlines() if line.startswith("trackwheel_bytes_sent")]
    return float(lines[0].rsplit(" ", 1)[1]) if lines else 0.0


def measure(long: bool) -> Report:
    """Kill boxes of real fleets and lose messages of a virtual one."""
    real = {size: _real(size) for size in REAL_SIZES}
    deaths = 0
    seeds = 8 if long else 3
    for seed in range(seeds):
        fleet = VirtualFleet(7, loss=LOSS, seed=seed)
        fleet.run(fleet.now + LOSS_SECONDS)
        deaths += len(fleet.deaths)
    rows = [
        (
            f"{size} boxes: notice, bytes a second, core share of a box",
            f"{notice:.2f} s, {sent:.0f}, {cpu:.2%}",
        )
        for size, (notice, sent, cpu) in real.items()
    ]
    hours = seeds * LOSS_SECONDS * 7 / 3600
    rows.append((f"false deaths at {LOSS:.0%} loss in {hours:.1f} box hours", str(deaths)))
    sizes = [float(size) for size in REAL_SIZES]
    return Report(
        "fleet",
        0,
        "the smallest fleet",
        {
            "detect_s": real[7][0],
            "detect_s_30": real[30][0],
            "false_deaths": float(deaths),
            "bytes_per_s_7": real[7][1],
            "bytes_per_s_30": real[30][1],
            "cpu_share_30": real[30][2],
        },
        {"boxes": sum(REAL_SIZES), "seeds": seeds},
        rows,
        [
            Series("bytes a second", sizes, [real[size][1] / real[3][1] for size in REAL_SIZES]),
            Series("core share", sizes, [real[size][2] / real[3][2] for size in REAL_SIZES]),
        ],
        "boxes",
        "over three boxes",
    )
