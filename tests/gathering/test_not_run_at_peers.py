"""Shards that no target of a peer has run: they keep their attempts, and others may be asked."""

import pytest

from tests.gathering.test_gather import (
    END_AT,
    GROUP,
    SHARDS,
    Session,
)
from trackwheel.gathering.gather_models import Gathered, GatherFailed
from trackwheel.relay.causes import Cause
from trackwheel.relay.models import Outcome
from trackwheel.selection.budget import RetryBudget
from trackwheel.selection.target_selector import TargetSelector


@pytest.mark.parametrize(
    ("not_run", "sends"),
    [
        pytest.param(("s0",), ["s0-far", "s0-near"], id="not-run"),
        pytest.param((), ["s0-far"], id="may-have-run"),
    ],
)
def test_attempt_that_no_target_ran_is_given_back(
    selector: TargetSelector, budget: RetryBudget, not_run: tuple[str, ...], sends: list[str]
) -> None:
    """Load: targets of one failure domain are replaced, those of another one fail.

    A route with two attempts counted the one that a peer had not used, and gave the query up after
    a tenth of a second of four.
    """
    session = Session(selector, budget, least=1.0, groups=(GROUP,))
    session.gather.group_accepted(0)
    for shard in SHARDS[3:]:
        session.answer(shard)
    session.parts(["s1", "s2"], True, not_run=not_run)
    session.fail("s0", Outcome.FAILED, 0.06)
    asked = [sent.target.instance for sent in session.sent if sent.shard == "s0"]
    assert asked == sends
    if not_run:
        session.answer("s0", 0.1)
        assert isinstance(session.end, Gathered)
    else:
        assert isinstance(session.end, GatherFailed)
        assert session.end.cause is Cause.ATTEMPTS


@pytest.mark.parametrize(
    ("outcome", "not_run"),
    [
        pytest.param(Outcome.ELSEWHERE, ("s0",), id="elsewhere"),
        pytest.param(Outcome.FAILED, (), id="failed"),
        pytest.param(None, (), id="outstanding"),
    ],
)
def test_peer_reports_what_no_target_has_run(
    selector: TargetSelector,
    budget: RetryBudget,
    outcome: Outcome | None,
    not_run: tuple[str, ...],
) -> None:
    """Only a shard whose every request has ended without a run counts as not run."""
    session = Session(selector, budget, partial=True, max_attempts=2)
    for shard in SHARDS[1:]:
        session.answer(shard)
    while outcome is not None and session.open:
        session.fail("s0", outcome)
    if session.end is None:
        session.tick(END_AT)
    assert isinstance(session.end, Gathered)
    assert session.end.not_run == not_run
