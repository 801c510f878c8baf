"""At-most-once requests: the ledger and the execution, case by case and in generated orders."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.golden import Transcript
from trackwheel.dispatch.models import ExecuteAnswer, Outcome, PermitRequest, RunOutcome
from trackwheel.gateway.const import ID_LIFETIME_S
from trackwheel.gateway.execution import (
    EnqueueExecution,
    Execution,
    ExecutionCommand,
    ExecutionPlan,
    SendPermitReply,
    Settled,
)
from trackwheel.gateway.ledger import Ledger, Verdict, parse_id
from trackwheel.gateway.target_selector import TargetSelector

BODY = b"promise pallet 7"


def new_ledger() -> Ledger:
    return Ledger("b007", b"secret")


def new_id(ledger: Ledger, now: float = 1.0) -> str:
    return ledger.issue("clerks", 1, now)[0]


def test_ids_are_unique_and_say_who_issued_them() -> None:
    ids = new_ledger().issue("clerks", 100, 1.0)
    assert len(set(ids)) == 100
    parsed = parse_id(ids[0])
    assert parsed is not None
    assert parsed.boot == "b007"


@pytest.mark.parametrize(
    ("change", "verdict"),
    [
        pytest.param(lambda text: text, Verdict.START, id="own"),
        pytest.param(lambda text: "", Verdict.INVALID, id="empty"),
        pytest.param(lambda text: "x" * 500, Verdict.INVALID, id="long"),
        pytest.param(lambda text: text[:-1] + "z", Verdict.INVALID, id="forged"),
        pytest.param(lambda text: text.replace("-1-", "-2-"), Verdict.INVALID, id="other-number"),
        pytest.param(lambda text: "f00d" + text[4:], Verdict.ELSEWHERE, id="other-boot"),
        pytest.param(lambda text: "a-b-c-d", Verdict.INVALID, id="no-numbers"),
    ],
)
def test_begin_checks_the_id(change: object, verdict: Verdict) -> None:
    ledger = new_ledger()
    assert callable(change)
    request_id = change(new_id(ledger))
    assert ledger.begin(request_id, "clerks", BODY, 1.0).verdict is verdict


def test_begin_refuses_another_group_another_body_and_an_old_id() -> None:
    ledger = new_ledger()
    request_id = new_id(ledger)
    assert ledger.begin(request_id, "drivers", BODY, 1.0).verdict is Verdict.INVALID
    assert ledger.begin(request_id, "clerks", BODY, 1.0).verdict is Verdict.START
    assert ledger.begin(request_id, "clerks", b"other", 1.0).verdict is Verdict.REUSED
    expired_id = new_id(ledger)
    late = 1.0 + ID_LIFETIME_S + 1
    assert ledger.begin(expired_id, "clerks", BODY, late).verdict is Verdict.EXPIRED


def test_permit_is_granted_once() -> None:
    ledger = new_ledger()
    request_id = new_id(ledger)
    attempt = ledger.begin(request_id, "clerks", BODY, 1.0).attempt
    assert ledger.begin(request_id, "clerks", BODY, 1.0).verdict is Verdict.JOIN
    assert ledger.grant_permit(request_id, attempt)
    assert not ledger.grant_permit(request_id, attempt)
    assert ledger.end_attempt(request_id, attempt) is RunOutcome.UNKNOWN
    assert ledger.begin(request_id, "clerks", BODY, 1.0).outcome is RunOutcome.UNKNOWN
    ledger.record_done(request_id, attempt, b"late")
    late = ledger.begin(request_id, "clerks", BODY, 1.0)
    assert (late.verdict, late.outcome, late.body) == (Verdict.FINAL, RunOutcome.DONE, b"late")


def test_no_permit_after_an_attempt_ended_and_a_repeat_starts_another() -> None:
    ledger = new_ledger()
    request_id = new_id(ledger)
    first = ledger.begin(request_id, "clerks", BODY, 1.0).attempt
    assert ledger.end_attempt(request_id, first) is RunOutcome.NOT_RUN
    assert not ledger.grant_permit(request_id, first)
    again = ledger.begin(request_id, "clerks", BODY, 1.0)
    assert again.verdict is Verdict.START
    assert not ledger.grant_permit(request_id, first), "the ended attempt gets no permit"
    assert ledger.grant_permit(request_id, again.attempt)


class ExecutionSession:
    """Drive one execution and collect its commands."""

    def __init__(self, ledger: Ledger, request_id: str, attempt: int, replicas: int = 2) -> None:
        targets = tuple(f"t{number}" for number in range(replicas))
        plan = ExecutionPlan("x1", request_id, attempt, targets, 1.0)
        self.execution = Execution(plan, ledger, TargetSelector(seed=1))
        self.enqueued: list[EnqueueExecution] = []
        self.granted: list[SendPermitReply] = []
        self.settled: Settled | None = None
        self.transcript = Transcript()
        self.take(self.execution.start(0.0))

    def take(self, commands: list[ExecutionCommand]) -> None:
        self.transcript.commands(commands)
        for command in commands:
            if isinstance(command, EnqueueExecution):
                self.enqueued.append(command)
            elif isinstance(command, SendPermitReply) and command.granted:
                self.granted.append(command)
            elif isinstance(command, Settled):
                assert self.settled is None, "an execution is settled once"
                self.settled = command

    def permit(self, enqueued: EnqueueExecution) -> None:
        request = PermitRequest(
            "x1", enqueued.nonce, enqueued.target, self.execution.plan.request_id, "b"
        )
        self.transcript.event(0.0, request)
        self.take(self.execution.handle_permit_request(request))

    def answer(self, enqueued: EnqueueExecution, outcome: RunOutcome, reason: str = "") -> None:
        event = ExecuteAnswer("x1", enqueued.nonce, outcome, reason, b"ok", 50.0)
        self.transcript.event(0.0, event)
        self.take(self.execution.handle_answer(event, 0.0))

    def lose_owner(self) -> None:
        self.transcript.event(0.0, "owner lost")
        self.take(self.execution.handle_owner_lost(0.0))

    def expire(self) -> None:
        self.transcript.event(1.0, "deadline")
        self.take(self.execution.expire())


def new_session() -> ExecutionSession:
    ledger = new_ledger()
    request_id = new_id(ledger)
    attempt = ledger.begin(request_id, "clerks", BODY, 1.0).attempt
    return ExecutionSession(ledger, request_id, attempt)


def test_done() -> None:
    session = new_session()
    session.permit(session.enqueued[0])
    session.answer(session.enqueued[0], RunOutcome.DONE)
    assert session.settled is not None
    assert session.settled.outcome is RunOutcome.DONE


@pytest.mark.parametrize(
    ("permitted", "event", "outcome"),
    [
        pytest.param(False, "expire", RunOutcome.NOT_RUN, id="deadline-before-permit"),
        pytest.param(True, "expire", RunOutcome.UNKNOWN, id="deadline-after-permit"),
        pytest.param(True, "lost", RunOutcome.UNKNOWN, id="owner-killed-after-permit"),
        pytest.param(True, "unknown", RunOutcome.UNKNOWN, id="reply-lost"),
        pytest.param(False, "lost", None, id="owner-killed-before-permit-moves-on"),
        pytest.param(True, "refused", None, id="target-refused-moves-on"),
    ],
)
def test_outcome_reported_to_the_caller(
    permitted: bool, event: str, outcome: RunOutcome | None
) -> None:
    session = new_session()
    first = session.enqueued[0]
    if permitted:
        session.permit(first)
    if event == "expire":
        session.expire()
    elif event == "lost":
        session.lose_owner()
    elif event == "unknown":
        session.answer(first, RunOutcome.UNKNOWN, "connection_broke")
    else:
        session.answer(first, RunOutcome.NOT_RUN, Outcome.SHED)
    if outcome is None:
        assert session.settled is None
        assert [command.target for command in session.enqueued] == ["t0", "t1"] or len(
            session.enqueued
        ) == 2
        session.permit(first)
        assert len(session.granted) == int(permitted), "the previous owner gets no further permit"
        session.permit(session.enqueued[1])
        assert len(session.granted) == int(permitted) + 1
        return
    assert session.settled is not None
    assert session.settled.outcome is outcome
    granted = len(session.granted)
    session.permit(first)
    assert len(session.granted) == granted, "no permit after the outcome was reported"


def test_frozen_owner_that_wakes_gets_no_permit() -> None:
    session = new_session()
    session.expire()
    assert session.settled is not None
    assert session.settled.outcome is RunOutcome.NOT_RUN
    session.permit(session.enqueued[0])
    assert session.granted == []


def test_golden_session_of_a_lost_owner_and_a_late_answer() -> None:
    session = new_session()
    session.lose_owner()
    session.permit(session.enqueued[0])
    session.permit(session.enqueued[1])
    session.expire()
    session.answer(session.enqueued[1], RunOutcome.DONE)
    session.transcript.check("once_lost_owner_and_late_answer")


EVENT = st.sampled_from(
    ["permit", "run", "refuse", "answer_lost", "lost", "expire", "repeat", "old_permit"]
)


@settings(max_examples=3000, deadline=None, derandomize=True)
@given(events=st.lists(st.tuples(EVENT, st.integers(0, 5)), max_size=50))
def test_requests_run_at_most_once_for_any_event_order(events: list[tuple[str, int]]) -> None:
    """In any order of events a request runs at most once, and never if reported as not run."""
    ledger = new_ledger()
    request_id = new_id(ledger)
    runs = 0
    reported_not_run_while_permitted = False
    sessions: list[ExecutionSession] = []
    open_permits: list[tuple[ExecutionSession, EnqueueExecution]] = []
    counted: set[tuple[int, int]] = set()

    def start() -> None:
        decision = ledger.begin(request_id, "clerks", BODY, 1.0)
        if decision.verdict is Verdict.START:
            sessions.append(ExecutionSession(ledger, request_id, decision.attempt))

    def collect() -> None:
        for number, session in enumerate(sessions):
            for permit in session.granted:
                if (number, permit.nonce) not in counted:
                    counted.add((number, permit.nonce))
                    open_permits.append((session, EnqueueExecution(permit.nonce, permit.target)))

    start()
    for event, pick in events:
        session = sessions[-1]
        if event == "permit":
            session.permit(session.enqueued[-1])
        elif event == "old_permit":
            previous = sessions[pick % len(sessions)]
            previous.permit(previous.enqueued[pick % len(previous.enqueued)])
        elif event in ("run", "refuse", "answer_lost") and open_permits:
            owner, permitted = open_permits.pop(pick % len(open_permits))
            if event == "refuse":
                owner.answer(permitted, RunOutcome.NOT_RUN, Outcome.SHED)
            else:
                runs += 1
                if event == "run":
                    owner.answer(permitted, RunOutcome.DONE)
        elif event == "lost":
            session.lose_owner()
        elif event == "expire":
            session.expire()
        elif event == "repeat":
            start()
        collect()
        for each in sessions:
            nonces = [permit.nonce for permit in each.granted]
            assert len(nonces) == len(set(nonces)), "one grant per sub-request"
        assert runs + len(open_permits) <= 1, "at most one run that has happened or may happen"
        settled = session.settled
        if settled is not None and settled.outcome is RunOutcome.NOT_RUN:
            reported_not_run_while_permitted |= runs > 0 or bool(open_permits)
    assert runs <= 1
    assert not reported_not_run_while_permitted
