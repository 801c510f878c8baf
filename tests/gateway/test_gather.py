"""The gather: snapshots, coverage, hedges, retries and failure, case by case and generated."""

from collections.abc import Iterable

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.golden import Transcript
from trackwheel.dispatch.models import Outcome
from trackwheel.files.models import Policy
from trackwheel.gateway.budget import RetryBudget
from trackwheel.gateway.const import MAX_VERSION_RETRIES
from trackwheel.gateway.gather import Gather
from trackwheel.gateway.models import (
    Answer,
    CancelSubrequest,
    GatherCommand,
    QueryAnswered,
    QueryFailed,
    QueryPlan,
    SendSubrequest,
    Snapshot,
    SubrequestResult,
)
from trackwheel.gateway.target_selector import TargetSelector

STRICT = Policy(deadline_s=0.1, wait_s=0.1, least_coverage=1.0)
PATIENT = Policy(deadline_s=0.1, wait_s=0.4, least_coverage=0.9)
QUICK = Policy(deadline_s=0.1, wait_s=0.1, least_coverage=0.5)


class Session:
    """Drive one gather and collect its sub-requests."""

    def __init__(
        self,
        instances: int = 3,
        replicas: int = 2,
        policy: Policy = STRICT,
        hint: int | None = None,
        budget: float = 1.0,
        selector: TargetSelector | None = None,
    ) -> None:
        self.selector = selector or TargetSelector(seed=1)
        self.budget = RetryBudget(budget)
        targets = tuple(
            tuple(f"t{number}{'abc'[replica]}" for replica in range(replicas))
            for number in range(instances)
        )
        plan = QueryPlan("q1", "ledger", "clerks", policy, targets, hint)
        self.instances = instances
        self.gather = Gather(plan, self.selector, self.budget, 0.0)
        self.open: dict[int, SendSubrequest] = {}
        self.all_subrequests: list[SendSubrequest] = []
        self.end: QueryAnswered | QueryFailed | None = None
        self.transcript = Transcript()
        self.now = 0.0
        self.take(self.gather.start(0.0))

    def take(self, commands: Iterable[GatherCommand]) -> None:
        commands = list(commands)
        self.transcript.commands(commands)
        for command in commands:
            match command:
                case SendSubrequest():
                    self.open[command.nonce] = command
                    self.all_subrequests.append(command)
                case CancelSubrequest(nonce, _):
                    self.open.pop(nonce, None)
                case QueryAnswered() | QueryFailed():
                    assert self.end is None, "a query ends once"
                    self.end = command

    def subrequest_to(self, instance: int) -> SendSubrequest:
        return next(
            subrequest for subrequest in self.open.values() if subrequest.instance == instance
        )

    def answer(
        self,
        subrequest: SendSubrequest,
        version: int = 1,
        shards: tuple[int, ...] | None = None,
        map_size: int | None = None,
        at: float | None = None,
    ) -> None:
        shards = (subrequest.instance,) if shards is None else shards
        items = {shard: [raw(f"v{version}s{shard}")] for shard in shards}
        snapshot = Snapshot(version, map_size or self.instances)
        self.send(
            subrequest, SubrequestResult(subrequest.nonce, Outcome.OK, snapshot, items, (), 0.0), at
        )

    def fail(
        self,
        subrequest: SendSubrequest,
        outcome: Outcome,
        holds: tuple[int, ...] = (),
        retry_after_s: float = 0.0,
        at: float | None = None,
    ) -> None:
        event = SubrequestResult(subrequest.nonce, outcome, None, {}, holds, retry_after_s)
        self.send(subrequest, event, at)

    def send(self, subrequest: SendSubrequest, event: SubrequestResult, at: float | None) -> None:
        self.now = self.now if at is None else at
        self.open.pop(subrequest.nonce, None)
        self.transcript.event(self.now, event)
        self.take(self.gather.handle_result(event, self.now))

    def tick(self, at: float) -> None:
        self.now = at
        self.transcript.event(at, "tick")
        self.take(self.gather.tick(at))

    @property
    def result(self) -> Answer:
        assert self.end is not None, "the query has ended"
        return self.end.answer


def raw(text: str) -> msgspec.Raw:
    return msgspec.Raw(msgspec.json.encode(text))


