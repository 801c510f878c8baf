"""For how long targets stay as slow as they say that they are, learnt from what they say next."""

from math import exp2, log
from typing import Final

FIRST_SPAN_S: Final = 0.25
"""What a slow span is thought to last before any was seen to end; a few spans outweigh it."""
FORGET: Final = 0.98
"""How much of what was seen before counts beside a new telling: some fifty of them."""
SLOW: Final = 1.2
"""A target that takes this many times as long as usual is slow."""


class SlowSpans:
    """Follow all targets together: their machines have neighbours of one kind."""

    def __init__(self) -> None:
        self._seen_s = FIRST_SPAN_S
        self._ended = 1.0

    def told(self, before: float, after: float, gap_s: float) -> None:
        """Take how slow a target was and is now, and the time between (seconds)."""
        if before < SLOW:
            return
        self._seen_s = self._seen_s * FORGET + gap_s
        self._ended *= FORGET
        if after - 1.0 < (before - 1.0) / 2.0:
            self._ended += 1.0

    def now(self, told: float, age_s: float) -> float:
        """Return how slow a target is thought to be that said so a while ago (seconds)."""
        half_life_s = log(2.0) * self._seen_s / max(self._ended, 1e-3)
        return 1.0 + (told - 1.0) * exp2(-age_s / half_life_s)
