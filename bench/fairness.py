"""Each group's slot time against its max-min share at three times the capacity."""

import asyncio
import time
from typing import Final

from bench.load import Callers, Results, open_stream
from bench.one_target import max_min_shares
from bench.report import Report, Series
from bench.setting import SERVICE, small_setting
from standins.file_maker import GroupShape, ServiceShape
from standins.fleet import SmallFleet

SERVICE_MS = 20.0
INSTANCES = 4
CAPACITY = 2 * 2 / (SERVICE_MS / 1000)
SECONDS = 10.0
SETTLE_S = 4.0
SHARE_BY_GROUP: Final = {"one": 1.0, "two": 2.0, "five": 5.0, "greedy": 1.0, "small": 1.0}
DEMAND_BY_GROUP: Final = {"one": 0.5, "two": 0.6, "five": 0.8, "greedy": 1.07, "small": 0.03}
"""What groups ask for, in parts of the capacity: three times it in all."""


def slot_seconds(fleet: SmallFleet, targets: list[list[str]]) -> dict[str, float]:
    """Return the slot time that each group has used on all targets."""
    used = dict.fromkeys(SHARE_BY_GROUP, 0.0)
    for instance in targets:
        for address in instance:
            for group, seconds in fleet.counts(address)["slot_s_by_group"].items():
                used[group] = used.get(group, 0.0) + seconds
    return used


def share_errors(used: dict[str, float]) -> dict[str, float]:
    """Return how far each group's part of the slot time lies from its max-min share."""
    total = sum(used.values())
    demands = {group: (DEMAND_BY_GROUP[group], SHARE_BY_GROUP[group]) for group in SHARE_BY_GROUP}
    wanted = max_min_shares(1.0, demands)
    scale = sum(wanted.values())
    return {group: used[group] / total - wanted[group] / scale for group in SHARE_BY_GROUP}


def measure(long: bool) -> Report:
    """Run five groups at three times the capacity through three boxes."""
    seconds = SECONDS * (3 if long else 1)
    service = ServiceShape(SERVICE, INSTANCES, 2, slots=2, deadline="300ms", wait="300ms")
    groups = [GroupShape(name, str(share), SERVICE) for name, share in SHARE_BY_GROUP.items()]
    results = {group: Results() for group in SHARE_BY_GROUP}
    marks: list[dict[str, float]] = []
    with small_setting(3, service, groups, SERVICE_MS) as (fleet, targets):

        async def main() -> None:
            callers = Callers([box.callers for box in fleet.boxes])

            async def watch() -> None:
                for wait_s in (SETTLE_S, seconds):
                    await asyncio.sleep(wait_s)
                    marks.append(await asyncio.to_thread(slot_seconds, fleet, targets))

            streams = [
                open_stream(
                    lambda group=group: callers.query(group, SERVICE, results[group]),  # type: ignore[misc]
                    CAPACITY * demand,
                    SETTLE_S + seconds,
                )
                for group, demand in DEMAND_BY_GROUP.items()
            ]
            await asyncio.gather(watch(), *streams)
            await callers.close()

        started = time.monotonic()
        asyncio.run(main())
        took_s = time.monotonic() - started
    used = {group: marks[1][group] - marks[0][group] for group in SHARE_BY_GROUP}
    errors = share_errors(used)
    answered = sum(result.answered for result in results.values())
    rows = [
        (
            f"group {group}: share of slot time, error",
            f"{used[group] / sum(used.values()):.3f}, {errors[group]:+.3f}",
        )
        for group in SHARE_BY_GROUP
    ]
    rows.append(("answers a second of a capacity", f"{answered / took_s:.0f} of {CAPACITY:.0f}"))
    numbers = [float(number) for number in range(len(errors))]
    return Report(
        "fairness",
        0,
        "max-min shares of the slot time used",
        {
            "worst_share_error": max(abs(error) for error in errors.values()),
            "used_over_capacity": sum(used.values()) / (INSTANCES * 2 * 2 * seconds),
        },
        {"answers": answered},
        rows,
        [
            Series("used", numbers, [used[g] / sum(used.values()) for g in SHARE_BY_GROUP]),
            Series(
                "max-min share",
                numbers,
                [used[g] / sum(used.values()) - errors[g] for g in SHARE_BY_GROUP],
            ),
        ],
        "group",
        "part of slot time",
    )
