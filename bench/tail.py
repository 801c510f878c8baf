"""Tail latency with a straggler: one target in fifty slowed tenfold, with and without hedges."""

from typing import NamedTuple

from bench.load import Results, run_queries
from bench.report import Report, Series
from bench.setting import SERVICE, small_setting
from standins.file_maker import ServiceShape

RATE = 25.0
SECONDS = 9.0
SERVICE_MS = 10.0
SLOW_FACTOR = 10.0


class _Run(NamedTuple):
    """Hold what callers and targets saw in one run."""

    results: Results
    extra_share: float


def _run(extra_load: str, stragglers: bool, seconds: float) -> _Run:
    service = ServiceShape(
        SERVICE, 30, 2, slots=4, deadline="500ms", wait="500ms", extra_load=extra_load
    )
    with small_setting(3, service, service_ms=SERVICE_MS) as (fleet, targets):
        addresses = [box.callers for box in fleet.boxes]
        run_queries(addresses, "clerks", SERVICE, RATE, 2.0)
        flat = [address for instance in targets for address in instance]
        if stragglers:
            for address in flat[7::50]:
                fleet.control(address, slow_factor=SLOW_FACTOR, slow_share=1.0)
        before = sum(fleet.counts(address)["queries"] for address in flat)
        results = run_queries(addresses, "clerks", SERVICE, RATE, seconds)
        asked = sum(fleet.counts(address)["queries"] for address in flat) - before
    first = 30 * RATE * seconds
    return _Run(results, (asked - first) / first)


def measure(long: bool) -> Report:
    """Compare runs without stragglers, with them, and with them and hedges."""
    seconds = SECONDS * (4 if long else 1)
    calm = _run("0.05", False, seconds)
    unhedged = _run("0", True, seconds)
    hedged = _run("0.05", True, seconds)
    base = calm.results.percentile(0.99)
    rows = []
    for label, run in (("no stragglers", calm), ("no hedges", unhedged), ("hedges", hedged)):
        p50, p99, p999 = (run.results.percentile(part) * 1000 for part in (0.5, 0.99, 0.999))
        coverage = sum(run.results.coverage) / max(1, len(run.results.coverage))
        rows.append(
            (
                f"{label}: p50 / p99 / p99.9, coverage, extra",
                f"{p50:.1f} / {p99:.1f} / {p999:.1f} ms, {coverage:.4f}, {run.extra_share:.2%}",
            )
        )
    parts = [0.5, 0.75, 0.9, 0.95, 0.99, 0.995]
    series = [
        Series(label, parts, [run.results.percentile(part) * 1000 for part in parts])
        for label, run in (("no stragglers", calm), ("no hedges", unhedged), ("hedges", hedged))
    ]
    covered = hedged.results.coverage
    return Report(
        "tail",
        0,
        "the same queries without stragglers",
        {
            "p99_ratio": hedged.results.percentile(0.99) / base,
            "p99_ratio_unhedged": unhedged.results.percentile(0.99) / base,
            "extra_share": hedged.extra_share,
            "coverage": sum(covered) / max(1, len(covered)),
        },
        {
            "calm": calm.results.answered,
            "unhedged": unhedged.results.answered,
            "hedged": hedged.results.answered,
        },
        rows,
        series,
        "part of queries",
        "ms",
    )
