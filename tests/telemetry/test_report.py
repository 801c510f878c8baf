"""The report over the logs of a fleet."""

import json
import time
from pathlib import Path
from typing import Any

import pytest

from trackwheel.cli import main
from trackwheel.telemetry.report import BoxRow, IntervalRow, RouteRow, make_report
from trackwheel.telemetry.report_page import render_report, render_report_page
from trackwheel.telemetry.timeline import LogLine, read_log


def line(box: str, at: float, event: str, collected: bool = True, **fields: Any) -> LogLine:
    return LogLine(box, at + 100.0, event, fields, at if collected else None)


def end(at: float, event: str = "query_whole", **fields: Any) -> LogLine:
    common = {"route": "r", "shards": 10, "took_ms": 50.0, "aim_ms": 100}
    return line("a", at, event, **{**common, **fields})


LINES = [
    line("a", 0.0, "started", domain="d1"),
    line("b", 0.0, "started", domain="d2"),
    end(0.5),
    end(0.6, "query_partial", missing=2, took_ms=101.0),
    end(2.5, "given_up", ran=False, reason="no target is known"),
    end(2.6, "given_up", ran=True, reason="time is up"),
    end(4.1, "client_left"),
    line("b", 1.0, "group_end", shards=7, missing=0),
    line("b", 1.1, "target_failed", outcome="not_sent", why_sent="first", left_out=3),
    line("b", 10.0, "summary", store_calls=4, repeats_denied=1, peer_bytes=2500, sent_first_near=8),
    line("b", 20.0, "summary", store_calls=6, repeats_denied=1, peer_bytes=5500, sent_first_near=9),
    line("b", 25.0, "started", domain="d2"),
    line("b", 35.0, "summary", store_calls=2, repeats_denied=0, peer_bytes=1000, sent_hedge_far=1),
]


def test_route_row_counts_each_kind_of_end() -> None:
    (row,) = make_report(LINES).routes
    assert row == RouteRow("r", 5, 1, 1, 1, 1, 1, 0.1, 101.0, 101.0)


def test_box_row_sums_over_restarts() -> None:
    boxes = {row.box: row for row in make_report(LINES).boxes}
    assert boxes["b"] == BoxRow("b", "d2", 0, 7, 8, 10, 1, 1, 6, 0)
    assert boxes["a"].taken == 5


def test_ends_by_interval() -> None:
    spans = make_report(LINES).spans
    assert spans == [
        IntervalRow(0.0, 1, 1, 0, 0),
        IntervalRow(2.0, 0, 0, 1, 1),
        IntervalRow(4.0, 0, 0, 0, 0),
    ]


def test_reasons_and_failures() -> None:
    report = make_report(LINES)
    assert report.reasons == {("r", "no target is known"): 1, ("r", "time is up"): 1}
    assert report.failures == {("not_sent", "first"): 1}
    assert report.left_out_lines == 3


@pytest.mark.parametrize(
    ("fields", "key"),
    [
        ({"event": "given_up", "ran": True, "late": True}, "failed at the deadline"),
        ({"event": "given_up", "ran": False, "late": False}, "refused early"),
        ({"event": "query_partial", "missing": 2, "took_ms": 99.0}, "parts left out"),
        ({"event": "query_partial", "missing": 2, "took_ms": 101.0}, "late"),
        ({"event": "query_whole", "took_ms": 101.0}, "late"),
        ({"event": "client_left"}, "left"),
    ],
)
def test_causes_of_what_was_not_served_whole_in_time(fields: dict[str, Any], key: str) -> None:
    report = make_report([end(0.5), end(0.6, cause="shed", **fields)])
    assert report.causes == {(key, "shed"): 1}


def test_boxes_without_a_collector_count_from_their_own_first_line() -> None:
    lines = [item._replace(collected_at=None) for item in LINES]
    assert [row.start for row in make_report(lines).spans] == [0.0, 2.0, 4.0]


@pytest.mark.parametrize("render", [render_report, render_report_page])
def test_report_shows_every_table(render: Any) -> None:
    text = render(make_report(LINES))
    for shown in ("d1", "d2", "no target is known", "not_sent", "in_time"):
        assert shown in text


def test_page_is_self_contained_and_escapes_markup() -> None:
    page = render_report_page(make_report([end(0.1, "given_up", ran=True, reason="<b>")]))
    assert "&lt;b&gt;" in page
    assert "src=" not in page and "href=" not in page


def test_logs_of_200_boxes_take_seconds() -> None:
    row = json.dumps({"at": 1.0, "box": "b", "event": "query_whole", "took_ms": 5, "aim_ms": 9})
    text = "\n".join(f"{n / 1000:.3f} b{n % 200} {row}" for n in range(100_000))
    began = time.monotonic()
    assert make_report(read_log(text)).routes[0].asked == 100_000
    assert time.monotonic() - began < 20.0


@pytest.mark.parametrize(
    ("text", "code"),
    [("1.0 a " + json.dumps({"at": 1, "box": "a", "event": "started"}), 0), ("nothing", 1)],
    ids=["log", "no-log"],
)
def test_command(text: str, code: int, tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    log, page = tmp_path / "log", tmp_path / "page.html"
    log.write_text(text)
    assert main(["report", str(log), f"--html={page}"]) == code
    assert page.exists() is (code == 0)
    printed = capsys.readouterr()
    assert ("1 boxes" in printed.out) if code == 0 else ("no line of a box" in printed.err)
    assert main(["report", str(log), "--json"]) == code


def test_missing_file_is_reported(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["report", "/nothing/here"]) == 1
    assert "/nothing/here" in capsys.readouterr().err
