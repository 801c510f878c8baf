"""From an apply to in force on the last box, and the calls on the store that it costs."""

import tempfile
import time
from itertools import chain
from pathlib import Path

from bench.report import Report, Series
from bench.setting import SERVICE, places
from standins.file_maker import GroupShape, ServiceShape, render_file
from standins.fleet import SmallFleet, free_ports

SIZES = (3, 7, 15, 30)
CHANGES = 8


def _one_size(boxes: int, changes: int) -> tuple[list[float], float, float]:
    """Return the times of some applies, and store calls for each change and a second at rest."""
    with tempfile.TemporaryDirectory(prefix="trackwheel-config-") as folder:
        path = Path(folder) / "bench.ini"
        service = ServiceShape(SERVICE, 2, 1)
        times: list[float] = []
        with SmallFleet(places(boxes, 3), []) as fleet:
            ports = free_ports(2)
            before = 0
            for number in range(changes + 1):
                groups = [GroupShape("clerks", str(number + 1), SERVICE)]
                path.write_text(render_file("bench", groups, [service], chain(ports)))
                started = time.monotonic()
                report = fleet.apply(path, fleet.boxes[number % boxes])
                took_s = time.monotonic() - started
                if report.get("not_confirmed") != []:
                    raise RuntimeError(f"not in force everywhere: {report}")
                if number == 0:
                    before = fleet.counts(fleet.key_value)["calls"]
                else:
                    times.append(took_s)
                time.sleep(0.05)
            calls = (fleet.counts(fleet.key_value)["calls"] - before) / changes
            rest = fleet.counts(fleet.key_value)["calls"]
            time.sleep(3.0)
            at_rest = (fleet.counts(fleet.key_value)["calls"] - rest) / 3.0
        return sorted(times), calls, at_rest


def measure(long: bool) -> Report:
    """Apply changes to fleets of several sizes."""
    changes = CHANGES * (5 if long else 1)
    results = {size: _one_size(size, changes) for size in SIZES}
    rows = [
        (
            f"{size} boxes: p50 / last, store calls a change, a second at rest",
            f"{times[len(times) // 2] * 1000:.0f} / {times[-1] * 1000:.0f} ms, "
            f"{calls:.1f}, {rest:.2f}",
        )
        for size, (times, calls, rest) in results.items()
    ]
    seven, thirty = results[7], results[30]
    return Report(
        "config",
        0,
        "the smallest fleet",
        {
            "p50_s": seven[0][len(seven[0]) // 2],
            "p99_s": seven[0][-1],
            "p99_s_30": thirty[0][-1],
            "store_calls_per_change_7": seven[1],
            "store_calls_per_change_30": thirty[1],
        },
        {f"changes_{size}": len(times) for size, (times, _, _) in results.items()},
        rows,
        [
            Series("p50", list(map(float, SIZES)), [results[s][0][changes // 2] for s in SIZES]),
            Series("last", list(map(float, SIZES)), [results[s][0][-1] for s in SIZES]),
        ],
        "boxes",
        "seconds until in force on the last box",
    )
