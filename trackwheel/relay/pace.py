"""How long answers of a route usually take, near and far."""

from collections import deque

from trackwheel.relay.const import (
    INITIAL_RESPONSE_TIME_SHARE,
    RESPONSE_TIME_REFRESH_SAMPLES,
    RESPONSE_TIME_SAMPLES,
)


class Pace:
    """Keep the usual time of one route's answers (seconds)."""

    def __init__(self, first_guess_s: float) -> None:
        self._samples: deque[float] = deque(maxlen=RESPONSE_TIME_SAMPLES)
        self._new = 0
        self.usual_s = first_guess_s

    def add(self, duration_s: float) -> None:
        """Take the time of one good answer."""
        self._samples.append(duration_s)
        self._new += 1
        if (
            self._new >= RESPONSE_TIME_REFRESH_SAMPLES
            or len(self._samples) < RESPONSE_TIME_REFRESH_SAMPLES
        ):
            self._new = 0
            ordered = sorted(self._samples)
            self.usual_s = ordered[len(ordered) // 2]


class Paces:
    """Keep a pace for each route and distance."""

    def __init__(self) -> None:
        self._pace_by_key: dict[tuple[str, bool], Pace] = {}

    def get(self, route: str, far: bool, aim_s: float) -> Pace:
        """Return the pace of a route towards near or far targets."""
        pace = self._pace_by_key.get((route, far))
        if pace is None:
            pace = self._pace_by_key[(route, far)] = Pace(aim_s * INITIAL_RESPONSE_TIME_SHARE)
        return pace
