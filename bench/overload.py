"""Goodput at several times the capacity, and work done for answers that came too late."""

import time
from typing import Any

from bench.load import Results, run_queries
from bench.report import Report, Series
from bench.setting import SERVICE, small_setting
from standins.file_maker import ServiceShape
from standins.fleet import SmallFleet

INSTANCES = 10
SERVICE_MS = 40.0
CAPACITY = 2 * 2 / (SERVICE_MS / 1000)
LOADS = (1.0, 2.0, 3.0, 5.0)
SECONDS = 6.0
SETTLE_S = 3.0


def target_totals(fleet: SmallFleet, targets: list[list[str]]) -> dict[str, float]:
    """Return the sums of what all targets have counted."""
    totals: dict[str, float] = {}
    for instance in targets:
        for address in instance:
            counts: dict[str, Any] = fleet.counts(address)
            for name in ("queries", "finished", "cancelled", "slot_s"):
                totals[name] = totals.get(name, 0.0) + counts[name]
    return totals


def good_in(results: Results, start: float, end: float, deadline_s: float) -> int:
    """Return how many whole answers in time ended between two times."""
    ended = zip(results.ended_at, results.latencies_s, strict=True)
    return sum(start <= at < end and took <= deadline_s * 1.1 for at, took in ended)


def measure(long: bool) -> Report:
    """Offer one to five times the capacity of a service and count answers in time."""
    seconds = SECONDS * (3 if long else 1)
    deadline_s = 0.3
    service = ServiceShape(
        SERVICE, INSTANCES, 2, slots=2, deadline="300ms", wait="300ms", extra_load="0.05"
    )
    goodput: dict[float, float] = {}
    useless: dict[float, float] = {}
    p99: dict[float, float] = {}
    refusal_ms: dict[float, float] = {}
    rows = []
    with small_setting(3, service, service_ms=SERVICE_MS) as (fleet, targets):
        addresses = [box.callers for box in fleet.boxes]
        run_queries(addresses, "clerks", SERVICE, CAPACITY * 0.5, 3.0)
        for load in LOADS:
            before = target_totals(fleet, targets)
            started = time.monotonic()
            rate = CAPACITY * load * (0.9 if load == 1.0 else 1.0)
            results = run_queries(addresses, "clerks", SERVICE, rate, seconds + SETTLE_S)
            after = target_totals(fleet, targets)
            window = (started + SETTLE_S, started + SETTLE_S + seconds)
            goodput[load] = good_in(results, *window, deadline_s) / seconds
            ran = after["finished"] + after["cancelled"] - before["finished"] - before["cancelled"]
            useful = results.answered * INSTANCES
            useless[load] = max(0.0, ran - useful) / max(1.0, ran)
            p99[load] = results.percentile(0.99) * 1000
            refused = sorted(results.refused_s)
            refusal_ms[load] = refused[len(refused) // 2] * 1000 if refused else 0.0
            rows.append(
                (
                    f"load {load:.0f} x: goodput, useless, p99, refusal p50",
                    f"{goodput[load]:.1f}/s, {useless[load]:.1%}, {p99[load]:.0f} ms, "
                    f"{refusal_ms[load]:.0f} ms",
                )
            )
    base = goodput[1.0]
    return Report(
        "overload",
        0,
        f"goodput at 0.9 x of the capacity of {CAPACITY:.0f}/s",
        {
            "goodput_ratio_2x": goodput[2.0] / base,
            "goodput_ratio_3x": goodput[3.0] / base,
            "goodput_ratio_5x": goodput[5.0] / base,
            "useless_share": max(useless[load] for load in LOADS[1:]),
            "goodput_over_capacity_3x": goodput[3.0] / CAPACITY,
        },
        {f"answers_{load:.0f}x": int(goodput[load] * seconds) for load in LOADS},
        rows,
        [Series("goodput", list(LOADS), [goodput[load] for load in LOADS])],
        "offered load over capacity",
        "answers in time a second",
    )
