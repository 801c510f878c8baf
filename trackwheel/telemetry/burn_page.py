"""The burn report as one self-contained HTML page with plots."""

from html import escape
from typing import Final

from trackwheel.telemetry.models import BurnRow

_BAR_WIDTH: Final = 300
_FULL_BAR_RATE: Final = 10.0
_ALARM_RATE: Final = 1.0

_PAGE: Final = """<!doctype html>
<html lang="en"><meta charset="utf-8"><title>trackwheel: service-level burn</title>
<style>
body {{ font: 15px/1.4 sans-serif; margin: 2em; color: #222 }}
table {{ border-collapse: collapse }}
td, th {{ padding: .3em .8em; text-align: left; border-bottom: 1px solid #ddd }}
td.number {{ text-align: right }}
</style>
<h1>Service-level burn</h1>
<p>A rate of 1 uses up a group's error budget exactly in time; bars end at {full:.0f}.</p>
<table><tr><th>Group<th>Service<th>Objective<th>Queries<th>Fast (5 min)<th>Slow (1 h)
<th>Budget left<th>p50 ms<th>p99 ms<th>Causes</tr>
{rows}
</table></html>
"""


def render_page(rows: list[BurnRow]) -> str:
    """Return the page for a report."""
    body = "\n".join(_row(row) for row in rows)
    return _PAGE.format(rows=body, full=_FULL_BAR_RATE)


def _row(row: BurnRow) -> str:
    causes = ", ".join(f"{cause}: {count}" for cause, count in row.bad_by_cause.items())
    return (
        f"<tr><td>{escape(row.group)}<td>{escape(row.service)}"
        f"<td class=number>{row.objective:.2%}<td class=number>{row.total}"
        f"<td>{_bar(row.fast_rate)}<td>{_bar(row.slow_rate)}"
        f"<td class=number>{row.budget_left:.0%}<td class=number>{row.p50_ms:.1f}"
        f"<td class=number>{row.p99_ms:.1f}<td>{escape(causes)}</tr>"
    )


def _bar(rate: float) -> str:
    width = min(rate / _FULL_BAR_RATE, 1.0) * _BAR_WIDTH
    colour = "#c33" if rate > _ALARM_RATE else "#393"
    return (
        f'<svg width="{_BAR_WIDTH + 60}" height="14"><rect width="{width:.0f}" height="14" '
        f'fill="{colour}"/><text x="{width + 5:.0f}" y="12" font-size="12">{rate:.2f}</text></svg>'
    )
