"""Reports between gatherers of a domain on targets that refuse connections."""

from typing import NamedTuple

import pytest

from tests.relay.conftest import HERE, ROUTE, THERE, target
from trackwheel.relay.models import Outcome, Target
from trackwheel.selection.const import (
    DOWN_REPORT_DISTRUST_S,
    DOWN_REPORT_INTERVAL_S,
    REPORTED_DOWN_S,
)
from trackwheel.selection.down_reports import DownReports, TargetDown
from trackwheel.selection.target_selector import TargetSelector

DOWN = target("down", "s")
OTHER = target("other", "s", THERE)


class Box:
    """The selector and the down reports of one box, for the targets of one service."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.selector = TargetSelector(HERE, seed=1)
        self.selector.set_targets({"s": (DOWN, OTHER)}, 0.0)
        self.reports = DownReports(self.selector)

    def ask(self, chosen: Target, outcome: Outcome, now: float) -> TargetDown | None:
        token = object()
        self.selector.sent(chosen, token, ROUTE, now)
        self.selector.ended(chosen, token, outcome, None, now)
        return self.reports.request_ended(chosen, outcome, now, now)

    def best(self, now: float) -> Target:
        return self.selector.rank("s", ROUTE, now)[0].target


class Step(NamedTuple):
    """An event at a box: a received report, or the outcome of a request of its own."""

    at: float
    outcome: Outcome | None = None
    age_ms: float = 0.0
    reporter: str = "a"


@pytest.mark.parametrize(
    ("steps", "now", "last_resort"),
    [
        pytest.param([Step(1.0)], 1.1, True, id="reported"),
        pytest.param([Step(1.0)], 1.0 + REPORTED_DOWN_S, False, id="for-a-second"),
        pytest.param([Step(1.0, age_ms=600.0)], 1.5, False, id="less-for-old-reports"),
        pytest.param([Step(1.0, age_ms=5000.0)], 1.0, False, id="not-for-very-old-reports"),
        pytest.param(
            [Step(1.0, age_ms=-9e9)], 2.5, False, id="no-longer-for-reports-of-the-future"
        ),
        pytest.param([Step(0.9, Outcome.OK), Step(1.0)], 1.1, True, id="newer-than-an-answer"),
        pytest.param(
            [Step(0.9, Outcome.OK), Step(1.0, age_ms=200.0)], 1.1, False, id="older-than-an-answer"
        ),
        pytest.param([Step(1.0), Step(1.1, Outcome.OK)], 1.2, False, id="answers-nevertheless"),
        pytest.param(
            [Step(1.0), Step(1.1, Outcome.OK), Step(1.6)],
            1.7,
            False,
            id="distrusted-box-is-ignored",
        ),
        pytest.param(
            [Step(1.0), Step(1.1, Outcome.OK), Step(1.6, reporter="b")],
            1.7,
            True,
            id="other-reporters-count",
        ),
        pytest.param(
            [Step(1.0), Step(1.1, Outcome.OK), Step(1.2 + DOWN_REPORT_DISTRUST_S)],
            1.3 + DOWN_REPORT_DISTRUST_S,
            True,
            id="distrust-ends",
        ),
    ],
)
def test_reports_of_other_boxes(steps: list[Step], now: float, last_resort: bool) -> None:
    box = Box("own")
    for step in steps:
        if step.outcome is None:
            box.reports.receive(step.reporter, TargetDown("down", step.age_ms), step.at)
        else:
            box.ask(DOWN, step.outcome, step.at)
    assert (box.best(now) == OTHER) is last_resort
    assert len(box.selector.rank("s", ROUTE, now)) == 2


def test_report_on_an_unknown_target_has_no_effect() -> None:
    box = Box("own")
    assert not box.reports.receive("a", TargetDown("nothing", 0.0), 1.0)


def test_answer_to_an_earlier_request_causes_no_distrust() -> None:
    """A target that answers and then dies must not discredit the box that reports its death."""
    box = Box("own")
    assert box.reports.receive("a", TargetDown("down", 0.0), 1.0)
    box.reports.request_ended(DOWN, Outcome.OK, 0.9, 1.05)
    assert box.reports.receive("a", TargetDown("down", 0.0), 1.6)


@pytest.mark.parametrize("outcome", [o for o in Outcome if o is not Outcome.NOT_SENT])
def test_only_failed_connections_are_reported(outcome: Outcome) -> None:
    assert Box("own").ask(DOWN, outcome, 1.0) is None


def test_received_reports_are_not_passed_on() -> None:
    """Otherwise two boxes could keep a false report alive between them."""
    box = Box("own")
    box.reports.receive("a", TargetDown("down", 0.0), 1.0)
    assert box.ask(DOWN, Outcome.NOT_SENT, 1.1) is None
    assert box.ask(DOWN, Outcome.NOT_SENT, 1.0 + DOWN_REPORT_INTERVAL_S) == TargetDown("down", 0.0)


@pytest.mark.parametrize("boxes", [2, 7, 20])
def test_dead_target_is_detected_by_few_gatherers(boxes: int) -> None:
    """A target is down for four seconds while each box has a request for it every 150 ms.

    Without reports, each box would get a failed connection about once a second.
    """
    fleet = [Box(f"b{number}") for number in range(boxes)]
    failed_connections = 0
    for step in range(400):
        now = 10.0 + step * 0.01
        for number, box in enumerate(fleet):
            if (step + number) % 15:
                continue
            chosen = box.best(now)
            report = box.ask(chosen, Outcome.NOT_SENT if chosen == DOWN else Outcome.OK, now)
            failed_connections += chosen == DOWN
            for other in fleet:
                if report is not None and other is not box:
                    other.reports.receive(box.name, report, now)
    assert failed_connections <= 8
