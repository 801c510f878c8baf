"""Checking an apply among very many files: it costs what changed, and blocks nobody for long."""

import time

import pytest

from bench.slopes import keeper_with
from trackwheel.files.models import Manifest
from trackwheel.files.parse import parse_file
from trackwheel.ini import InvalidIniError

FILES = 1000


def file_text(number: int, address: str) -> bytes:
    return (
        f"[file]\nname = f{number}\n[service s{number}]\nslots = 2\nconnections = 25\n"
        f"deadline = 70ms\n[targets s{number}]\n0 = r/r-a/{address}\n"
    ).encode()


def test_check_of_an_apply_parses_only_what_changed() -> None:
    """Parsing a thousand files anew would stop the box's queries for a second or more."""
    keeper, manifest, _ = keeper_with(FILES)
    file = parse_file("file", file_text(7, "10.200.0.1:9000"))
    started = time.process_time()
    assert keeper.changed(manifest) == {}
    keeper.check({file.name: file})
    assert time.process_time() - started < 0.1


def test_target_of_another_file_is_found() -> None:
    keeper, manifest, _ = keeper_with(20)
    file = parse_file("file", file_text(7, "10.0.8.3:9000"))
    with pytest.raises(InvalidIniError, match="stands twice"):
        keeper.check({file.name: file})
    keeper.check({file.name: parse_file("file", file_text(7, "10.0.7.3:9000"))})


def test_file_that_the_manifest_lacks_counts_as_taken_out() -> None:
    keeper, manifest, _ = keeper_with(20)
    entries = {name: entry for name, entry in manifest.entry_by_name.items() if name != "f8"}
    changed = keeper.changed(Manifest(21, entries, ()))
    assert changed == {"f8": None}
    file = parse_file("file", file_text(7, "10.0.8.3:9000"))
    keeper.check({"f8": None, file.name: file})
