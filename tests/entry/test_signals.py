"""Signals that come while a box is loaded."""

import subprocess
import sys

import pytest

# A process of its own: threads that other tests have left would take the signals instead.
LOADING = """
import os, signal, sys
from trackwheel.entry.signals import keep_signals, take_signals
number = signal.Signals[sys.argv[1]]
signal.signal(number, lambda *_: print("taken", flush=True))
keep_signals()
os.kill(os.getpid(), number)
print("loaded", flush=True)
take_signals()
"""


@pytest.mark.parametrize("name", ["SIGHUP", "SIGTERM", "SIGINT"])
def test_signals_wait_until_they_are_taken(name: str) -> None:
    run = subprocess.run(
        [sys.executable, "-c", LOADING, name], capture_output=True, text=True, check=True
    )
    assert run.stdout.split() == ["loaded", "taken"]
