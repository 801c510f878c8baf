"""The signals that a box handles, blocked until their handlers are installed."""

import signal
from typing import Final

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
SIGNALS: Final = (*STOP_SIGNALS, signal.SIGHUP)
"""Signals whose default action terminates the process, with requests in flight."""


def block_signals() -> None:
    """Block signals while modules are imported, which takes about 0.3 s of CPU time."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def is_stop_pending() -> bool:
    """Return whether a stop signal has arrived while signals were blocked."""
    return not signal.sigpending().isdisjoint(STOP_SIGNALS)


def unblock_signals() -> None:
    """Unblock signals; pending ones are delivered at once."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
