"""A query that crashes its targets: which targets it still asks, and how it fails.

Guards against asking the second target of each shard as soon as the first one has crashed: in an
incident one query crashed all forty targets of its service instead of twenty.
"""

import pytest

from tests.gathering.test_gather import ANSWER_AT, GROUP, SHARDS, Session, SinglePeerRegrouper
from tests.relay.conftest import ROUTE, THERE, target_result
from trackwheel.gathering.gather import CRASHES_TARGETS
from trackwheel.gathering.gather_models import Gathered, GatherFailed
from trackwheel.relay.causes import Cause
from trackwheel.relay.models import Outcome, SendPermission
from trackwheel.relay.single import Single, SingleFailed, SinglePlan
from trackwheel.selection.budget import RetryBudget
from trackwheel.selection.target_selector import TargetSelector


class Gate:
    """A gate whose answer the test sets."""

    def __init__(self) -> None:
        self.now = SendPermission.OPEN

    def permission(self, now: float) -> SendPermission:
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
    regrouper = SinglePeerRegrouper()
    session = Session(selector, budget, groups=(GROUP,), regrouper=regrouper)
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
    gate.now = SendPermission.SHUT
    session.fail("s0", Outcome.CLOSED)
    assert not session.open
    if partial:
        assert isinstance(session.end, Gathered)
        assert session.end.missing == len(SHARDS)
    else:
        assert isinstance(session.end, GatherFailed)
        assert session.end[:3] == (True, False, CRASHES_TARGETS)
    assert len(session.sent) == len(SHARDS)


def test_suspect_is_asked_nowhere_until_it_is_cleared(
    selector: TargetSelector, budget: RetryBudget
) -> None:
    gate = Gate()
    regrouper = SinglePeerRegrouper()
    session = Session(selector, budget, gate=gate, regrouper=regrouper)
    gate.now = SendPermission.WAIT
    session.answer("s1")
    session.fail("s0", Outcome.CLOSED)
    while (at := session.gather.next_wake()) < ANSWER_AT:
        session.tick(at)
    assert len(session.sent) == len(SHARDS)
    assert not session.groups
    gate.now = SendPermission.OPEN
    session.tick(session.gather.next_wake())
    assert session.groups


@pytest.mark.parametrize(
    ("permission", "sends", "cause"),
    [
        (SendPermission.OPEN, 2, None),
        (SendPermission.ONE, 1, Cause.HELD),
        (SendPermission.WAIT, 1, Cause.SUSPECTED),
        (SendPermission.SHUT, 1, Cause.HELD),
    ],
)
def test_request_to_one_target_is_not_sent_again(
    selector: TargetSelector,
    budget: RetryBudget,
    permission: SendPermission,
    sends: int,
    cause: Cause | None,
) -> None:
    gate = Gate()
    single = Single(SinglePlan(ROUTE, "s0", True, 3, 0.18, 1.0, gate), selector, budget)
    single.start(0.0)
    gate.now = permission
    commands = single.target_ended(0, target_result(Outcome.CLOSED), 0.02)
    assert (commands == [SingleFailed(True, False, "closed", cause)]) is (sends == 1)
