"""Run a box as `python -m trackwheel.entry`, with the settings file that the platform names."""

import signal

# A hang-up that comes while the modules are loaded would end the process by default.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import os  # noqa: E402
from pathlib import Path  # noqa: E402

from trackwheel.entry.run import run_entry  # noqa: E402
from trackwheel.platform.settings import SETTINGS_VARIABLE  # noqa: E402

if __name__ == "__main__":
    run_entry(Path(os.environ[SETTINGS_VARIABLE]))
