"""Signals that come while a box is loaded."""

import os
import signal

from trackwheel.entry.signals import keep_signals, take_signals


def test_signals_wait_until_they_are_taken() -> None:
    got: list[int] = []
    before = signal.signal(signal.SIGHUP, lambda number, _: got.append(number))
    try:
        keep_signals()
        os.kill(os.getpid(), signal.SIGHUP)
        assert not got
        take_signals()
        assert got == [signal.SIGHUP]
    finally:
        take_signals()
        signal.signal(signal.SIGHUP, before)
