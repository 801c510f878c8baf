"""The command line: exit codes, JSON, and what operators see."""

import json
from pathlib import Path

import pytest

from standins.fleet import SmallFleet
from trackwheel.cli import main
from trackwheel.telemetry.burn import merge_rows
from trackwheel.telemetry.burn_page import render_page
from trackwheel.telemetry.models import BurnRow

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"


@pytest.mark.parametrize(
    ("argv", "code"),
    [
        pytest.param(["check", str(EXAMPLES / "tafelsuche.ini")], 0, id="check"),
        pytest.param(
            ["check", str(EXAMPLES / "tafelsuche.ini"), str(EXAMPLES / "dalisay.ini")], 0, id="both"
        ),
        pytest.param(["check", "nothing.ini"], 1, id="no-file"),
        pytest.param(["show", "--box=127.0.0.1:9"], 1, id="no-box"),
        pytest.param(["serve", "nothing.ini"], 1, id="no-settings"),
        pytest.param(["explain", "a", "nothing.log"], 1, id="no-log"),
        pytest.param(["dance"], 2, id="unknown-command"),
        pytest.param([], 2, id="nothing"),
    ],
)
def test_exit_codes(argv: list[str], code: int) -> None:
    assert main(argv) == code


def test_check_names_each_mistake(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    bad = tmp_path / "bad.ini"
    bad.write_text("[file]\nname = bad\n[group g]\nshare = 0\nkey_sha256 = x\n")
    assert main(["check", str(bad), "--json"]) == 1
    report = json.loads(capsys.readouterr().out)
    assert report["ok"] is False
    assert len(report["errors"]) == 2
    assert all(str(bad) in error for error in report["errors"])


def test_explain_reads_logs_of_several_boxes(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    logs = [tmp_path / "one.log", tmp_path / "two.log"]
    logs[0].write_text('{"at":1.0,"box":"b-1","event":"client_left","id":"a","took_ms":9.0}\n')
    logs[1].write_text('{"at":5.0,"box":"b-2","event":"group_end","id":"a","shards":3}\n')
    argv = ["explain", "a", *map(str, logs)]
    assert main(argv) == 0
    shown = capsys.readouterr().out.splitlines()
    assert shown[0] == "b-2 5.000 group_end shards=3"
    assert shown[-1] == "cause: the client left after 9.0 ms"
    assert main([*argv, "--json"]) == 0
    assert json.loads(capsys.readouterr().out)["cause"] == "the client left after 9.0 ms"
    assert main(["explain", "other", str(logs[0])]) == 1


def test_commands_against_a_fleet(
    fleet: SmallFleet, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    box = fleet.boxes[0]
    key = tmp_path / "key"
    key.write_text("clerks-key\n")
    operators = f"--box={box.operators}"
    query = ["query", "ledger", f"--key-file={key}", f"--callers={box.callers}", "--json"]
    assert main(query) == 0
    answer = json.loads(capsys.readouterr().out)
    assert answer["whole"] is True
    assert main(["explain", answer["id"], operators]) == 0
    assert "whole after" in capsys.readouterr().out
    assert main(["explain", "nothing", operators]) == 1
    assert main(["show", operators]) == 0
    shown = capsys.readouterr().out
    assert "revision 1" in shown
    assert shown.count("alive, revision 1") == 3
    assert main(["show", "test", operators]) == 0
    assert "[service ledger]" in capsys.readouterr().out
    page = tmp_path / "burn.html"
    boxes = [f"--box={each.operators}" for each in fleet.boxes]
    assert main(["burn", *boxes, f"--html={page}"]) == 0
    assert "ledger" in capsys.readouterr().out
    assert "<svg" in page.read_text()


def test_metrics_are_served(fleet: SmallFleet) -> None:
    text = fleet.http.get(f"http://{fleet.boxes[0].operators}/metrics").text
    for name in ("trackwheel_boxes", "trackwheel_files_revision", "trackwheel_store_calls"):
        assert name in text


def test_burn_rows_of_boxes_are_joined() -> None:
    one = BurnRow("g", "s", 0.99, 100, {"late": 1}, 1.0, 1.0, 0.0, 5.0, 9.0)
    other = BurnRow("g", "s", 0.99, 300, {"late": 2, "lacking": 1}, 3.0, 0.0, 1.0, 6.0, 8.0)
    merged = merge_rows([one, other])
    assert len(merged) == 1
    assert merged[0].total == 400
    assert merged[0].bad_by_cause == {"lacking": 1, "late": 3}
    assert merged[0].fast_rate == pytest.approx(2.5)
    assert merged[0].p99_ms == 9.0
    assert "<td>s" in render_page(merged)
