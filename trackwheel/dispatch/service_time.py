"""How long a target takes for a request, learnt from answers (seconds)."""

from trackwheel.dispatch.const import DEFAULT_SERVICE_S, LIKELY_DEVIATIONS, SMOOTHING
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
        """Return a service time that most requests stay under (seconds)."""
        return self.mean_s + LIKELY_DEVIATIONS * self._deviation_s

    @property
    def stall_s(self) -> float:
        """Return from which time on a request has stalled (seconds).

        The first answer may have met a pause, and the mean is a guess until the second one.
        """
        return STALL_FACTOR * max(self.mean_s, self._unconfirmed_s)

    def add(self, started: float, service_s: float, now: float) -> float | None:
        """Take a finished request; return the time that was learnt from it, None for none."""
        learnt_s = self._stalls.admit(started, service_s, self.mean_s, now)
        if not self._measured and learnt_s != service_s:
            self._unconfirmed_s = max(self._unconfirmed_s, service_s)
            return None
        if learnt_s is None:
            return None
        if not self._measured:
            self._measured = True
            self._unconfirmed_s = 0.0
            self.mean_s = learnt_s
        self.learnt_at = now
        deviation_s = abs(learnt_s - self.mean_s)
        self._deviation_s += SMOOTHING * (deviation_s - self._deviation_s)
        self.mean_s += SMOOTHING * (learnt_s - self.mean_s)
        return learnt_s

    def replace(self, service_s: float) -> None:
        """Take a service time in place of all that was learnt."""
        self.mean_s = service_s
        self._deviation_s = 0.0
        self._stalls.forget()