def versions_in(answer: Answer) -> set[str]:
    items = (item for found in answer.items_by_shard.values() for item in found)
    return {msgspec.json.decode(item).split("s")[0] for item in items}


def test_complete_answer_ends_the_query_at_once() -> None:
    session = Session()
    for instance in range(3):
        session.answer(session.subrequest_to(instance))
    assert isinstance(session.end, QueryAnswered)
    assert session.result.complete
    assert session.budget.extras == 0


@pytest.mark.parametrize("order", [(0, 1, 2), (2, 1, 0), (1, 2, 0)], ids=str)
def test_answers_in_any_order(order: tuple[int, ...]) -> None:
    session = Session()
    for instance in order:
        session.answer(session.subrequest_to(instance))
    assert list(sorted(session.result.items_by_shard)) == [0, 1, 2]


def test_duplicate_and_foreign_answers_are_ignored() -> None:
    session = Session()
    first = session.subrequest_to(0)
    session.answer(first)
    session.answer(first, version=9)
    session.answer(first._replace(nonce=99), version=9)
    session.answer(first, shards=(0, 1, 2))
    session.answer(first._replace(nonce=99), shards=(0, 1, 2))
    assert session.end is None, "none of them was accepted"
    session.answer(session.subrequest_to(1))
    session.answer(session.subrequest_to(2))
    assert session.result.snapshot == Snapshot(1, 3)


def test_versions_are_never_mixed_after_a_switch() -> None:
    session = Session(hint=1)
    session.answer(session.subrequest_to(0))
    session.fail(session.subrequest_to(1), Outcome.WRONG_VERSION, holds=(2,))
    session.fail(session.subrequest_to(1), Outcome.WRONG_VERSION, holds=(2,))
    while session.end is None and session.open:
        subrequest = next(iter(session.open.values()))
        assert subrequest.version == 2, "all instances are asked at the new version"
        session.answer(subrequest, version=2)
    assert session.result.snapshot == Snapshot(2, 3)
    assert versions_in(session.result) == {"v2"}


def test_only_instances_at_other_versions_are_asked_again() -> None:
    session = Session(hint=None)
    session.answer(session.subrequest_to(0), version=2)
    session.answer(session.subrequest_to(1), version=1)
    session.answer(session.subrequest_to(2), version=2)
    again = [subrequest for subrequest in session.all_subrequests if subrequest.reason == "retry"]
    assert [subrequest.instance for subrequest in again] == [1]
    assert again[0].version == 2
    session.answer(again[0], version=2)
    assert session.result.complete


def test_version_that_arrives_late_is_awaited() -> None:
    session = Session(replicas=1, policy=PATIENT, hint=2)
    session.answer(session.subrequest_to(0), version=2)
    session.answer(session.subrequest_to(1), version=2)
    session.fail(session.subrequest_to(2), Outcome.WRONG_VERSION, holds=(1,))
    assert session.end is None
    session.tick(0.02)
    session.answer(session.subrequest_to(2), version=2)
    assert session.result.complete


def test_repartition_counts_shards_of_the_pinned_map() -> None:
    session = Session(hint=None)
    session.answer(session.subrequest_to(0), version=2, shards=(0, 3), map_size=6)
    session.answer(session.subrequest_to(1), version=2, shards=(1, 4), map_size=6)
    session.answer(session.subrequest_to(2), version=2, shards=(2, 5), map_size=6)
    assert session.result.complete
    assert len(session.result.items_by_shard) == 6


def test_moved_shard_is_counted_once_and_a_lost_one_is_listed() -> None:
    session = Session(policy=QUICK)
    session.answer(session.subrequest_to(0), shards=(0, 1), map_size=4)
    session.answer(session.subrequest_to(1), shards=(1,), map_size=4)
    session.answer(session.subrequest_to(2), shards=(2,), map_size=4)
    assert sorted(session.result.items_by_shard) == [0, 1, 2]
    assert [missing.shard for missing in session.result.missing_shards] == [3]
    assert len(session.result.items_by_shard[1]) == 1


