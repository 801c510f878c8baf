"""Which requests are held, for any order of crashes, answers and messages of other boxes."""

from collections.abc import Callable

import pytest

from trackwheel.quarantine.const import (
    ANSWER_RETENTION_S,
    DECISION_DELAY_S,
    EVIDENCE_RETENTION_S,
    HOLD_DURATION_S,
    MAX_ANSWERED_REQUESTS,
    MAX_DECISION_DELAY_S,
    MAX_HELD_REQUESTS,
    MAX_INCARNATIONS_PER_ROW,
    MAX_ROWS_PER_REPORT,
    MAX_SUSPECTS,
    MAX_WITHDRAWN_TARGETS,
    MIN_CRASHES_TO_HOLD,
    NEVER,
    REPORT_DELAY_S,
    TRIAL_TIMEOUT_S,
    WITHDRAWN_RETENTION_S,
)
from trackwheel.quarantine.crash_tracker import CrashTracker
from trackwheel.quarantine.models import (
    Broadcast,
    Command,
    CrashReport,
    HeldRequest,
    HoldCleared,
    HoldStarted,
    RequestCrashes,
    RequestsAnswered,
    RequestsHeld,
)
from trackwheel.relay.models import Incarnation, SendPermission

CRASHING, OTHER = b"crashing", b"other"
Step = Callable[[CrashTracker], None]


def incarnation(number: int) -> Incarnation:
    return f"t{number}", 0


def connection_closed(request: bytes, *numbers: int, at: float = 1.0) -> Step:
    """Targets close the connections of a request at this box."""

    def step(tracker: CrashTracker) -> None:
        for number in numbers:
            tracker.connection_closed(request, incarnation(number), at)

    return step


def crashes_reported(request: bytes, *numbers: int, at: float = 1.0) -> Step:
    """Another box reports crashes under a request."""
    report = CrashReport([RequestCrashes(request, [incarnation(number) for number in numbers])])
    return lambda tracker: tracker.handle_crash_report(report, at)


def request_answered(request: bytes, at: float = 1.0) -> Step:
    return lambda tracker: tracker.request_answered(request, at)


def answer_announced(request: bytes, at: float = 1.0) -> Step:
    return lambda tracker: tracker.handle_requests_answered(RequestsAnswered([request]), at)


def hold_announced(request: bytes, left_s: float = HOLD_DURATION_S, at: float = 1.0) -> Step:
    message = RequestsHeld([HeldRequest(request, left_s * 1000.0)])
    return lambda tracker: tracker.handle_requests_held(message, at)


def request_withdrawn(request: bytes, *numbers: int, at: float = 1.0) -> Step:
    """This box withdraws a request from targets."""

    def step(tracker: CrashTracker) -> None:
        for number in numbers:
            tracker.request_withdrawn(request, incarnation(number), at)

    return step


def connection_refused(*numbers: int, at: float = 1.0) -> Step:
    """Targets refuse connections of this box."""

    def step(tracker: CrashTracker) -> None:
        for number in numbers:
            tracker.connection_refused(incarnation(number), at)

    return step


def tick(at: float) -> Step:
    """Run what is due at a time."""

    def step(tracker: CrashTracker) -> None:
        tracker.tick(at)

    return step


DECIDED_AT = 1.0 + DECISION_DELAY_S
"""When a request that became a suspect at second 1 is decided on."""


