"""The commands that read the log files of boxes on the platform."""

from pathlib import Path
from typing import Any, Final

import msgspec

from trackwheel.errors import CommandError
from trackwheel.telemetry.report import FleetReport, make_report
from trackwheel.telemetry.report_page import render_report, render_report_page
from trackwheel.telemetry.timeline import LogLine, make_timeline, read_log, render_timeline

EXIT_DONE: Final = 0
EXIT_FAILED: Final = 1


def explain_logs(arguments: dict[str, Any]) -> int:
    """Tell the story of a request from the logs of several boxes."""
    timeline = make_timeline(_read_logs(arguments["FILE"]), arguments["ID"])
    if arguments["--json"]:
        _print_json({"cause": timeline.cause, "lines": [line._asdict() for line in timeline.lines]})
    else:
        print(render_timeline(timeline))
    return EXIT_DONE if timeline.lines else EXIT_FAILED


def report_logs(arguments: dict[str, Any]) -> int:
    """Say who waited, who was refused and where work went, from the logs of a fleet."""
    lines = _read_logs(arguments["FILE"])
    if not lines:
        raise CommandError("no line of a box is in the files; name logs of boxes on the platform")
    report = make_report(lines)
    if arguments["--html"]:
        Path(arguments["--html"]).write_text(render_report_page(report), encoding="utf-8")
    if arguments["--json"]:
        _print_json(_as_json(report))
    else:
        print(render_report(report))
    return EXIT_DONE


def _as_json(report: FleetReport) -> dict[str, Any]:
    """Return the report for a program: rows as objects, counters as lists of rows."""
    return {
        "routes": [row._asdict() for row in report.routes],
        "boxes": [row._asdict() for row in report.boxes],
        "spans": [row._asdict() for row in report.spans],
        "reasons": [[*key, times] for key, times in report.reasons.most_common()],
        "causes": [[*key, times] for key, times in report.causes.most_common()],
        "failures": [[*key, times] for key, times in report.failures.most_common()],
        "left_out_lines": report.left_out_lines,
    }


def _read_logs(names: list[str]) -> list[LogLine]:
    lines: list[LogLine] = []
    for name in names:
        try:
            lines += read_log(Path(name).read_text(encoding="utf-8", errors="replace"))
        except OSError as error:
            raise CommandError(f"{name}: {error.strerror}; name a log file") from error
    return lines


def _print_json(value: object) -> None:
    print(msgspec.json.encode(value).decode())