@pytest.mark.parametrize(
    ("policy", "answered", "ends_at", "given_up"),
    [
        pytest.param(QUICK, 6, 0.1, False, id="quick-answers-at-deadline"),
        pytest.param(QUICK, 4, 0.1, True, id="quick-gives-up-below-least"),
        pytest.param(PATIENT, 9, 0.1, False, id="patient-has-enough-at-deadline"),
        pytest.param(PATIENT, 8, 0.4, True, id="patient-waits-then-gives-up"),
        pytest.param(STRICT, 9, 0.1, True, id="strict-wants-all"),
    ],
)
def test_deadlines_and_coverage(
    policy: Policy, answered: int, ends_at: float, given_up: bool
) -> None:
    session = Session(instances=10, replicas=1, policy=policy)
    for instance in range(answered):
        session.answer(session.subrequest_to(instance))
    while session.end is None:
        session.tick(session.gather.next_wake())
    assert session.now == pytest.approx(ends_at)
    assert isinstance(session.end, QueryFailed) is given_up
    assert len(session.result.items_by_shard) == answered
    assert {missing.reason for missing in session.result.missing_shards} == {"late"}


def test_patient_query_takes_the_late_shard() -> None:
    session = Session(instances=10, replicas=1, policy=PATIENT)
    for instance in range(8):
        session.answer(session.subrequest_to(instance))
    session.tick(0.1)
    assert session.end is None
    session.answer(session.subrequest_to(8), at=0.2)
    assert isinstance(session.end, QueryAnswered)
    assert [missing.shard for missing in session.result.missing_shards] == [9]


def test_slower_sub_request_is_cancelled_after_a_hedge_succeeds() -> None:
    session = Session()
    session.answer(session.subrequest_to(0))
    session.answer(session.subrequest_to(1))
    slow = session.subrequest_to(2)
    session.tick(0.031)
    hedge = next(subrequest for subrequest in session.open.values() if subrequest.reason == "hedge")
    assert hedge.target != slow.target
    session.answer(hedge)
    assert session.result.complete
    assert session.open == {}, "the slow sub-request is cancelled"
    assert session.budget.extras == 1


def test_hedges_stop_at_the_budget() -> None:
    session = Session(instances=40, budget=1e-9)
    session.tick(0.031)
    hedges = [subrequest for subrequest in session.all_subrequests if subrequest.reason == "hedge"]
    assert len(hedges) == 10, "only the initial tokens of the budget"
    assert session.budget.denied > 0


@pytest.mark.parametrize(
    "outcome", [Outcome.FAILED, Outcome.SHED, Outcome.LEAVING, Outcome.NO_OWNER], ids=str
)
def test_other_replica_is_asked_after_a_failure(outcome: Outcome) -> None:
    session = Session()
    failed = session.subrequest_to(1)
    session.fail(failed, outcome)
    for instance in range(3):
        session.answer(session.subrequest_to(instance))
    assert session.result.complete


def test_query_fails_at_once_when_full_coverage_is_unreachable() -> None:
    session = Session()
    session.fail(session.subrequest_to(1), Outcome.SHED, retry_after_s=0.2)
    session.fail(session.subrequest_to(1), Outcome.SHED, retry_after_s=0.7, at=0.004)
    assert isinstance(session.end, QueryFailed)
    assert session.end.overloaded
    assert session.end.retry_after_s == pytest.approx(0.7)
    assert session.now < 0.005, "at once, not near the deadline"
    assert session.open == {}, "no sub-request stays open"


def test_lost_shard_is_listed_as_missing_when_coverage_suffices() -> None:
    session = Session(policy=QUICK)
    session.fail(session.subrequest_to(1), Outcome.FAILED)
    session.fail(session.subrequest_to(1), Outcome.FAILED)
    session.answer(session.subrequest_to(0))
    session.answer(session.subrequest_to(2))
    assert isinstance(session.end, QueryAnswered)
    assert session.result.missing_shards[0].shard == 1
    assert session.result.missing_shards[0].reason == "failed"


def test_leaving_target_is_not_asked() -> None:
    selector = TargetSelector(seed=1)
    selector.mark_leaving("t1a", 0.0)
    session = Session(selector=selector)
    assert "t1a" not in [subrequest.target for subrequest in session.all_subrequests]
    selector.mark_leaving("t1b", 0.0)
    session = Session(selector=selector, policy=QUICK)
    assert not any(subrequest.instance == 1 for subrequest in session.all_subrequests)


