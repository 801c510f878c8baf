"""One request to one target: repeats, hedges, at-most-once delivery, correct failure reports."""

import pytest

from tests.relay.conftest import ROUTE, target_result
from trackwheel.relay.causes import Cause
from trackwheel.relay.models import Outcome
from trackwheel.relay.single import (
    CancelSingle,
    SendSingle,
    Single,
    SingleAnswered,
    SingleCommand,
    SingleFailed,
    SinglePlan,
)
from trackwheel.selection.budget import RetryBudget
from trackwheel.selection.target_selector import TargetSelector

NOT_RUN = [Outcome.NOT_RUN, Outcome.ELSEWHERE, Outcome.NOT_SENT]
MAY_HAVE_RUN = [Outcome.FAILED, Outcome.CLOSED, Outcome.BROKEN, Outcome.OVERSIZED]


class Session:
    """Run one request and record its commands."""

    def __init__(
        self, selector: TargetSelector, budget: RetryBudget, repeatable: bool, max_attempts: int = 2
    ) -> None:
        plan = SinglePlan(ROUTE, "s0", repeatable, max_attempts, 0.18, 1.0)
        self.single = Single(plan, selector, budget)
        self.sent: list[SendSingle] = []
        self.cancelled: list[int] = []
        self.end: SingleAnswered | SingleFailed | None = None
        self.take(self.single.start(0.0))

    def take(self, commands: list[SingleCommand]) -> None:
        for command in commands:
            match command:
                case SendSingle():
                    self.sent.append(command)
                case CancelSingle(token):
                    self.cancelled.append(token)
                case SingleAnswered() | SingleFailed():
                    assert self.end is None
                    self.end = command

    def ended(self, token: int, outcome: Outcome, now: float = 0.02) -> None:
        self.take(self.single.target_ended(token, target_result(outcome), now))


@pytest.mark.parametrize("repeatable", [True, False], ids=["repeatable", "once"])
@pytest.mark.parametrize("outcome", NOT_RUN)
def test_request_that_did_not_run_goes_elsewhere(
    selector: TargetSelector, budget: RetryBudget, repeatable: bool, outcome: Outcome
) -> None:
    session = Session(selector, budget, repeatable)
    session.ended(0, outcome)
    assert [sent.target.instance for sent in session.sent] == ["s0-near", "s0-far"]
    session.ended(1, Outcome.OK)
    assert isinstance(session.end, SingleAnswered)


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_request_that_may_have_run_is_not_sent_again(
    selector: TargetSelector, budget: RetryBudget, outcome: Outcome
) -> None:
    session = Session(selector, budget, False)
    session.ended(0, outcome)
    assert len(session.sent) == 1
    if outcome is Outcome.FAILED:
        assert isinstance(session.end, SingleAnswered)
        assert session.end.answer.status == 500
    else:
        assert isinstance(session.end, SingleFailed)
        assert session.end.ran


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_repeatable_request_is_sent_again(
    selector: TargetSelector, budget: RetryBudget, outcome: Outcome
) -> None:
    session = Session(selector, budget, True)
    session.ended(0, outcome)
    assert len(session.sent) == 2


@pytest.mark.parametrize("outcome", NOT_RUN)
def test_failure_reports_that_nothing_ran(
    selector: TargetSelector, no_budget: RetryBudget, outcome: Outcome
) -> None:
    session = Session(selector, no_budget, False)
    while session.end is None:
        session.ended(len(session.sent) - 1, outcome)
    assert isinstance(session.end, SingleFailed)
    assert not session.end.ran


def test_request_that_ran_once_is_never_called_not_run(
    selector: TargetSelector, budget: RetryBudget
) -> None:
    session = Session(selector, budget, True)
    session.ended(0, Outcome.BROKEN)
    session.ended(1, Outcome.NOT_RUN)
    while session.end is None:
        session.ended(len(session.sent) - 1, Outcome.NOT_RUN)
    assert isinstance(session.end, SingleFailed)
    assert session.end.ran


@pytest.mark.parametrize(("repeatable", "sends"), [(True, 2), (False, 1)], ids=["safe", "once"])
def test_only_repeatable_requests_are_hedged(
    selector: TargetSelector, budget: RetryBudget, repeatable: bool, sends: int
) -> None:
    session = Session(selector, budget, repeatable)
    session.take(session.single.tick(min(0.5, session.single.next_wake())))
    assert len(session.sent) == sends


def test_time_is_up(selector: TargetSelector, budget: RetryBudget) -> None:
    session = Session(selector, budget, False)
    session.take(session.single.tick(1.0))
    assert session.end == SingleFailed(True, True, "time is up", Cause.TARGET_SILENT)
    assert session.cancelled == [0]


def test_client_that_left_takes_everything_back(
    selector: TargetSelector, budget: RetryBudget
) -> None:
    session = Session(selector, budget, True)
    session.take(session.single.cancel())
    assert session.cancelled == [0]
    assert session.single.target_ended(0, target_result(Outcome.OK), 0.2) == []


@pytest.mark.parametrize("repeatable", [True, False], ids=["repeatable", "once"])
def test_request_waits_for_targets_that_refuse_connections(
    selector: TargetSelector, budget: RetryBudget, repeatable: bool
) -> None:
    """Guards against a request that was sent eight times within milliseconds and then failed,
    long before its target latency.
    """
    session = Session(selector, budget, repeatable)
    for token, name in enumerate(["s0-near", "s0-far"]):
        target = session.sent[-1].target
        assert target.instance == name
        selector.sent(target, token, ROUTE, 0.0)
        selector.ended(target, token, Outcome.NOT_SENT, None, 0.0)
        session.ended(token, Outcome.NOT_SENT, 0.0)
    assert session.end is None and len(session.sent) == 2
    now = session.single.next_wake()
    assert 0.0 < now < 0.18
    session.take(session.single.tick(now))
    assert session.sent[-1].reason == "not_sent"
    session.ended(2, Outcome.OK, now)
    assert isinstance(session.end, SingleAnswered)


def test_request_is_given_up_when_no_target_is_back_in_time(
    selector: TargetSelector, budget: RetryBudget
) -> None:
    session = Session(selector, budget, True)
    now, token = 0.0, 0
    while session.end is None:
        if token < len(session.sent):
            target = session.sent[token].target
            selector.sent(target, token, ROUTE, now)
            selector.ended(target, token, Outcome.NOT_SENT, None, now)
            session.ended(token, Outcome.NOT_SENT, now)
            token += 1
            continue
        now = session.single.next_wake()
        session.take(session.single.tick(now))
    assert isinstance(session.end, SingleFailed)
    assert not session.end.ran
    assert now < 0.18
