"""Metrics of one box, collected from its components when they are rendered."""

from collections.abc import Callable

from aioprometheus.collectors import Gauge, Registry
from aioprometheus.renderer import render

from trackwheel.telemetry.models import Sample

Source = Callable[[], list[Sample]]


class Metrics:
    """Collect samples from all sources and render them."""

    def __init__(self) -> None:
        self._sources: list[Source] = []

    def add(self, source: Source) -> None:
        """Add a source of samples."""
        self._sources.append(source)

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in a format that the client accepts, and the response headers."""
        registry = Registry()
        gauge_by_name: dict[str, Gauge] = {}
        for source in self._sources:
            for sample in source():
                gauge = gauge_by_name.get(sample.name)
                if gauge is None:
                    gauge = Gauge(sample.name, sample.help_text, registry=registry)
                    gauge_by_name[sample.name] = gauge
                gauge.set(sample.labels, sample.value)
        return render(registry, accept)