def test_owner_of_a_leaving_target_is_asked_again_after_a_while() -> None:
    """A target may stop leaving while queries run, and only its owner sees that."""
    selector = TargetSelector(seed=1)
    selector.mark_leaving("t1a", 0.0)
    assert selector.choose(("t1a",), set(), 0.9) is None
    assert selector.choose(("t1a",), set(), 1.1) == "t1a"


def test_last_replicas_are_asked_even_when_ejected() -> None:
    session = Session()
    session.fail(session.subrequest_to(0), Outcome.EJECTED)
    session.fail(session.subrequest_to(0), Outcome.EJECTED)
    fallback = session.subrequest_to(0)
    assert fallback.last_resort
    session.answer(fallback)
    session.answer(session.subrequest_to(1))
    session.answer(session.subrequest_to(2))
    assert session.result.complete


@pytest.mark.parametrize(
    "refused_elsewhere", [False, True], ids=["refused-itself", "refused-another-query"]
)
@pytest.mark.parametrize("last", [Outcome.LEAVING, Outcome.FAILED, Outcome.SHED], ids=str)
def test_ejected_replica_is_asked_when_the_other_one_is_lost(
    last: Outcome, refused_elsewhere: bool
) -> None:
    """An ejected target is a last resort when the other replica is lost.

    Queries failed although the ejected target had recovered, since it was not asked.
    """
    selector = TargetSelector(seed=1)
    if refused_elsewhere:
        selector.mark_ejected("t0b", 0.0)
        session = Session(selector=selector)
        assert session.subrequest_to(0).target == "t0a"
    else:
        session = Session(selector=selector)
        session.fail(session.subrequest_to(0), Outcome.EJECTED)
    session.fail(session.subrequest_to(0), last)
    assert session.subrequest_to(0).last_resort
    for instance in range(3):
        session.answer(session.subrequest_to(instance))
    assert session.result.complete


def test_target_that_answers_another_version_than_asked_counts_as_failed() -> None:
    session = Session(hint=1)
    session.answer(session.subrequest_to(0), version=7)
    for instance in range(3):
        session.answer(session.subrequest_to(instance), version=1)
    assert session.result.snapshot == Snapshot(1, 3)


def test_golden_session_of_a_flip_with_a_straggler() -> None:
    session = Session(hint=1, policy=PATIENT)
    session.answer(session.subrequest_to(0), at=0.004)
    session.fail(session.subrequest_to(1), Outcome.WRONG_VERSION, holds=(2,), at=0.005)
    session.fail(session.subrequest_to(1), Outcome.WRONG_VERSION, holds=(2,), at=0.006)
    for subrequest in list(session.open.values()):
        if subrequest.instance != 2 and subrequest.version == 2:
            session.answer(subrequest, version=2, at=0.009)
    session.tick(0.05)
    hedge = session.subrequest_to(2)
    session.answer(hedge, version=2, at=0.052)
    session.transcript.check("gather_flip_with_straggler")


OUTCOMES = st.sampled_from(
    [
        Outcome.OK,
        Outcome.OK,
        Outcome.OK,
        Outcome.WRONG_VERSION,
        Outcome.SHED,
        Outcome.FAILED,
        Outcome.LEAVING,
        Outcome.EJECTED,
        Outcome.NO_OWNER,
        Outcome.LATE,
    ]
)
STEP = st.tuples(st.integers(0, 30), OUTCOMES, st.integers(1, 3), st.floats(0.0, 0.01))


