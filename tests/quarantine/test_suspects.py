"""Which requests are held, for any order of ends, answers and news of other boxes."""

from collections.abc import Callable

import pytest

from trackwheel.quarantine.const import (
    ANSWER_MEMORY_S,
    ENDS_TO_HOLD,
    EVIDENCE_MEMORY_S,
    HOLD_S,
    LEFT_S,
    LONGEST_SETTLE_S,
    MOST_ANSWERED,
    MOST_HELD,
    MOST_LEFT,
    MOST_LIVES_TOLD,
    MOST_ROWS_TOLD,
    MOST_SUSPECTS,
    NEVER,
    REPORT_AFTER_S,
    SETTLE_S,
    TRIAL_S,
)
from trackwheel.quarantine.models import (
    Cleared,
    Command,
    CrashReport,
    EndsUnder,
    Held,
    HeldRequest,
    RequestsAnswered,
    RequestsHeld,
    TellAll,
)
from trackwheel.quarantine.suspects import Suspects
from trackwheel.relay.models import Incarnation, SendPermission

ENDS, OTHER = b"ends", b"other"
Step = Callable[[Suspects], None]


def life(number: int) -> Incarnation:
    return f"t{number}", 0


def closed(request: bytes, *numbers: int, at: float = 1.0) -> Step:
    """Let targets end under a request at this box."""

    def step(suspects: Suspects) -> None:
        for number in numbers:
            suspects.closed(request, life(number), at)

    return step


def told(request: bytes, *numbers: int, at: float = 1.0) -> Step:
    """Let another box report ends of targets under a request."""
    report = CrashReport([EndsUnder(request, [life(number) for number in numbers])])
    return lambda suspects: suspects.take_report(report, at)


def answered(request: bytes, at: float = 1.0) -> Step:
    return lambda suspects: suspects.answered(request, at)


def answered_elsewhere(request: bytes, at: float = 1.0) -> Step:
    return lambda suspects: suspects.take_answered(RequestsAnswered([request]), at)


def told_held(request: bytes, left_s: float = HOLD_S, at: float = 1.0) -> Step:
    news = RequestsHeld([HeldRequest(request, left_s * 1000.0)])
    return lambda suspects: suspects.take_held(news, at)


def taken_back(request: bytes, *numbers: int, at: float = 1.0) -> Step:
    """Take a request back from targets of this box."""

    def step(suspects: Suspects) -> None:
        for number in numbers:
            suspects.taken_back(request, life(number), at)

    return step


def refused(*numbers: int, at: float = 1.0) -> Step:
    """Let targets refuse connections."""

    def step(suspects: Suspects) -> None:
        for number in numbers:
            suspects.refused(life(number), at)

    return step


def ticks(at: float) -> Step:
    """Let the time come at which something is due."""

    def step(suspects: Suspects) -> None:
        suspects.tick(at)

    return step


SETTLED = 1.0 + SETTLE_S
"""When what became suspect at second 1 is judged."""