@pytest.mark.parametrize(
    ("steps", "now", "held"),
    [
        pytest.param(
            [connection_closed(CRASHING, 1, 2, 3)], DECIDED_AT, {CRASHING}, id="three-crashes"
        ),
        pytest.param(
            [connection_closed(CRASHING, 1, 2, 3)],
            DECIDED_AT - 0.01,
            set(),
            id="not-before-the-decision-delay",
        ),
        pytest.param([connection_closed(CRASHING, 1, 2)], DECIDED_AT, set(), id="two-crashes"),
        pytest.param(
            [connection_closed(CRASHING, 1, 1, 1)], DECIDED_AT, set(), id="one-target-counts-once"
        ),
        pytest.param(
            [
                connection_closed(CRASHING, 1, at=1.0),
                connection_closed(CRASHING, 2, at=60.0),
                connection_closed(CRASHING, 3, at=200.0),
            ],
            200.0 + DECISION_DELAY_S,
            {CRASHING},
            id="one-target-at-a-time",
        ),
        pytest.param(
            [
                connection_closed(CRASHING, 1, 2),
                tick(2.0 + EVIDENCE_RETENTION_S),
                connection_closed(CRASHING, 3, at=700.0),
            ],
            701.0,
            set(),
            id="crashes-past-retention",
        ),
        pytest.param(
            [request_answered(CRASHING, 0.9), connection_closed(CRASHING, 1, 2, 3)],
            DECIDED_AT,
            set(),
            id="answered-before",
        ),
        pytest.param(
            [connection_closed(CRASHING, 1, 2, 3), request_answered(CRASHING, 1.2)],
            DECIDED_AT,
            set(),
            id="answered-after",
        ),
        pytest.param(
            [
                request_answered(CRASHING, 0.9 - ANSWER_RETENTION_S),
                connection_closed(CRASHING, 1, 2, 3),
            ],
            DECIDED_AT,
            {CRASHING},
            id="answered-long-before",
        ),
        pytest.param(
            [connection_closed(CRASHING, 1, 2, 3), answer_announced(CRASHING, 1.2)],
            DECIDED_AT,
            set(),
            id="answered-elsewhere",
        ),
        pytest.param(
            [
                connection_closed(CRASHING, 1),
                crashes_reported(CRASHING, 2),
                crashes_reported(CRASHING, 3),
            ],
            DECIDED_AT,
            {CRASHING},
            id="at-three-boxes",
        ),
        pytest.param(
            [crashes_reported(CRASHING, 1, 2, 3)], DECIDED_AT, {CRASHING}, id="at-other-boxes-only"
        ),
        pytest.param(
            [connection_closed(CRASHING, 1, 2, 3, 4, 5), connection_closed(OTHER, 2, 3, 4)],
            DECIDED_AT,
            {CRASHING},
            id="bystander",
        ),
        pytest.param(
            [connection_closed(OTHER, 2, 3, 4), connection_closed(CRASHING, 1, 2, 3, 4, 5, at=1.1)],
            DECIDED_AT + 0.1,
            {CRASHING},
            id="bystander-is-decided-on-with-the-cause",
        ),
        pytest.param(
            [
                connection_closed(CRASHING, 1, 2, 3, 4),
                tick(DECIDED_AT),
                connection_closed(OTHER, 1, 2, 3, at=1.6),
            ],
            3.0,
            {CRASHING},
            id="bystander-reported-late",
        ),
        pytest.param(
            [
                connection_closed(CRASHING, 1, 2, 3, 4),
                tick(DECIDED_AT),
                connection_closed(CRASHING, 5, 6, 7, at=1.6),
                connection_closed(OTHER, 5, 6, 7, at=1.6),
            ],
            3.0,
            {CRASHING},
            id="bystander-of-later-crashes",
        ),
        pytest.param(
            [connection_closed(CRASHING, 1, 2, 3, 4), connection_closed(OTHER, 3, 5, 6, 7)],
            DECIDED_AT,
            {CRASHING, OTHER},
            id="two-that-crash-targets",
        ),
        pytest.param(
            [connection_closed(CRASHING, 1, 2, 3), connection_closed(OTHER, 1, 2, 3)],
            DECIDED_AT,
            set(),
            id="two-that-cannot-be-told-apart",
        ),
        pytest.param(
            [
                connection_closed(CRASHING, 1, 2, 3),
                connection_closed(OTHER, 1, 2, 3),
                tick(DECIDED_AT),
                connection_closed(CRASHING, 4, at=5.0),
                request_answered(OTHER, 5.0),
            ],
            5.0 + DECISION_DELAY_S,
            {CRASHING},
            id="two-that-a-trial-tells-apart",
        ),
        pytest.param(
            [
                connection_closed(CRASHING, 1, 2, 3),
                connection_closed(OTHER, 1, 2, 3),
                tick(DECIDED_AT),
                connection_closed(CRASHING, 4, at=5.0),
                connection_closed(OTHER, 4, at=5.0),
            ],
            5.0 + DECISION_DELAY_S,
            {CRASHING, OTHER},
            id="two-that-nothing-tells-apart",
        ),
        pytest.param(
            [
                connection_closed(CRASHING, 1, 2, 3, 4),
                connection_closed(OTHER, 1, 2, 3),
                tick(DECIDED_AT),
                connection_closed(OTHER, 9, at=20.0),
                tick(20.0 + DECISION_DELAY_S),
            ],
            21.0,
            {CRASHING, OTHER},
            id="two-at-the-same-targets-one-after-the-other",
        ),
        pytest.param(
            [
                connection_closed(CRASHING, 1, 2, 3),
                tick(DECIDED_AT),
                tick(2.0 + HOLD_DURATION_S),
                connection_closed(CRASHING, 4, at=700.0),
            ],
            701.0,
            {CRASHING},
            id="held-again-after-its-hold-expired",
        ),
        pytest.param(
            [request_withdrawn(CRASHING, 1, 2, 3, at=0.5), connection_refused(1, 2, 3)],
            DECIDED_AT,
            {CRASHING},
            id="withdrawn-from-targets-that-crash-later",
        ),
        pytest.param(
            [request_withdrawn(CRASHING, 1, 2, 3, 4), connection_closed(OTHER, 1, 2, 3)],
            DECIDED_AT,
            set(),
            id="withdrawn-where-another-request-is-closed",
        ),
        pytest.param(
            [
                request_withdrawn(CRASHING, 1, 2, 3, at=1.0 - WITHDRAWN_RETENTION_S),
                connection_refused(1, 2, 3),
            ],
            DECIDED_AT,
            set(),
            id="withdrawn-past-retention",
        ),
        pytest.param([hold_announced(CRASHING)], 1.1, {CRASHING}, id="held-elsewhere"),
        pytest.param(
            [hold_announced(CRASHING, left_s=2.0)],
            3.1,
            set(),
            id="held-elsewhere-for-a-shorter-time",
        ),
        pytest.param(
            [hold_announced(CRASHING, left_s=-5.0)], 1.1, set(), id="announced-hold-already-expired"
        ),
        pytest.param(
            [hold_announced(CRASHING, left_s=9e9)],
            1.1 + HOLD_DURATION_S,
            set(),
            id="announced-hold-too-long",
        ),
        pytest.param(
            [request_answered(CRASHING, 0.9), hold_announced(CRASHING)],
            1.1,
            set(),
            id="held-elsewhere-but-answered",
        ),
        pytest.param(
            [
                connection_closed(CRASHING, 1, 2, 3),
                tick(DECIDED_AT),
                request_answered(CRASHING, 2.0),
            ],
            2.1,
            set(),
            id="cleared",
        ),
        pytest.param(
            [connection_closed(CRASHING, 1, 2, 3), tick(DECIDED_AT)],
            2.0 + HOLD_DURATION_S,
            set(),
            id="expired",
        ),
    ],
)
def test_held(steps: list[Step], now: float, held: set[bytes]) -> None:
    tracker = CrashTracker()
    for step in steps:
        step(tracker)
    tracker.tick(now)
    not_sendable = {
        one for one in (CRASHING, OTHER) if tracker.permission(one, now) is SendPermission.SHUT
    }
    assert not_sendable == held
    assert tracker.held_count == len(held)
    assert {row.fingerprint for row in tracker.held_requests(now).rows} == held