@settings(max_examples=1500, deadline=None, derandomize=True)
@given(
    steps=st.lists(STEP, max_size=60),
    policy=st.sampled_from([STRICT, PATIENT, QUICK]),
    hint=st.sampled_from([None, 1, 2]),
    map_growth=st.integers(0, 2),
)
def test_answers_are_consistent_for_any_event_order(
    steps: list[tuple[int, Outcome, int, float]],
    policy: Policy,
    hint: int | None,
    map_growth: int,
) -> None:
    """Whatever the versions, failures and order: no mixed snapshots, no unlisted missing shards."""
    session = Session(instances=4, policy=policy, hint=hint)
    for pick, outcome, version, wait in steps:
        if session.end is not None:
            break
        session.now += wait
        session.tick(session.now)
        if session.end is not None or not session.open:
            continue
        subrequest = list(session.open.values())[pick % len(session.open)]
        if outcome is Outcome.OK:
            answered = version if subrequest.version is None else subrequest.version
            session.answer(subrequest, version=answered, map_size=4 + map_growth * (answered - 1))
        else:
            session.fail(subrequest, outcome, holds=(version,))
    while session.end is None:
        session.tick(max(session.now, session.gather.next_wake()))
    answer = session.result
    assert session.now <= policy.wait_s + 0.011, "the query ends in time"
    assert session.open == {}, "no sub-request stays open"
    assert len(versions_in(answer)) <= 1, "one snapshot"
    covered = set(answer.items_by_shard)
    missing_shards = {missing.shard for missing in answer.missing_shards}
    total = answer.snapshot.map_size if answer.snapshot else 4
    assert covered | missing_shards == set(range(total)), "every shard is accounted for"
    assert not covered & missing_shards
    if isinstance(session.end, QueryAnswered):
        assert answer.coverage >= policy.least_coverage
    most = 4 * (5 + MAX_VERSION_RETRIES)
    assert len(session.all_subrequests) <= most, "sub-requests are bounded"


@pytest.mark.parametrize("instances", [1, 3])
def test_index_that_was_set_back_is_answered_at_its_older_version(instances: int) -> None:
    session = Session(instances=instances, hint=4)
    while session.end is None and session.open:
        subrequest = next(iter(session.open.values()))
        if subrequest.version == 4:
            session.fail(subrequest, Outcome.WRONG_VERSION, holds=(1,))
        else:
            session.answer(subrequest, version=1)
    assert session.result.snapshot == Snapshot(1, instances)
    assert session.result.complete
    assert session.selector.last_version("ledger") == 1


def test_one_replica_that_lags_does_not_move_the_others() -> None:
    session = Session(hint=4)
    session.fail(session.subrequest_to(1), Outcome.WRONG_VERSION, holds=(3,))
    assert len(session.all_subrequests) == 4, "only the other replica is asked"
    for instance in range(3):
        session.answer(session.subrequest_to(instance), version=4)
    assert session.result.complete


@pytest.mark.parametrize(
    "lost",
    [pytest.param("ejected", id="ejected"), pytest.param("leaving", id="leaving")],
)
def test_lagging_instance_is_awaited_when_its_other_target_is_out(lost: str) -> None:
    selector = TargetSelector(seed=1)
    learn = selector.mark_ejected if lost == "ejected" else selector.mark_leaving
    learn("t2a", 0.0)
    session = Session(hint=2, selector=selector, policy=STRICT)
    session.answer(session.subrequest_to(0), version=2)
    session.answer(session.subrequest_to(1), version=2)
    assert session.subrequest_to(2).target == "t2b"
    session.fail(session.subrequest_to(2), Outcome.WRONG_VERSION, holds=(1,))
    assert session.end is None, "t2b may receive the version soon"
    session.tick(0.02)
    session.answer(session.subrequest_to(2), version=2)
    assert session.result.complete


@pytest.mark.parametrize(
    "outcomes",
    [
        pytest.param([Outcome.FAILED], id="failed"),
        pytest.param([Outcome.EJECTED, Outcome.FAILED], id="ejected-then-failed-as-last-resort"),
        pytest.param([Outcome.LEAVING], id="leaving"),
        pytest.param([Outcome.SHED], id="shed"),
    ],
)
def test_lagging_target_is_awaited_when_the_other_one_fails(outcomes: list[Outcome]) -> None:
    session = Session(hint=2, policy=STRICT)
    session.answer(session.subrequest_to(0), version=2)
    session.answer(session.subrequest_to(1), version=2)
    session.fail(session.subrequest_to(2), Outcome.WRONG_VERSION, holds=(1,))
    for outcome in outcomes:
        session.fail(session.subrequest_to(2), outcome)
    assert session.end is None, "the first target may receive the version soon"
    session.tick(0.02)
    session.answer(session.subrequest_to(2), version=2)
    assert session.result.complete