@pytest.mark.parametrize(
    ("steps", "now", "held"),
    [
        pytest.param([closed(ENDS, 1, 2, 3)], SETTLED, {ENDS}, id="three-ends"),
        pytest.param([closed(ENDS, 1, 2, 3)], SETTLED - 0.01, set(), id="not-before-it-settled"),
        pytest.param([closed(ENDS, 1, 2)], SETTLED, set(), id="two-ends"),
        pytest.param([closed(ENDS, 1, 1, 1)], SETTLED, set(), id="one-target-counts-once"),
        pytest.param(
            [closed(ENDS, 1, at=1.0), closed(ENDS, 2, at=60.0), closed(ENDS, 3, at=200.0)],
            200.0 + SETTLE_S,
            {ENDS},
            id="one-at-a-time",
        ),
        pytest.param(
            [closed(ENDS, 1, 2), ticks(2.0 + EVIDENCE_MEMORY_S), closed(ENDS, 3, at=700.0)],
            701.0,
            set(),
            id="ends-of-long-ago",
        ),
        pytest.param(
            [answered(ENDS, 0.9), closed(ENDS, 1, 2, 3)], SETTLED, set(), id="answered-before"
        ),
        pytest.param(
            [closed(ENDS, 1, 2, 3), answered(ENDS, 1.2)], SETTLED, set(), id="answered-after"
        ),
        pytest.param(
            [answered(ENDS, 0.9 - ANSWER_MEMORY_S), closed(ENDS, 1, 2, 3)],
            SETTLED,
            {ENDS},
            id="answered-long-before",
        ),
        pytest.param(
            [closed(ENDS, 1, 2, 3), answered_elsewhere(ENDS, 1.2)],
            SETTLED,
            set(),
            id="answered-elsewhere",
        ),
        pytest.param(
            [closed(ENDS, 1), told(ENDS, 2), told(ENDS, 3)], SETTLED, {ENDS}, id="at-three-boxes"
        ),
        pytest.param([told(ENDS, 1, 2, 3)], SETTLED, {ENDS}, id="at-other-boxes-only"),
        pytest.param(
            [closed(ENDS, 1, 2, 3, 4, 5), closed(OTHER, 2, 3, 4)],
            SETTLED,
            {ENDS},
            id="bystander",
        ),
        pytest.param(
            [closed(OTHER, 2, 3, 4), closed(ENDS, 1, 2, 3, 4, 5, at=1.1)],
            SETTLED + 0.1,
            {ENDS},
            id="bystander-is-judged-with-what-explains-it",
        ),
        pytest.param(
            [closed(ENDS, 1, 2, 3, 4), ticks(SETTLED), closed(OTHER, 1, 2, 3, at=1.6)],
            3.0,
            {ENDS},
            id="bystander-told-late",
        ),
        pytest.param(
            [
                closed(ENDS, 1, 2, 3, 4),
                ticks(SETTLED),
                closed(ENDS, 5, 6, 7, at=1.6),
                closed(OTHER, 5, 6, 7, at=1.6),
            ],
            3.0,
            {ENDS},
            id="bystander-of-what-was-still-under-way",
        ),
        pytest.param(
            [closed(ENDS, 1, 2, 3, 4), closed(OTHER, 3, 5, 6, 7)],
            SETTLED,
            {ENDS, OTHER},
            id="two-that-end-targets",
        ),
        pytest.param(
            [closed(ENDS, 1, 2, 3), closed(OTHER, 1, 2, 3)],
            SETTLED,
            set(),
            id="two-that-cannot-be-told-apart",
        ),
        pytest.param(
            [
                closed(ENDS, 1, 2, 3),
                closed(OTHER, 1, 2, 3),
                ticks(SETTLED),
                closed(ENDS, 4, at=5.0),
                answered(OTHER, 5.0),
            ],
            5.0 + SETTLE_S,
            {ENDS},
            id="two-that-one-target-told-apart",
        ),
        pytest.param(
            [
                closed(ENDS, 1, 2, 3),
                closed(OTHER, 1, 2, 3),
                ticks(SETTLED),
                closed(ENDS, 4, at=5.0),
                closed(OTHER, 4, at=5.0),
            ],
            5.0 + SETTLE_S,
            {ENDS, OTHER},
            id="two-that-nothing-tells-apart",
        ),
        pytest.param(
            [
                closed(ENDS, 1, 2, 3, 4),
                closed(OTHER, 1, 2, 3),
                ticks(SETTLED),
                closed(OTHER, 9, at=20.0),
                ticks(20.0 + SETTLE_S),
            ],
            21.0,
            {ENDS, OTHER},
            id="two-at-the-same-targets-one-after-the-other",
        ),
        pytest.param(
            [closed(ENDS, 1, 2, 3), ticks(SETTLED), ticks(2.0 + HOLD_S), closed(ENDS, 4, at=700.0)],
            701.0,
            {ENDS},
            id="again-after-it-was-held",
        ),
        pytest.param(
            [taken_back(ENDS, 1, 2, 3, at=0.5), refused(1, 2, 3)],
            SETTLED,
            {ENDS},
            id="taken-back-from-targets-that-end-all-the-same",
        ),
        pytest.param(
            [taken_back(ENDS, 1, 2, 3, 4), closed(OTHER, 1, 2, 3)],
            SETTLED,
            set(),
            id="taken-back-from-where-another-one-is-closed",
        ),
        pytest.param(
            [taken_back(ENDS, 1, 2, 3, at=1.0 - LEFT_S), refused(1, 2, 3)],
            SETTLED,
            set(),
            id="taken-back-long-before",
        ),
        pytest.param([told_held(ENDS)], 1.1, {ENDS}, id="held-elsewhere"),
        pytest.param([told_held(ENDS, left_s=2.0)], 3.1, set(), id="held-elsewhere-until-then"),
        pytest.param([told_held(ENDS, left_s=-5.0)], 1.1, set(), id="word-that-is-over"),
        pytest.param(
            [told_held(ENDS, left_s=9e9)], 1.1 + HOLD_S, set(), id="word-of-too-long-a-time"
        ),
        pytest.param(
            [answered(ENDS, 0.9), told_held(ENDS)], 1.1, set(), id="held-elsewhere-but-answered"
        ),
        pytest.param(
            [closed(ENDS, 1, 2, 3), ticks(SETTLED), answered(ENDS, 2.0)], 2.1, set(), id="cleared"
        ),
        pytest.param([closed(ENDS, 1, 2, 3), ticks(SETTLED)], 2.0 + HOLD_S, set(), id="over"),
    ],
)
def test_held(steps: list[Step], now: float, held: set[bytes]) -> None:
    suspects = Suspects()
    for step in steps:
        step(suspects)
    suspects.tick(now)
    shut = {one for one in (ENDS, OTHER) if suspects.permission(one, now) is SendPermission.SHUT}
    assert shut == held
    assert suspects.held == len(held)
    assert {row.fingerprint for row in suspects.held_requests(now).rows} == held


