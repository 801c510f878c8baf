"""Planned stop, killed box and leaving target under load."""

import asyncio
import signal
import time

from bench.load import Callers, run_queries
from bench.report import Report
from bench.setting import SERVICE, small_setting
from standins.file_maker import ServiceShape

RATE = 50.0


def measure(long: bool) -> Report:
    """Stop one box as planned, let one target leave, then kill one box, all under load."""
    seconds = 6.0 * (3 if long else 1)
    service = ServiceShape(SERVICE, 10, 2, slots=4, deadline="400ms", wait="400ms")
    with small_setting(5, service) as (fleet, targets):
        addresses = [box.callers for box in fleet.boxes]
        calm = run_queries(addresses, "clerks", SERVICE, RATE, 3.0)
        leaving_box, killed_box = fleet.boxes[4], fleet.boxes[3]

        async def stop(callers: Callers) -> None:
            await asyncio.sleep(1.0)
            fleet.signal_box(leaving_box, signal.SIGTERM)
            await asyncio.sleep(1.0)
            callers.set_addresses(addresses[:4])

        stopped = run_queries(addresses, "clerks", SERVICE, RATE, seconds, stop)
        leaving_target = targets[3][0]
        first_sign = time.time()
        fleet.control(leaving_target, draining=True)
        leaving = run_queries(addresses[:4], "clerks", SERVICE, RATE, seconds)
        last_new_work = max(0.0, fleet.counts(leaving_target)["last_new_work"] - first_sign)
        killed_at: list[float] = []

        async def kill(callers: Callers) -> None:
            await asyncio.sleep(1.0)
            killed_at.append(time.monotonic())
            fleet.signal_box(killed_box, signal.SIGKILL)

        killed = run_queries(addresses[:3], "clerks", SERVICE, RATE, seconds, kill)
    calm_p99 = calm.percentile(0.99)
    late_ends = [
        at - killed_at[0]
        for at, took in zip(killed.ended_at, killed.latencies_s, strict=True)
        if at > killed_at[0] and took > 2 * calm_p99
    ]
    refused = sum(stopped.codes.values())
    figures = {
        "cut_off": float(len(stopped.cut_off)),
        "refused": float(refused),
        "last_new_work_s": last_new_work,
        "owner_gap_s": max(late_ends, default=0.0),
        "killed_box_refused": float(sum(killed.codes.values())),
        "killed_box_p99_ratio": killed.percentile(0.99) / calm_p99,
    }
    rows = [
        (
            "planned stop: answered / refused / cut off",
            f"{stopped.answered} / {refused} / {len(stopped.cut_off)}",
        ),
        ("leaving target: last new work after first sign", f"{last_new_work:.2f} s"),
        (
            "leaving target: answered / refused",
            f"{leaving.answered} / {sum(leaving.codes.values())}",
        ),
        ("killed box: answered / refused", f"{killed.answered} / {sum(killed.codes.values())}"),
        ("killed box: last slow answer after it", f"{figures['owner_gap_s']:.2f} s"),
        (
            "p99 calm / killed box",
            f"{calm_p99 * 1000:.0f} / {killed.percentile(0.99) * 1000:.0f} ms",
        ),
    ]
    samples = {"stopped": stopped.answered, "leaving": leaving.answered, "killed": killed.answered}
    return Report("drain", 0, "the same load on a calm fleet", figures, samples, rows, [])
