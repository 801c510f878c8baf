"""Straight lines through measured points, and quiet timing of small pieces of work."""

import time
from collections.abc import Callable, Sequence
from typing import NamedTuple


class Fit(NamedTuple):
    """Hold a line and the largest distance of a point from it, as a part of that point."""

    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * size


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Return the line of least squares through the points."""
    count = len(sizes)
    mean_x, mean_y = sum(sizes) / count, sum(values) / count
    spread = sum((x - mean_x) ** 2 for x in sizes)
    pairs = list(zip(sizes, values, strict=True))
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
    intercept = mean_y - slope * mean_x
    residual = max(abs(y - intercept - slope * x) / abs(y) if y else 0.0 for x, y in pairs)
    return Fit(slope, intercept, residual)


def cpu_of(work: Callable[[], object], least_s: float = 0.15, rounds: int = 3) -> float:
    """Return the processor time of one call (seconds): the best of some rounds."""
    best = float("inf")
    for _ in range(rounds):
        calls = 0
        started = time.process_time()
        while time.process_time() - started < least_s / rounds:
            work()
            calls += 1
        best = min(best, (time.process_time() - started) / calls)
    return best