def test_suspect_waits_for_the_decision() -> None:
    tracker = CrashTracker()
    connection_closed(CRASHING, 1, 2)(tracker)
    assert tracker.permission(CRASHING, 1.0) is SendPermission.OPEN
    assert tracker.retry_after_s(CRASHING, 1.0) == 0.0
    connection_closed(CRASHING, 3)(tracker)
    assert tracker.permission(CRASHING, 1.0) is SendPermission.WAIT
    assert tracker.retry_after_s(CRASHING, 1.0) == DECISION_DELAY_S
    tracker.tick(tracker.next_due_at())
    tracker.tick(tracker.next_due_at())
    assert tracker.permission(CRASHING, DECIDED_AT) is SendPermission.SHUT
    assert tracker.retry_after_s(CRASHING, DECIDED_AT) == HOLD_DURATION_S
    assert tracker.next_due_at() == NEVER


def test_bystander_of_many_crashes_goes_on_trial() -> None:
    tracker = CrashTracker()
    connection_closed(CRASHING, 1, 2, 3, 4)(tracker)
    connection_closed(OTHER, 1, 2, 3)(tracker)
    assert tracker.permission(OTHER, 1.0) is SendPermission.WAIT
    tracker.tick(DECIDED_AT)
    assert tracker.permission(OTHER, DECIDED_AT) is SendPermission.ONE
    assert tracker.retry_after_s(OTHER, DECIDED_AT) == 0.0
    tracker.start_trial(OTHER, DECIDED_AT)
    assert tracker.permission(OTHER, DECIDED_AT) is SendPermission.WAIT
    assert tracker.permission(OTHER, DECIDED_AT + TRIAL_TIMEOUT_S) is SendPermission.ONE
    request_answered(OTHER, DECIDED_AT + 0.1)(tracker)
    assert tracker.permission(OTHER, DECIDED_AT + 0.1) is SendPermission.OPEN
    assert messages(tracker.tick(DECIDED_AT + 0.1))[-1] == RequestsAnswered([OTHER])


