"""Run a box as `python -m trackwheel.entry`, with the settings file that the platform specifies."""

import os
from pathlib import Path

from trackwheel.clock import steady_now
from trackwheel.entry.deferred_modules import defer_modules
from trackwheel.entry.signals import block_signals

if __name__ == "__main__":
    block_signals()
    blocked_at = steady_now()
    defer_modules()

    from trackwheel.entry.run import run_entry
    from trackwheel.platform.settings import SETTINGS_VARIABLE

    run_entry(Path(os.environ[SETTINGS_VARIABLE]), blocked_at)
