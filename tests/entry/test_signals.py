"""Tests of signals that arrive while a box is starting."""

import subprocess
import sys

import pytest

# Runs in a separate process: threads left by other tests would receive the signals instead.
SCRIPT = """
import os, signal, sys
from trackwheel.entry.signals import block_signals, is_stop_pending, unblock_signals
signal_number = signal.Signals[sys.argv[1]]
signal.signal(signal_number, lambda *_: print("taken", flush=True))
block_signals()
os.kill(os.getpid(), signal_number)
print("loaded", is_stop_pending(), flush=True)
unblock_signals()
"""


@pytest.mark.parametrize(
    ("name", "stops"), [("SIGHUP", False), ("SIGTERM", True), ("SIGINT", True)]
)
def test_signals_are_pending_until_unblocked(name: str, stops: bool) -> None:
    run = subprocess.run(
        [sys.executable, "-c", SCRIPT, name], capture_output=True, text=True, check=True
    )
    assert run.stdout.split() == ["loaded", str(stops), "taken"]