def test_bystander_of_few_crashes_stays_open() -> None:
    tracker = CrashTracker()
    connection_closed(CRASHING, 1, 2, 3, 4)(tracker)
    connection_closed(OTHER, 1, 2)(tracker)
    tracker.tick(DECIDED_AT)
    assert tracker.permission(OTHER, DECIDED_AT) is SendPermission.OPEN


def test_requests_with_identical_crashes_go_on_trial() -> None:
    tracker = CrashTracker()
    connection_closed(CRASHING, 1, 2, 3)(tracker)
    connection_closed(OTHER, 1, 2, 3)(tracker)
    tracker.tick(DECIDED_AT)
    assert {tracker.permission(one, DECIDED_AT) for one in (CRASHING, OTHER)} == {
        SendPermission.ONE
    }


def test_request_goes_on_trial_after_its_hold() -> None:
    tracker = CrashTracker()
    connection_closed(CRASHING, 1, 2, 3)(tracker)
    tracker.tick(DECIDED_AT)
    tracker.tick(DECIDED_AT + HOLD_DURATION_S)
    assert tracker.permission(CRASHING, DECIDED_AT + HOLD_DURATION_S) is SendPermission.ONE
    connection_closed(CRASHING, 4, at=DECIDED_AT + HOLD_DURATION_S)(tracker)
    assert tracker.permission(CRASHING, DECIDED_AT + HOLD_DURATION_S) is SendPermission.WAIT
    tracker.tick(DECIDED_AT + HOLD_DURATION_S + DECISION_DELAY_S)
    assert (
        tracker.permission(CRASHING, DECIDED_AT + HOLD_DURATION_S + DECISION_DELAY_S)
        is SendPermission.SHUT
    )


def test_decision_is_not_delayed_forever_by_newer_suspects() -> None:
    tracker = CrashTracker()
    connection_closed(CRASHING, 1, 2, 3)(tracker)
    at = 1.0
    while tracker.permission(CRASHING, at) is not SendPermission.SHUT:
        at += 0.1
        newer = b"%f" % at
        connection_closed(newer, *range(10, 20), at=at)(tracker)
        tracker.tick(at)
        assert at < 1.5 + 2 * MAX_DECISION_DELAY_S
        tracker.handle_requests_answered(RequestsAnswered([newer]), at)


def messages(commands: list[Command]) -> list[object]:
    return [command.message for command in commands if isinstance(command, Broadcast)]


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        pytest.param(
            [connection_closed(CRASHING, 1)],
            [CrashReport([RequestCrashes(CRASHING, [incarnation(1)])])],
            id="one-crash",
        ),
        pytest.param(
            [connection_closed(CRASHING, 1), request_answered(CRASHING)], [], id="answered-in-time"
        ),
        pytest.param([crashes_reported(CRASHING, 1)], [], id="not-what-another-box-reported"),
        pytest.param([request_answered(CRASHING)], [], id="not-an-answer-without-evidence"),
        pytest.param(
            [crashes_reported(CRASHING, 1), request_answered(CRASHING)],
            [RequestsAnswered([CRASHING])],
            id="answer-to-a-suspect",
        ),
        pytest.param(
            [request_answered(CRASHING), crashes_reported(CRASHING, 1)],
            [RequestsAnswered([CRASHING])],
            id="suspect-was-answered",
        ),
        pytest.param(
            [hold_announced(CRASHING), request_answered(CRASHING)],
            [RequestsAnswered([CRASHING])],
            id="answer-to-a-held-one",
        ),
    ],
)
def test_messages_to_other_boxes(steps: list[Step], expected: list[object]) -> None:
    tracker = CrashTracker()
    for step in steps:
        step(tracker)
    assert messages(tracker.tick(1.0 + REPORT_DELAY_S)) == expected


