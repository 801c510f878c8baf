"""Gauges, counters and latency histograms of a box on the platform, served as text."""

from collections.abc import Callable, Mapping
from typing import Any, Final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

BUCKETS_S: Final = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, float("inf"))
"""Buckets of the latency histograms, from the work of one target to the longest deadline."""
MAX_ROUTES: Final = 50
"""Routes with their own histogram; a configuration may hold ten thousand routes."""
OTHER_ROUTES: Final = "other"

GaugeReader = Callable[[], float]
LabelReader = Callable[[], Mapping[str, float]]
"""Returns readings by the value of a label."""
CounterReader = Callable[[], Mapping[Any, int]]
"""Returns counts by label values, a tuple of strings."""


class Figures:
    """Collect latencies; gauges and counters are read when they are rendered."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._seconds = Histogram(
            "trackwheel_request_seconds",
            "Time from a request's arrival to its answer",
            buckets=list(BUCKETS_S),
            registry=self._registry,
        )
        self._routes: set[str] = set()
        self._readings: list[tuple[Gauge, GaugeReader]] = []
        self._label_readings: list[tuple[Gauge, str, LabelReader]] = []
        self._counts: list[tuple[Counter, tuple[str, ...], CounterReader]] = []

    def observe_request(self, route: str, took_s: float) -> None:
        """Record the duration of one client request (seconds)."""
        if route not in self._routes:
            if len(self._routes) >= MAX_ROUTES:
                route = OTHER_ROUTES
            self._routes.add(route)
        self._seconds.observe({"route": route}, took_s)

    def add_gauge(self, name: str, text: str, reading: GaugeReader) -> None:
        """Register a gauge that is read at each rendering."""
        gauge = Gauge(f"trackwheel_{name}", text, registry=self._registry)
        self._readings.append((gauge, reading))

    def add_gauges(self, name: str, text: str, label: str, readings: LabelReader) -> None:
        """Register gauges by the value of a label that are read at each rendering."""
        gauge = Gauge(f"trackwheel_{name}", text, registry=self._registry)
        self._label_readings.append((gauge, label, readings))

    def add_counters(
        self, name: str, text: str, labels: tuple[str, ...], counts: CounterReader
    ) -> None:
        """Register counters by label values that are read at each rendering."""
        counter = Counter(f"trackwheel_{name}", text, registry=self._registry)
        self._counts.append((counter, labels, counts))

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return all metrics as text, and the response headers."""
        for gauge, reading in self._readings:
            gauge.set({}, reading())
        for gauge, label, readings in self._label_readings:
            for value, number in readings().items():
                gauge.set({label: value}, number)
        for counter, labels, counts in self._counts:
            # Label values that are no longer counted must not stay in the registry.
            counter.values.clear()
            for values, number in counts().items():
                counter.set(dict(zip(labels, map(_escape, values), strict=True)), number)
        return render(self._registry, ["text/plain"])


def _escape(label: str) -> str:
    """Return a label value in the text format, which the renderer writes as it is."""
    return label.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
