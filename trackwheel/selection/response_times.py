"""Typical and high response times of routes, for near and far targets."""

from collections import deque

from trackwheel.selection.const import (
    HIGH_RESPONSE_TIME_QUANTILE,
    INITIAL_RESPONSE_TIME_SHARE,
    RESPONSE_TIME_REFRESH_SAMPLES,
    RESPONSE_TIME_SAMPLES,
)


class ResponseTimeQuantiles:
    """Median and high quantile of the last response times (seconds)."""

    def __init__(self, aim_s: float) -> None:
        """Initialize with guesses for a route with the target latency `aim_s`."""
        self._samples: deque[float] = deque(maxlen=RESPONSE_TIME_SAMPLES)
        self._new = 0
        self.usual_s = aim_s * INITIAL_RESPONSE_TIME_SHARE
        self.high_s = aim_s

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
            self.high_s = ordered[int(len(ordered) * HIGH_RESPONSE_TIME_QUANTILE)]


class ResponseTimes:
    """Response times by route and distance."""

    def __init__(self) -> None:
        self._quantiles_by_key: dict[tuple[str, bool], ResponseTimeQuantiles] = {}

    def get(self, route: str, far: bool, aim_s: float) -> ResponseTimeQuantiles:
        """Return the response times of a route's near or far targets."""
        quantiles = self._quantiles_by_key.get((route, far))
        if quantiles is None:
            quantiles = self._quantiles_by_key[(route, far)] = ResponseTimeQuantiles(aim_s)
        return quantiles
