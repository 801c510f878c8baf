"""What a measurement writes: a table, JSON and a plot below build/measure/."""

import subprocess
from collections.abc import Mapping
from pathlib import Path
from typing import Final, NamedTuple

import matplotlib
import msgspec

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

FOLDER: Final = Path(__file__).resolve().parent.parent / "build" / "measure"


class Series(NamedTuple):
    """Hold one line of a plot."""

    label: str
    x: list[float]
    y: list[float]


class Report(NamedTuple):
    """Hold the result of one measurement."""

    name: str
    seed: int
    baseline: str
    figures: Mapping[str, float]
    samples: Mapping[str, int]
    rows: list[tuple[str, str]]
    series: list[Series]
    x_label: str = ""
    y_label: str = ""


def write_report(report: Report) -> None:
    """Print the table and figures and write the files."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    for label, value in report.rows:
        print(f"  {label:<52} {value}")
    content = {
        "name": report.name,
        "commit": _commit(),
        "seed": report.seed,
        "baseline": report.baseline,
        "figures": dict(report.figures),
        "samples": dict(report.samples),
    }
    path = FOLDER / f"{report.name}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(content), indent=2))
    _plot(report)
    print(f"  baseline: {report.baseline}")
    print(" ".join(f"{key}={value:.4g}" for key, value in report.figures.items()))


def _plot(report: Report) -> None:
    figure, axes = pyplot.subplots(figsize=(7, 4))
    if report.series:
        for series in report.series:
            axes.plot(series.x, series.y, marker="o", markersize=3, label=series.label)
        axes.legend()
    else:
        axes.barh(list(report.figures), list(report.figures.values()))
    axes.set_xlabel(report.x_label)
    axes.set_ylabel(report.y_label)
    axes.set_title(f"{report.name} (baseline: {report.baseline})", fontsize=9)
    figure.tight_layout()
    figure.savefig(FOLDER / f"{report.name}.png", dpi=110)
    pyplot.close(figure)


def _commit() -> str:
    command = ["git", "rev-parse", "--short", "HEAD"]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    dirty = subprocess.run(["git", "diff", "--quiet", "HEAD"], check=False).returncode != 0
    return result.stdout.strip() + ("+" if dirty else "")
