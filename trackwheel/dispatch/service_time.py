"""How long a target takes for a request, learnt from answers (seconds)."""

from trackwheel.dispatch.const import (
    DEFAULT_SERVICE_S,
    LIKELY_DEVIATIONS,
    SMOOTHING,
    STALL_FACTOR,
)


class ServiceTime:
    """Estimate the service time of one target.

    A process that pauses delays every request under way by the same pause. Requests that overlap
    one stalled answer are therefore one observation, which counts with a bounded weight; a target
    has become slower only when a request that began after a stalled answer is stalled as well.
    """

    def __init__(self) -> None:
        self.mean_s = DEFAULT_SERVICE_S
        self._deviation_s = 0.0
        self._measured = False
        self._stalled_at: float | None = None
        self.learnt_at = float("-inf")

    @property
    def likely_s(self) -> float:
        """Return a service time that most requests stay under (seconds)."""
        return self.mean_s + LIKELY_DEVIATIONS * self._deviation_s

    def add(self, started: float, service_s: float, now: float) -> float | None:
        """Take a finished request; return the time that was learnt from it, None for none."""
        learnt_s = self._bounded(started, service_s, now)
        if learnt_s is None:
            return None
        self.learnt_at = now
        if not self._measured:
            self._measured = True
            self.mean_s = learnt_s
        deviation_s = abs(learnt_s - self.mean_s)
        self._deviation_s += SMOOTHING * (deviation_s - self._deviation_s)
        self.mean_s += SMOOTHING * (learnt_s - self.mean_s)
        return learnt_s

    def replace(self, service_s: float) -> None:
        """Take a service time in place of all that was learnt."""
        self.mean_s = service_s
        self._deviation_s = 0.0
        self._stalled_at = None

    def _bounded(self, started: float, service_s: float, now: float) -> float | None:
        """Return what to learn from a service time, None when a stall explains it."""
        most_s = STALL_FACTOR * self.mean_s
        stalled_at = self._stalled_at
        independent = stalled_at is not None and started >= stalled_at
        if service_s <= most_s:
            if independent:
                self._stalled_at = None
            return service_s
        if independent:
            return service_s
        if stalled_at is not None:
            return None
        self._stalled_at = now
        return most_s if self._measured else None