def test_crash_on_trial_is_reported_at_once() -> None:
    tracker = CrashTracker()
    connection_closed(CRASHING, 1, 2, 3)(tracker)
    connection_closed(OTHER, 1, 2, 3)(tracker)
    tracker.tick(DECIDED_AT)
    connection_closed(CRASHING, 4, at=DECIDED_AT)(tracker)
    assert tracker.next_due_at() == DECIDED_AT
    assert messages(tracker.tick(DECIDED_AT)) == [
        CrashReport([RequestCrashes(CRASHING, [incarnation(4)])])
    ]


def test_only_boxes_that_saw_a_crash_announce_the_hold() -> None:
    witness, informed = CrashTracker(), CrashTracker()
    connection_closed(CRASHING, 1, 2, 3)(witness)
    crashes_reported(CRASHING, 1, 2, 3)(informed)
    held = RequestsHeld([HeldRequest(CRASHING, HOLD_DURATION_S * 1000.0)])
    assert messages(witness.tick(DECIDED_AT))[-1] == held
    assert messages(informed.tick(DECIDED_AT)) == []


def test_decisions_are_commands_for_the_log() -> None:
    tracker = CrashTracker()
    connection_closed(CRASHING, 1, 2, 3)(tracker)
    assert HoldStarted(CRASHING, MIN_CRASHES_TO_HOLD, HOLD_DURATION_S) in tracker.tick(DECIDED_AT)
    request_answered(CRASHING, 2.0)(tracker)
    assert HoldCleared(CRASHING) in tracker.tick(2.0)


def test_causes_are_evicted_with_their_hold_or_trial() -> None:
    tracker = CrashTracker()
    connection_closed(CRASHING, 1, 2, 3)(tracker)
    connection_closed(OTHER, 1, 2, 3)(tracker)
    tracker.tick(DECIDED_AT)
    assert tracker._cause_by_incarnation
    tracker.evict_expired(DECIDED_AT + EVIDENCE_RETENTION_S)
    assert not tracker._cause_by_incarnation


def test_memory_and_messages_are_bounded() -> None:
    tracker = CrashTracker()
    for number in range(MAX_SUSPECTS + 100):
        tracker.connection_closed(b"%d" % number, incarnation(number), 1.0)
    connection_closed(CRASHING, *range(9_000, 9_000 + 2 * MAX_INCARNATIONS_PER_ROW))(tracker)
    (report,) = messages(tracker.tick(1.0 + REPORT_DELAY_S))
    assert isinstance(report, CrashReport)
    assert len(report.rows) == MAX_ROWS_PER_REPORT
    assert report.rows[0].fingerprint == CRASHING
    assert len(report.rows[0].incarnations) == MAX_INCARNATIONS_PER_ROW
    for number in range(MAX_HELD_REQUESTS + 100):
        hold_announced(b"%d" % number)(tracker)
    assert tracker.held_count == MAX_HELD_REQUESTS
    for number in range(MAX_WITHDRAWN_TARGETS + 100):
        tracker.request_withdrawn(CRASHING, incarnation(number), 2.0)
    assert len(tracker._withdrawn) == MAX_WITHDRAWN_TARGETS
    for number in range(MAX_ANSWERED_REQUESTS + 100):
        tracker.request_answered(b"a%d" % number, 2.0)
    tracker.evict_expired(2.0)
    assert len(tracker._answered) == MAX_ANSWERED_REQUESTS
    tracker.evict_expired(2.0 + ANSWER_RETENTION_S)
    assert not tracker._answered
    assert not tracker._withdrawn
