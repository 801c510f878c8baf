"""Run a box as `python -m trackwheel.entry`, with the settings file that the platform names."""

import os
from pathlib import Path

from trackwheel.entry.signals import keep_signals

if __name__ == "__main__":
    keep_signals()

    from trackwheel.entry.run import run_entry
    from trackwheel.platform.settings import SETTINGS_VARIABLE

    run_entry(Path(os.environ[SETTINGS_VARIABLE]))
