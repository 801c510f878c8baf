"""A small fleet for measurements: boxes and targets of one service as separate processes."""

import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from itertools import chain
from pathlib import Path

from standins.file_maker import GroupShape, ServiceShape, render_file
from standins.fleet import SmallFleet, free_ports

SERVICE = "ledger"
GROUPS = [GroupShape("clerks", "1", SERVICE), GroupShape("drivers", "3", SERVICE)]


def places(count: int, domains: int = 2) -> list[tuple[str, str]]:
    """Return places for boxes, all in one region, in turn over failure domains."""
    return [("here", f"here-{'abcdefgh'[number % domains]}") for number in range(count)]


def targets_in(path: Path) -> list[list[str]]:
    """Return the addresses of the targets in an operators' file by instance."""
    lines = [line for line in path.read_text().splitlines() if "127.0.0.1:" in line]
    return [
        [word.strip().split("/")[2] for word in line.split("=")[1].split(",")] for line in lines
    ]


@contextmanager
def small_setting(
    boxes: int,
    service: ServiceShape,
    groups: list[GroupShape] | None = None,
    service_ms: float = 4.0,
    target_processes: int = 2,
    fleet_settings: str = "",
) -> Iterator[tuple[SmallFleet, list[list[str]]]]:
    """Run boxes and targets with one file in force; give the fleet and the targets."""
    count = service.instances * service.targets_each
    with tempfile.TemporaryDirectory(prefix="trackwheel-bench-") as folder:
        path = Path(folder) / "bench.ini"
        ports = chain(free_ports(count))
        path.write_text(render_file("bench", groups or GROUPS, [service], ports))
        options = [f"--service-ms={service_ms}"]
        with SmallFleet(
            places(boxes), [path], options, target_processes, fleet_settings=fleet_settings
        ) as fleet:
            report = fleet.apply(path)
            if report["outcome"] != "accepted":
                raise RuntimeError(f"the file was not accepted: {report}")
            yield fleet, targets_in(path)
