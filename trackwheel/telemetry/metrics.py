"""Metrics of one box, collected from its parts when somebody reads them."""

from collections.abc import Callable

from aioprometheus.collectors import Gauge, Registry
from aioprometheus.renderer import render

from trackwheel.telemetry.models import Sample

Source = Callable[[], list[Sample]]


class Metrics:
    """Ask every part for its samples and render them."""

    def __init__(self) -> None:
        self._sources: list[Source] = []

    def add(self, source: Source) -> None:
        """Add a part that gives samples."""
        self._sources.append(source)

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in the form that the reader accepts, and its headers."""
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
