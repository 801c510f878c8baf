"""Typical response times of routes, for near and far targets."""

from collections import deque

from trackwheel.selection.const import (
    INITIAL_RESPONSE_TIME_SHARE,
    RESPONSE_TIME_REFRESH_SAMPLES,
    RESPONSE_TIME_SAMPLES,
)


class MedianResponseTime:
    """Median of the last response times (seconds)."""

    def __init__(self, first_guess_s: float) -> None:
        self._samples: deque[float] = deque(maxlen=RESPONSE_TIME_SAMPLES)
        self._new = 0
        self.usual_s = first_guess_s

    def add(self, duration_s: float) -> None:
        """Add the response time of one successful answer."""
        self._samples.append(duration_s)
        self._new += 1
        if (
            self._new >= RESPONSE_TIME_REFRESH_SAMPLES
            or len(self._samples) < RESPONSE_TIME_REFRESH_SAMPLES
        ):
            self._new = 0
            ordered = sorted(self._samples)
            self.usual_s = ordered[len(ordered) // 2]


class ResponseTimes:
    """Median response times by route and distance."""

    def __init__(self) -> None:
        self._median_by_key: dict[tuple[str, bool], MedianResponseTime] = {}

    def get(self, route: str, far: bool, aim_s: float) -> MedianResponseTime:
        """Return the median response time of a route's near or far targets."""
        median = self._median_by_key.get((route, far))
        if median is None:
            median = self._median_by_key[(route, far)] = MedianResponseTime(
                aim_s * INITIAL_RESPONSE_TIME_SHARE
            )
        return median
