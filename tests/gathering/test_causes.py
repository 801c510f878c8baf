"""Why a query has no whole answer in time: one cause for each failure of its shards."""

import pytest

from tests.gathering.test_gather import ANSWER_AT, END_AT, GROUP, SHARDS, Session, refuse_connection
from tests.relay.conftest import OLD
from trackwheel.gathering.gather_models import Gathered, GatherFailed
from trackwheel.relay.causes import Cause, most_frequent
from trackwheel.relay.models import Outcome
from trackwheel.selection.budget import RetryBudget, RetryBudgetLimits
from trackwheel.selection.target_selector import TargetSelector


def spent_budget() -> RetryBudget:
    """Return a budget that allows repeats in general but none for the first requests here."""
    return RetryBudget(RetryBudgetLimits(0.2, 10.0, 0.0), OLD)


@pytest.mark.parametrize(
    ("outcome", "attempts", "spent", "cause"),
    [
        pytest.param(None, 1, False, Cause.TARGET_SILENT, id="target-silent"),
        pytest.param(Outcome.FAILED, 1, False, Cause.ATTEMPTS, id="attempts-spent"),
        pytest.param(Outcome.FAILED, 2, True, Cause.RETRY_BUDGET, id="budget-spent"),
        pytest.param(Outcome.ELSEWHERE, 2, False, Cause.TARGETS_TRIED, id="no-target-left"),
        pytest.param(Outcome.NOT_RUN, 2, False, Cause.SHED, id="targets-shed"),
        pytest.param(Outcome.NOT_SENT, 2, False, Cause.UNREACHABLE, id="targets-unreachable"),
    ],
)
def test_failure_names_its_cause(
    selector: TargetSelector,
    budget: RetryBudget,
    outcome: Outcome | None,
    attempts: int,
    spent: bool,
    cause: Cause,
) -> None:
    """Load: one shard of a query that needs all of them is not answered."""
    chosen = spent_budget() if spent else budget
    session = Session(selector, chosen, least=1.0, max_attempts=attempts)
    for shard in SHARDS[1:]:
        session.answer(shard)
    while outcome is not None and session.open:
        if outcome is Outcome.NOT_SENT:
            refuse_connection(selector, session, "s0", 0.02)
        else:
            session.fail("s0", outcome)
    if session.end is None:
        session.tick(END_AT)
    assert isinstance(session.end, GatherFailed)
    assert session.end.cause is cause


def test_silent_peer_is_the_cause(selector: TargetSelector, budget: RetryBudget) -> None:
    """Load: a query's answer leaves out the shards of a peer that has accepted and is late."""
    session = Session(selector, budget, least=0.7, groups=(GROUP,), max_attempts=1)
    session.gather.group_accepted(0)
    for shard in SHARDS[3:]:
        session.answer(shard)
    session.tick(ANSWER_AT)
    assert isinstance(session.end, Gathered)
    assert (session.end.missing, session.end.cause) == (3, Cause.PEER_SILENT)


def test_late_answer_names_what_it_waited_for(
    selector: TargetSelector, budget: RetryBudget
) -> None:
    """Load: a slow target's part arrives after the target latency and completes the answer."""
    session = Session(selector, budget, least=1.0, max_attempts=1)
    for shard in SHARDS[1:]:
        session.answer(shard)
    session.answer("s0", ANSWER_AT + 0.1)
    assert isinstance(session.end, Gathered)
    assert (session.end.missing, session.end.cause) == (0, Cause.TARGET_SILENT)


def test_answer_in_time_has_no_cause(selector: TargetSelector, budget: RetryBudget) -> None:
    session = Session(selector, budget)
    for shard in SHARDS:
        session.answer(shard)
    assert isinstance(session.end, Gathered)
    assert session.end.cause is None


@pytest.mark.parametrize(
    ("causes", "expected"),
    [
        pytest.param([], None, id="none"),
        pytest.param([Cause.SHED, Cause.COLD, Cause.SHED], Cause.SHED, id="most"),
        pytest.param([Cause.SHED, Cause.COLD], Cause.COLD, id="first-by-name"),
    ],
)
def test_most_frequent(causes: list[Cause], expected: Cause | None) -> None:
    assert most_frequent(causes) is expected