def test_suspect_waits_until_it_is_judged() -> None:
    suspects = Suspects()
    closed(ENDS, 1, 2)(suspects)
    assert suspects.permission(ENDS, 1.0) is SendPermission.OPEN
    assert suspects.waits_s(ENDS, 1.0) == 0.0
    closed(ENDS, 3)(suspects)
    assert suspects.permission(ENDS, 1.0) is SendPermission.WAIT
    assert suspects.waits_s(ENDS, 1.0) == SETTLE_S
    suspects.tick(suspects.next_wake())
    suspects.tick(suspects.next_wake())
    assert suspects.permission(ENDS, SETTLED) is SendPermission.SHUT
    assert suspects.waits_s(ENDS, SETTLED) == HOLD_S
    assert suspects.next_wake() == NEVER


def test_bystander_of_many_ends_goes_to_one_target_first() -> None:
    suspects = Suspects()
    closed(ENDS, 1, 2, 3, 4)(suspects)
    closed(OTHER, 1, 2, 3)(suspects)
    assert suspects.permission(OTHER, 1.0) is SendPermission.WAIT
    suspects.tick(SETTLED)
    assert suspects.permission(OTHER, SETTLED) is SendPermission.ONE
    assert suspects.waits_s(OTHER, SETTLED) == 0.0
    suspects.begin_trial(OTHER, SETTLED)
    assert suspects.permission(OTHER, SETTLED) is SendPermission.WAIT
    assert suspects.permission(OTHER, SETTLED + TRIAL_S) is SendPermission.ONE
    answered(OTHER, SETTLED + 0.1)(suspects)
    assert suspects.permission(OTHER, SETTLED + 0.1) is SendPermission.OPEN
    assert messages(suspects.tick(SETTLED + 0.1))[-1] == RequestsAnswered([OTHER])


def test_bystander_of_few_ends_goes_on_as_before() -> None:
    suspects = Suspects()
    closed(ENDS, 1, 2, 3, 4)(suspects)
    closed(OTHER, 1, 2)(suspects)
    suspects.tick(SETTLED)
    assert suspects.permission(OTHER, SETTLED) is SendPermission.OPEN


def test_requests_with_the_same_ends_go_to_one_target_each() -> None:
    suspects = Suspects()
    closed(ENDS, 1, 2, 3)(suspects)
    closed(OTHER, 1, 2, 3)(suspects)
    suspects.tick(SETTLED)
    assert {suspects.permission(one, SETTLED) for one in (ENDS, OTHER)} == {SendPermission.ONE}


def test_request_that_was_held_goes_to_one_target_first() -> None:
    suspects = Suspects()
    closed(ENDS, 1, 2, 3)(suspects)
    suspects.tick(SETTLED)
    suspects.tick(SETTLED + HOLD_S)
    assert suspects.permission(ENDS, SETTLED + HOLD_S) is SendPermission.ONE
    closed(ENDS, 4, at=SETTLED + HOLD_S)(suspects)
    assert suspects.permission(ENDS, SETTLED + HOLD_S) is SendPermission.WAIT
    suspects.tick(SETTLED + HOLD_S + SETTLE_S)
    assert suspects.permission(ENDS, SETTLED + HOLD_S + SETTLE_S) is SendPermission.SHUT


def test_verdict_does_not_wait_for_ever_for_newer_suspects() -> None:
    suspects = Suspects()
    closed(ENDS, 1, 2, 3)(suspects)
    at = 1.0
    while suspects.permission(ENDS, at) is not SendPermission.SHUT:
        at += 0.1
        newer = b"%f" % at
        closed(newer, *range(10, 20), at=at)(suspects)
        suspects.tick(at)
        assert at < 1.5 + 2 * LONGEST_SETTLE_S
        suspects.take_answered(RequestsAnswered([newer]), at)


