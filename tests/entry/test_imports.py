"""What a box imports until it serves: each module costs memory on every box and time at its start.

Guards against longer waits after the loss of all boxes, when each first imports what it never uses.
"""

import os
import subprocess
import sys
import sysconfig
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
SHOW_IMPORTS = """\
import sys
from trackwheel.entry.deferred_modules import defer_modules
defer_modules()
import trackwheel.entry.run, uvloop, anyio._backends._asyncio
print(*(name for name, module in sys.modules.items() if getattr(module, "__spec__", None)))
"""
USE_DEFERRED = """\
from trackwheel.entry.deferred_modules import defer_modules
defer_modules()
import importlib.metadata
import urllib.request
from importlib.metadata import version
assert callable(version) and callable(importlib.metadata.files)
assert urllib.request.Request("http://h.example/").host == "h.example"
print(importlib.metadata.__spec__.name, urllib.request.__spec__.name)
"""
UNUSED = (
    "aiohttp",
    "configparser",
    "cryptography",
    "docopt",
    "http.client",
    "httpx",
    "importlib.metadata",
    "logbook",
    "trackwheel.app",
    "trackwheel.dispatch",
    "trackwheel.gateway",
    "trackwheel.ini",
    "trackwheel.settings",
    "trackwheel.storage.clients",
    "trackwheel.tls",
    "urllib.request",
    "zipfile",
)


def run_bare(code: str) -> list[str]:
    """Run code as the platform starts a box, and return the words that it prints."""
    path = f"{sysconfig.get_path('purelib')}:{ROOT}"
    return subprocess.run(
        [sys.executable, "-S", "-c", code],
        env={**os.environ, "PYTHONPATH": path},
        check=True,
        capture_output=True,
        text=True,
    ).stdout.split()


@pytest.fixture(scope="module")
def imported() -> set[str]:
    """Return the names of the modules that a box has imported when it begins to serve."""
    return set(run_bare(SHOW_IMPORTS))


@pytest.mark.parametrize("name", UNUSED)
def test_unused_module_is_not_imported(name: str, imported: set[str]) -> None:
    assert "trackwheel.entry.box" in imported
    assert name not in imported


def test_deferred_module_is_loaded_at_its_first_use() -> None:
    assert run_bare(USE_DEFERRED) == ["importlib.metadata", "urllib.request"]
