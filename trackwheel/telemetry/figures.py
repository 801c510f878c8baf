"""Counters and latency histograms of a box on the platform, served as text."""

from collections.abc import Callable, Mapping
from typing import Any, Final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

BUCKETS_S: Final = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, float("inf"))
"""Bounds of the latency histograms: from one target's work to the longest deadline."""
MAX_ROUTES: Final = 50
"""Routes with a histogram of their own; a configuration may hold ten thousand."""
OTHER_ROUTES: Final = "other"

Reading = Callable[[], float]
Counts = Callable[[], Mapping[Any, int]]
"""Counts by the values of their labels, a tuple of texts."""


class Figures:
    """Keep latencies; counts and values of the moment are read when somebody asks."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._seconds = Histogram(
            "trackwheel_request_seconds",
            "Time from a request's arrival to its answer",
            buckets=list(BUCKETS_S),
            registry=self._registry,
        )
        self._routes: set[str] = set()
        self._readings: list[tuple[Gauge, Reading]] = []
        self._counts: list[tuple[Counter, tuple[str, ...], Counts]] = []

    def observe_request(self, route: str, took_s: float) -> None:
        """Take the time of one request of a client (seconds)."""
        if route not in self._routes:
            if len(self._routes) >= MAX_ROUTES:
                route = OTHER_ROUTES
            self._routes.add(route)
        self._seconds.observe({"route": route}, took_s)

    def add_gauge(self, name: str, text: str, reading: Reading) -> None:
        """Serve a value of the moment."""
        gauge = Gauge(f"trackwheel_{name}", text, registry=self._registry)
        self._readings.append((gauge, reading))

    def add_counters(self, name: str, text: str, labels: tuple[str, ...], counts: Counts) -> None:
        """Serve counts that a part keeps, by the values of some labels."""
        counter = Counter(f"trackwheel_{name}", text, registry=self._registry)
        self._counts.append((counter, labels, counts))

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return all figures as text, and the headers that go with it."""
        for gauge, reading in self._readings:
            gauge.set({}, reading())
        for counter, labels, counts in self._counts:
            for values, number in counts().items():
                counter.set(dict(zip(labels, values, strict=True)), number)
        return render(self._registry, ["text/plain"])