def messages(commands: list[Command]) -> list[object]:
    return [command.message for command in commands if isinstance(command, TellAll)]


@pytest.mark.parametrize(
    ("steps", "said"),
    [
        pytest.param([closed(ENDS, 1)], [CrashReport([EndsUnder(ENDS, [life(1)])])], id="one-end"),
        pytest.param([closed(ENDS, 1), answered(ENDS)], [], id="answered-in-time"),
        pytest.param([told(ENDS, 1)], [], id="nothing-that-was-only-told"),
        pytest.param([answered(ENDS)], [], id="nothing-of-answers-to-what-nobody-suspects"),
        pytest.param(
            [told(ENDS, 1), answered(ENDS)], [RequestsAnswered([ENDS])], id="answer-to-a-suspect"
        ),
        pytest.param(
            [answered(ENDS), told(ENDS, 1)], [RequestsAnswered([ENDS])], id="suspect-was-answered"
        ),
        pytest.param(
            [told_held(ENDS), answered(ENDS)], [RequestsAnswered([ENDS])], id="answer-to-a-held-one"
        ),
    ],
)
def test_what_others_are_told(steps: list[Step], said: list[object]) -> None:
    suspects = Suspects()
    for step in steps:
        step(suspects)
    assert messages(suspects.tick(1.0 + REPORT_AFTER_S)) == said


def test_end_on_trial_is_told_at_once() -> None:
    suspects = Suspects()
    closed(ENDS, 1, 2, 3)(suspects)
    closed(OTHER, 1, 2, 3)(suspects)
    suspects.tick(SETTLED)
    closed(ENDS, 4, at=SETTLED)(suspects)
    assert suspects.next_wake() == SETTLED
    assert messages(suspects.tick(SETTLED)) == [CrashReport([EndsUnder(ENDS, [life(4)])])]


def test_only_boxes_that_met_it_tell_that_it_is_held() -> None:
    met, heard = Suspects(), Suspects()
    closed(ENDS, 1, 2, 3)(met)
    told(ENDS, 1, 2, 3)(heard)
    held = RequestsHeld([HeldRequest(ENDS, HOLD_S * 1000.0)])
    assert messages(met.tick(SETTLED))[-1] == held
    assert messages(heard.tick(SETTLED)) == []


def test_verdicts_are_written_down() -> None:
    suspects = Suspects()
    closed(ENDS, 1, 2, 3)(suspects)
    assert Held(ENDS, ENDS_TO_HOLD, HOLD_S) in suspects.tick(SETTLED)
    answered(ENDS, 2.0)(suspects)
    assert Cleared(ENDS) in suspects.tick(2.0)


def test_ends_that_nothing_explains_any_more_are_forgotten() -> None:
    suspects = Suspects()
    closed(ENDS, 1, 2, 3)(suspects)
    closed(OTHER, 1, 2, 3)(suspects)
    suspects.tick(SETTLED)
    assert suspects._cause_by_life
    suspects.forget_old(SETTLED + EVIDENCE_MEMORY_S)
    assert not suspects._cause_by_life


def test_memory_and_messages_are_bounded() -> None:
    suspects = Suspects()
    for number in range(MOST_SUSPECTS + 100):
        suspects.closed(b"%d" % number, life(number), 1.0)
    closed(ENDS, *range(9_000, 9_000 + 2 * MOST_LIVES_TOLD))(suspects)
    (report,) = messages(suspects.tick(1.0 + REPORT_AFTER_S))
    assert isinstance(report, CrashReport)
    assert len(report.rows) == MOST_ROWS_TOLD
    assert report.rows[0].fingerprint == ENDS
    assert len(report.rows[0].lives) == MOST_LIVES_TOLD
    for number in range(MOST_HELD + 100):
        told_held(b"%d" % number)(suspects)
    assert suspects.held == MOST_HELD
    for number in range(MOST_LEFT + 100):
        suspects.taken_back(ENDS, life(number), 2.0)
    assert len(suspects._taken_back) == MOST_LEFT
    for number in range(MOST_ANSWERED + 100):
        suspects.answered(b"a%d" % number, 2.0)
    suspects.forget_old(2.0)
    assert len(suspects._answered) == MOST_ANSWERED
    suspects.forget_old(2.0 + ANSWER_MEMORY_S)
    assert not suspects._answered
    assert not suspects._taken_back
