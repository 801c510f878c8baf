"""Fixtures shared by several test packages."""

import itertools
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.file_maker import GroupShape, ServiceShape, render_file
from standins.fleet import SmallFleet, free_ports

PLACES = [("here", "here-a"), ("here", "here-b"), ("here", "here-a")]


def write_file(
    folder: Path,
    services: list[ServiceShape],
    groups: list[GroupShape] | None = None,
    name: str = "test",
) -> Path:
    """Write an operators' file whose targets listen on free ports."""
    count = sum(service.instances * service.targets_each for service in services)
    names = ", ".join(service.name for service in services)
    groups = groups or [GroupShape("clerks", "1", names), GroupShape("drivers", "3", names)]
    path = folder / f"{name}.ini"
    path.write_text(render_file(name, groups, services, itertools.chain(free_ports(count))))
    return path


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[SmallFleet]:
    """Run three boxes, and a service of six instances with two targets each, its file in force."""
    path = write_file(tmp_path_factory.mktemp("files"), [ServiceShape("ledger", 6, 2)])
    with SmallFleet(PLACES, [path]) as started_fleet:
        report = started_fleet.apply(path)
        assert report["outcome"] == "accepted", report
        yield started_fleet
