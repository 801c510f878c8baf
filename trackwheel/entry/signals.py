"""The signals that a box takes, kept until it can take them."""

import signal
from typing import Final

SIGNALS: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
"""By default each of these ends a process with requests under way."""


def keep_signals() -> None:
    """Let signals wait while the program is loaded, which takes some 0.3 s of processor time."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def take_signals() -> None:
    """Let signals come, those that have waited at once."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
