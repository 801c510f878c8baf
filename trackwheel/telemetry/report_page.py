"""The report over a fleet's logs, as text and as one self-contained HTML page with plots."""

from collections import Counter
from collections.abc import Sequence
from html import escape
from typing import Any, Final, NamedTuple

from trackwheel.telemetry.report import INTERVAL_S, BoxRow, FleetReport, IntervalRow, RouteRow

MAX_SHOWN_BOXES: Final = 12
"""Busiest boxes that the text report lists; the page lists all."""
MAX_SHOWN_REASONS: Final = 12
BAR_WIDTH: Final = 6
PLOT_HEIGHT: Final = 120
OUTCOME_COLOURS: Final = (
    ("in_time", "#393"),
    ("late", "#d90"),
    ("refused", "#38c"),
    ("failed", "#c33"),
)

_PAGE: Final = """<!doctype html>
<html lang="en"><meta charset="utf-8"><title>trackwheel: report over logs</title>
<style>
body {{ font: 14px/1.4 sans-serif; margin: 2em; color: #222 }}
table {{ border-collapse: collapse; margin-bottom: 1.5em }}
td, th {{ padding: .15em .7em; text-align: right; border-bottom: 1px solid #ddd }}
td:first-child, th:first-child {{ text-align: left }}
</style>
<h1>Report over logs</h1>
<h2>Requests by the time of their end</h2>{course}
<p>Green in time, amber late, blue refused without having run, red failed.</p>
{tables}
</html>
"""


class Table(NamedTuple):
    """A title, the names of the columns and the rows."""

    title: str
    columns: Sequence[str]
    rows: Sequence[Sequence[Any]]


def render_report(report: FleetReport) -> str:
    """Return the report as text."""
    texts = [_text(table) for table in _tables(report, MAX_SHOWN_BOXES)]
    if report.left_out_lines:
        texts.append(
            f"{report.left_out_lines} lines were left out by the boxes to bound their logs"
        )
    return "\n\n".join(texts)


def render_report_page(report: FleetReport) -> str:
    """Return the report as a page."""
    tables = "\n".join(_html(table) for table in _tables(report, len(report.boxes)))
    return _PAGE.format(course=_time_chart(report.spans), tables=tables)


def _tables(report: FleetReport, boxes: int) -> list[Table]:
    busiest = sorted(report.boxes, key=lambda row: row.sends, reverse=True)[:boxes]
    return [
        Table("requests by route", RouteRow._fields, report.routes),
        Table(
            "given up, by route and reason",
            ("route", "reason", "times"),
            _rows_by_count(report.reasons),
        ),
        Table(
            "not served, late or incomplete, by cause",
            ("end", "cause", "times"),
            _rows_by_count(report.causes),
        ),
        Table(
            "failed at targets, by outcome and cause of the send",
            ("outcome", "why sent", "times"),
            _rows_by_count(report.failures),
        ),
        Table("by failure domain", BoxRow._fields, _by_domain(report.boxes)),
        Table("by box, most sends first", BoxRow._fields, busiest),
    ]


def _rows_by_count(counter: Counter[tuple[str, str]]) -> list[tuple[str, str, int]]:
    return [(*key, times) for key, times in counter.most_common(MAX_SHOWN_REASONS)]


def _by_domain(boxes: Sequence[BoxRow]) -> list[tuple[Any, ...]]:
    rows_by_domain: dict[str, list[BoxRow]] = {}
    for row in boxes:
        rows_by_domain.setdefault(row.domain, []).append(row)
    rows_by_domain["all"] = list(boxes)
    return [
        (
            f"{len(rows)} boxes",
            domain,
            *(sum(column) for column in zip(*(r[2:] for r in rows), strict=True)),
        )
        for domain, rows in rows_by_domain.items()
    ]


def _format_value(value: Any) -> str:
    if not isinstance(value, float):
        return str(value)
    return f"{value:.3g}" if value < 1.0 else f"{value:.0f}"


def _text(table: Table) -> str:
    cells = [list(table.columns), *([_format_value(value) for value in row] for row in table.rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = [
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    ]
    return "\n".join([table.title, *lines])


def _html(table: Table) -> str:
    head = "".join(f"<th>{escape(name)}" for name in table.columns)
    body = "\n".join(
        "<tr>" + "".join(f"<td>{escape(_format_value(value))}" for value in row)
        for row in table.rows
    )
    return f"<h2>{escape(table.title)}</h2><table><tr>{head}</tr>\n{body}</table>"


def _time_chart(spans: Sequence[IntervalRow]) -> str:
    """Draw how requests ended over time: one stacked bar per interval."""
    if not spans:
        return "<p>No request ended.</p>"
    largest_total = max(sum(row[1:]) for row in spans)
    bars = "".join(_bar(row, largest_total) for row in spans)
    width = BAR_WIDTH * (len(spans) + 1) * 2
    return f'<svg width="{width}" height="{PLOT_HEIGHT}">{bars}</svg>'


def _bar(row: IntervalRow, largest_total: int) -> str:
    parts: list[str] = []
    top = float(PLOT_HEIGHT)
    left = row.start / INTERVAL_S * BAR_WIDTH
    for name, colour in OUTCOME_COLOURS:
        height = getattr(row, name) / largest_total * PLOT_HEIGHT
        top -= height
        parts.append(
            f'<rect x="{left:.0f}" y="{top:.1f}" width="{BAR_WIDTH - 1}" height="{height:.1f}" '
            f'fill="{colour}"><title>{row.start:.0f} s: {getattr(row, name)} {name}</title></rect>'
        )
    return "".join(parts)
