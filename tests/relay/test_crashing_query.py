"""A query under which targets end: what it still asks, and how it is given up.

In an incident the second target of each shard was asked as soon as the first one had ended under
the query, so that one query ended all forty targets of its service and not twenty.
"""

import pytest

from tests.relay.conftest import ROUTE, THERE, end
from tests.relay.test_gather import ANSWER_AT, GROUP, SHARDS, Elsewhere, Session
from trackwheel.relay.budget import RetryBudget
from trackwheel.relay.gather import ENDS_TARGETS
from trackwheel.relay.gather_models import Gathered, GatherFailed
from trackwheel.relay.models import Outcome, Passage
from trackwheel.relay.single import Single, SingleFailed, SinglePlan
from trackwheel.relay.target_selector import TargetSelector


class Gate:
    """Let a request pass or not, as a test says."""

    def __init__(self) -> None:
        self.now = Passage.OPEN

    def passage(self, now: float) -> Passage:
        return self.now


def test_second_targets_are_spared_while_nothing_has_answered(
    selector: TargetSelector, budget: RetryBudget
) -> None:
    session = Session(selector, budget)
    for shard in SHARDS[:-1]:
        session.fail(shard, Outcome.CLOSED)
        session.tick(session.gather.next_wake())
    assert [sent.reason for sent in session.sent] == ["first"] * len(SHARDS)
    session.answer(SHARDS[-1], 0.05)
    session.tick(session.gather.next_wake())
    asked_again = [sent.target.instance for sent in session.sent[len(SHARDS) :]]
    assert sorted(asked_again) == [f"{shard}-far" for shard in SHARDS[:-1]]


def test_second_target_is_asked_once_another_shard_is_in(
    selector: TargetSelector, budget: RetryBudget
) -> None:
    session = Session(selector, budget)
    session.answer("s1")
    session.fail("s0", Outcome.CLOSED)
    assert session.sent[-1].target.instance == "s0-far"


def test_second_target_is_asked_when_nothing_else_is_awaited(
    selector: TargetSelector, budget: RetryBudget
) -> None:
    session = Session(selector, budget)
    for shard in SHARDS:
        session.fail(shard, Outcome.CLOSED)
    assert session.sent[-1].target.instance == f"{SHARDS[-1]}-far"


def test_query_whose_every_target_ended_is_given_up_with_the_next_look(
    selector: TargetSelector, no_budget: RetryBudget
) -> None:
    session = Session(selector, no_budget)
    for shard in SHARDS:
        session.fail(shard, Outcome.CLOSED)
    looked_at = session.gather.next_wake()
    assert looked_at < ANSWER_AT
    session.tick(looked_at)
    assert isinstance(session.end, GatherFailed)
    assert session.end[:3] == (True, False, "too few shards can answer")


def test_peer_under_which_targets_ended_makes_the_query_wait(
    selector: TargetSelector, budget: RetryBudget
) -> None:
    elsewhere = Elsewhere()
    session = Session(selector, budget, groups=(GROUP,), elsewhere=elsewhere)
    session.take(session.gather.group_parts(0, {}, [], False, True, 0.05, closed=3))
    assert len(session.groups) == 1
    session.answer("s5", 0.06)
    session.tick(session.gather.next_wake())
    assert session.groups[-1].group.place == THERE
    assert set(session.groups[-1].group.shards) == set(GROUP.shards)


@pytest.mark.parametrize("partial", [False, True], ids=["client's", "peer's"])
def test_held_query_ends_at_once(
    selector: TargetSelector, budget: RetryBudget, partial: bool
) -> None:
    gate = Gate()
    session = Session(selector, budget, partial=partial, gate=gate)
    gate.now = Passage.SHUT
    session.fail("s0", Outcome.CLOSED)
    assert not session.open
    if partial:
        assert isinstance(session.end, Gathered)
        assert session.end.missing == len(SHARDS)
    else:
        assert isinstance(session.end, GatherFailed)
        assert session.end[:3] == (True, False, ENDS_TARGETS)
    assert len(session.sent) == len(SHARDS)


def test_suspect_is_asked_nowhere_until_it_is_cleared(
    selector: TargetSelector, budget: RetryBudget
) -> None:
    gate = Gate()
    elsewhere = Elsewhere()
    session = Session(selector, budget, gate=gate, elsewhere=elsewhere)
    gate.now = Passage.WAIT
    session.answer("s1")
    session.fail("s0", Outcome.CLOSED)
    while (at := session.gather.next_wake()) < ANSWER_AT:
        session.tick(at)
    assert len(session.sent) == len(SHARDS)
    assert not session.groups
    gate.now = Passage.OPEN
    session.tick(session.gather.next_wake())
    assert session.groups


@pytest.mark.parametrize(
    ("passage", "sends"),
    [(Passage.OPEN, 2), (Passage.ONE, 1), (Passage.WAIT, 1), (Passage.SHUT, 1)],
)
def test_request_to_one_target_is_not_sent_again(
    selector: TargetSelector, budget: RetryBudget, passage: Passage, sends: int
) -> None:
    gate = Gate()
    single = Single(SinglePlan(ROUTE, "s0", True, 3, 0.18, 1.0, gate), selector, budget)
    single.start(0.0)
    gate.now = passage
    commands = single.target_ended(0, end(Outcome.CLOSED), 0.02)
    assert (commands == [SingleFailed(True, False, "closed")]) is (sends == 1)
