"""The search for garbage, set for a process that runs long."""

import gc
from typing import Final

GC_THRESHOLD: Final = 20_000
"""Objects made before garbage is looked for; the default of 700 is meant for small programs."""


def tune_garbage_collection() -> None:
    """Leave what was loaded so far out of the search for garbage.

    It lives as long as the box; looking through it again and again would stop the box for
    tens of milliseconds each time.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, *gc.get_threshold()[1:])
