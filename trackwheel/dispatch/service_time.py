"""Estimated service time of a target, from measured requests (seconds)."""

from trackwheel.dispatch.const import DEFAULT_SERVICE_S, LIKELY_DEVIATIONS, SERVICE_TIME_SMOOTHING
from trackwheel.stalls import STALL_FACTOR, StallFilter


class ServiceTime:
    """Estimate the service time of one target."""

    def __init__(self) -> None:
        self._stalls = StallFilter()
        self._deviation_s = 0.0
        self._measured = False
        self._unconfirmed_s = 0.0
        self.mean_s = DEFAULT_SERVICE_S
        self.learnt_at = float("-inf")

    @property
    def likely_s(self) -> float:
        """Return a service time that most requests do not exceed (seconds)."""
        return self.mean_s + LIKELY_DEVIATIONS * self._deviation_s

    @property
    def stall_threshold_s(self) -> float:
        """Return the service time above which a request counts as stalled (seconds).

        A slow first request may have been delayed by a pause, so the mean keeps its default
        until a second request is measured. The first one raises the threshold until then.
        """
        return STALL_FACTOR * max(self.mean_s, self._unconfirmed_s)

    def add(self, started: float, service_s: float, now: float) -> float | None:
        """Add a finished request; return the time added to the estimate, None if it was ignored."""
        sample_s = self._stalls.admit(started, service_s, self.mean_s, now)
        if not self._measured and sample_s != service_s:
            self._unconfirmed_s = max(self._unconfirmed_s, service_s)
            return None
        if sample_s is None:
            return None
        if not self._measured:
            # Either of the first two requests may have been delayed by a pause.
            sample_s = min(sample_s, self._unconfirmed_s or sample_s)
            self._measured = True
            self._unconfirmed_s = 0.0
            self.mean_s = sample_s
        self.learnt_at = now
        deviation_s = abs(sample_s - self.mean_s)
        self._deviation_s += SERVICE_TIME_SMOOTHING * (deviation_s - self._deviation_s)
        self.mean_s += SERVICE_TIME_SMOOTHING * (sample_s - self.mean_s)
        return sample_s

    def replace(self, service_s: float) -> None:
        """Replace the estimate by a single service time."""
        self.mean_s = service_s
        self._deviation_s = 0.0
        self._stalls.reset()
