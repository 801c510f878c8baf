"""What boxes beside the same targets tell each other of those that refuse connections."""

from typing import NamedTuple

import pytest

from tests.relay.conftest import HERE, ROUTE, THERE, target
from trackwheel.relay.const import DOWN_REPORT_DISTRUST_S, DOWN_REPORT_INTERVAL_S, REPORTED_DOWN_S
from trackwheel.relay.down_reports import DownReports, TargetDown
from trackwheel.relay.models import Outcome, Target
from trackwheel.relay.target_selector import TargetSelector

DOWN = target("down", "s")
OTHER = target("other", "s", THERE)


class Box:
    """The decisions of one box about the targets of one service."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.board = TargetSelector(HERE, seed=1)
        self.board.set_targets({"s": (DOWN, OTHER)}, 0.0)
        self.reports = DownReports(self.board)

    def ask(self, who: Target, outcome: Outcome, now: float) -> TargetDown | None:
        token = object()
        self.board.sent(who, token, ROUTE, now)
        self.board.ended(who, token, outcome, None, now)
        return self.reports.request_ended(who, outcome, now, now)

    def best(self, now: float) -> Target:
        return self.board.rank("s", ROUTE, now)[0].target


class Step(NamedTuple):
    """Something that happens at a box: it is told, or a request of its own ends."""

    at: float
    outcome: Outcome | None = None
    age_ms: float = 0.0
    reporter: str = "a"


@pytest.mark.parametrize(
    ("steps", "now", "out"),
    [
        pytest.param([Step(1.0)], 1.1, True, id="told"),
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
        pytest.param([Step(1.0), Step(1.1, Outcome.OK)], 1.2, False, id="answers-all-the-same"),
        pytest.param(
            [Step(1.0), Step(1.1, Outcome.OK), Step(1.6)], 1.7, False, id="liar-is-passed-over"
        ),
        pytest.param(
            [Step(1.0), Step(1.1, Outcome.OK), Step(1.6, reporter="b")],
            1.7,
            True,
            id="others-count",
        ),
        pytest.param(
            [Step(1.0), Step(1.1, Outcome.OK), Step(1.2 + DOWN_REPORT_DISTRUST_S)],
            1.3 + DOWN_REPORT_DISTRUST_S,
            True,
            id="liar-is-heard-again-later",
        ),
    ],
)
def test_news_of_others(steps: list[Step], now: float, out: bool) -> None:
    box = Box("own")
    for step in steps:
        if step.outcome is None:
            box.reports.receive(step.reporter, TargetDown("down", step.age_ms), step.at)
        else:
            box.ask(DOWN, step.outcome, step.at)
    assert (box.best(now) == OTHER) is out
    assert len(box.board.rank("s", ROUTE, now)) == 2


def test_unknown_target_is_no_news() -> None:
    box = Box("own")
    assert not box.reports.receive("a", TargetDown("nothing", 0.0), 1.0)


def test_answer_to_an_older_request_is_no_contradiction() -> None:
    """A target that answered and then died must not make the box that met that a liar."""
    box = Box("own")
    assert box.reports.receive("a", TargetDown("down", 0.0), 1.0)
    box.reports.request_ended(DOWN, Outcome.OK, 0.9, 1.05)
    assert box.reports.receive("a", TargetDown("down", 0.0), 1.6)


@pytest.mark.parametrize("outcome", [o for o in Outcome if o is not Outcome.NOT_SENT])
def test_only_failed_connections_are_told(outcome: Outcome) -> None:
    assert Box("own").ask(DOWN, outcome, 1.0) is None


def test_what_was_told_is_not_told_on() -> None:
    """Else two boxes would keep a false word alive between them."""
    box = Box("own")
    box.reports.receive("a", TargetDown("down", 0.0), 1.0)
    assert box.ask(DOWN, Outcome.NOT_SENT, 1.1) is None
    assert box.ask(DOWN, Outcome.NOT_SENT, 1.0 + DOWN_REPORT_INTERVAL_S) == TargetDown("down", 0.0)


@pytest.mark.parametrize("boxes", [2, 7, 20])
def test_dead_target_is_met_by_few_of_the_boxes_beside_it(boxes: int) -> None:
    """The load: a target dies for four seconds; each box has a request for it every 150 ms.

    Where each box learns for itself, each meets it about once a second.
    """
    fleet = [Box(f"b{number}") for number in range(boxes)]
    met = 0
    for step in range(400):
        now = 10.0 + step * 0.01
        for number, box in enumerate(fleet):
            if (step + number) % 15:
                continue
            who = box.best(now)
            report = box.ask(who, Outcome.NOT_SENT if who == DOWN else Outcome.OK, now)
            met += who == DOWN
            for other in fleet:
                if report is not None and other is not box:
                    other.reports.receive(box.name, report, now)
    assert met <= 8
