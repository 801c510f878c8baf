"""Scheduler of one target: leaving, ejection, permits and trials."""

from collections.abc import Callable

import pytest

from trackwheel.dispatch.models import (
    AskPermit,
    CancelSend,
    CheckHealth,
    DispatchCommand,
    Outcome,
    Refuse,
    ReportLeaving,
    RequestEnded,
    ReturnPermit,
    SendExecute,
    SendQuery,
    Work,
    WorkKey,
)
from trackwheel.dispatch.target_scheduler import TargetScheduler
from trackwheel.files.models import Policy, ServiceSpec

Commands = list[DispatchCommand]


class SchedulerSession:
    """Drive one scheduler by hand."""

    def __init__(self, slots: int = 2, warm: bool = True) -> None:
        service = ServiceSpec("s", slots, 25, 0.006, 0.05, 0.99, Policy(1.0, 1.0, 1.0), ())
        self.scheduler = TargetScheduler("t", service, 0.0)
        self.number = 0
        if warm:
            self.scheduler.apply_health_page(True, "boot1", False, 0.0)

    def work(self, deadline: float = 1.0, once: bool = False, last_resort: bool = False) -> Work:
        self.number += 1
        key = WorkKey("gateway", "q", self.number, "t")
        request_id = "id" if once else ""
        return Work(key, "s", "clerks", deadline, None, "", last_resort, request_id, "boot")

    def offer(self, now: float = 0.0, **options: bool) -> tuple[Work, Commands]:
        work = self.work(deadline=now + 1.0, **options)
        return work, self.scheduler.offer(work, 1.0, now)

    def end(
        self, work: Work, outcome: Outcome, now: float, boot: str = "boot1", leaving: bool = False
    ) -> Commands:
        return self.scheduler.ended(RequestEnded(work.key, outcome, 0.005, boot, leaving), now)


def outcomes(commands: Commands) -> list[Outcome]:
    return [command.outcome for command in commands if isinstance(command, Refuse)]


def test_cold_scheduler_reads_health_page_before_sending() -> None:
    session = SchedulerSession(warm=False)
    assert any(isinstance(command, CheckHealth) for command in session.scheduler.initial_commands)
    _, commands = session.offer()
    assert commands == []
    assert any(
        isinstance(c, SendQuery)
        for c in session.scheduler.apply_health_page(True, "b", False, 0.001)
    )


def test_cold_scheduler_stops_waiting_for_health_page() -> None:
    session = SchedulerSession(warm=False)
    session.offer()
    commands = session.scheduler.tick(session.scheduler.next_wake())
    commands += session.scheduler.tick(1.0)
    assert any(isinstance(command, SendQuery | Refuse) for command in commands)


def test_boot_of_a_target_is_known_before_it_gets_work_after_a_crash() -> None:
    """A request that crashed a target twice within a second was not held after three crashes."""
    session = SchedulerSession()
    work, _ = session.offer()
    assert session.end(work, Outcome.FAILED, 0.01, boot="") == [CheckHealth("t")]
    waiting, commands = session.offer(now=0.02)
    assert commands == []
    commands = session.scheduler.apply_health_page(True, "boot2", False, 0.03)
    assert commands == [SendQuery(waiting)]


SIGNS: list[tuple[str, Callable[[SchedulerSession, Work], Commands]]] = [
    ("answer", lambda s, w: s.end(w, Outcome.OK, 0.01, leaving=True)),
    ("refusal", lambda s, w: s.end(w, Outcome.LEAVING, 0.01, leaving=True)),
    ("health-page", lambda s, w: s.scheduler.apply_health_page(True, "boot1", True, 0.01)),
    ("other-box", lambda s, w: s.scheduler.apply_leaving_report("boot1")),
    ("file", lambda s, w: s.scheduler.set_removed(True)),
]


@pytest.mark.parametrize(("name", "sign"), SIGNS, ids=[name for name, _ in SIGNS])
def test_leaving_target_gets_no_new_work(
    name: str, sign: Callable[[SchedulerSession, Work], Commands]
) -> None:
    session = SchedulerSession()
    running, _ = session.offer()
    waiting, commands = session.offer()
    assert commands == []
    assert Outcome.LEAVING in outcomes(sign(session, running)), "queued work is refused immediately"
    for now in (0.02, 0.5, 2.0, 60.0):
        assert outcomes(session.offer(now)[1]) == [Outcome.LEAVING]


def test_running_work_of_a_leaving_target_is_not_cancelled() -> None:
    session = SchedulerSession()
    work, _ = session.offer()
    commands = session.scheduler.apply_health_page(True, "boot1", True, 0.01)
    assert not any(isinstance(command, CancelSend) for command in commands)
    assert session.scheduler.running == 1
    assert session.end(work, Outcome.OK, 0.02) == []


@pytest.mark.parametrize(
    ("boot", "leaving", "returns"),
    [
        pytest.param("boot1", False, False, id="health-page-lies"),
        pytest.param("boot2", True, False, id="new-boot-leaves-too"),
        pytest.param("boot2", False, True, id="new-boot"),
    ],
)
def test_only_a_new_boot_ends_leaving(boot: str, leaving: bool, returns: bool) -> None:
    session = SchedulerSession()
    commands = session.scheduler.apply_health_page(True, "boot1", True, 0.01)
    assert ReportLeaving("t", "boot1") in commands
    session.scheduler.apply_health_page(True, boot, leaving, 5.0)
    refused = outcomes(session.offer(5.1)[1]) == [Outcome.LEAVING]
    assert refused is not returns


def test_leaving_report_of_an_old_boot_is_ignored() -> None:
    session = SchedulerSession()
    session.scheduler.apply_health_page(True, "boot2", False, 1.0)
    session.scheduler.apply_leaving_report("boot1")
    assert outcomes(session.offer(1.1)[1]) == []


def test_leaving_report_of_an_unknown_boot_stops_new_work() -> None:
    """An owner that missed a restart sent work to a target that other boxes knew as leaving."""
    session = SchedulerSession()
    commands = session.scheduler.apply_leaving_report("boot2")
    assert CheckHealth("t") in commands
    assert outcomes(session.offer(0.1)[1]) == [Outcome.LEAVING]
    session.scheduler.apply_health_page(True, "boot2", False, 0.2)
    assert outcomes(session.offer(0.3)[1]) == [
        Outcome.LEAVING
    ], "the health page of a leaving boot is not trusted"
    session.scheduler.apply_health_page(True, "boot3", False, 0.4)
    assert outcomes(session.offer(0.5)[1]) == []


def test_leaving_report_of_an_earlier_unknown_boot_ends_with_next_health_page() -> None:
    session = SchedulerSession()
    session.scheduler.apply_leaving_report("boot0")
    session.scheduler.apply_health_page(True, "boot1", False, 0.1)
    assert outcomes(session.offer(0.2)[1]) == []


@pytest.mark.parametrize("late", ["boot1", ""], ids=["earlier-boot", "no-boot"])
def test_late_answer_of_an_earlier_boot_does_not_hide_a_leaving_report(late: str) -> None:
    """The late answer made the owner ignore a report, as if it were about an earlier boot."""
    session = SchedulerSession()
    session.scheduler.apply_health_page(True, "boot2", False, 0.1)
    session.scheduler.apply_health_page(True, late, False, 0.2)
    session.scheduler.apply_leaving_report("boot2")
    assert outcomes(session.offer(0.3)[1]) == [Outcome.LEAVING]
    session.scheduler.apply_health_page(True, late, False, 0.4)
    assert outcomes(session.offer(0.5)[1]) == [Outcome.LEAVING]


def eject(session: SchedulerSession, outcome: Outcome = Outcome.FAILED) -> float:
    now = 0.0
    for _ in range(3):
        work, _ = session.offer(now)
        now += 0.01
        session.end(work, outcome, now)
    return now


@pytest.mark.parametrize("outcome", [Outcome.FAILED, Outcome.OVERSIZED])
def test_failing_target_is_ejected_and_readmitted_after_a_trial(outcome: Outcome) -> None:
    session = SchedulerSession()
    now = eject(session, outcome)
    assert session.scheduler.ejected(now)
    _, commands = session.offer(now)
    assert outcomes(commands) == [Outcome.EJECTED]
    retry = commands[0]
    assert isinstance(retry, Refuse)
    assert retry.retry_after_s > 0.4
    later = now + 0.6
    trial, commands = session.offer(later)
    assert [type(command) for command in commands] == [SendQuery]
    assert outcomes(session.offer(later)[1]) == [Outcome.EJECTED], "one trial at a time"
    session.end(trial, Outcome.OK, later + 0.01)
    assert session.scheduler.limit == 1
    assert outcomes(session.offer(later + 0.02)[1]) == []


def test_failed_trial_ejects_for_longer() -> None:
    session = SchedulerSession()
    now = eject(session) + 0.6
    trial, _ = session.offer(now)
    session.end(trial, Outcome.FAILED, now + 0.01)
    assert session.scheduler.ejected(now + 0.9)
    assert not session.scheduler.ejected(now + 1.1)


def test_last_resort_goes_to_an_ejected_target() -> None:
    session = SchedulerSession()
    now = eject(session)
    _, commands = session.offer(now, last_resort=True)
    assert [type(command) for command in commands] == [SendQuery]


def test_stalled_target_is_ejected_by_withdrawals() -> None:
    session = SchedulerSession()
    first, _ = session.offer()
    session.end(first, Outcome.OK, 0.005)
    now = 0.01
    for _ in range(8):
        work, _ = session.offer(now)
        now += 0.3
        session.scheduler.withdraw(work.key, now)
    assert session.scheduler.ejected(now)


@pytest.mark.parametrize("late", [False, True], ids=["withdrawn", "late"])
def test_requests_that_one_pause_delayed_do_not_eject_a_target(late: bool) -> None:
    """A pause of 0.6 s ejected both targets of a shard, and queries were given up."""
    session = SchedulerSession(slots=8)
    for number in range(40):
        work, _ = session.offer(number * 0.01)
        session.end(work, Outcome.OK, number * 0.01 + 0.005)
    delayed = [session.offer(1.0)[0] for _ in range(8)]
    for work in delayed:
        if late:
            session.scheduler.ended(RequestEnded(work.key, Outcome.LATE, 0.5), 1.5)
        else:
            session.scheduler.withdraw(work.key, 1.5)
    assert session.scheduler.running == 0
    assert not session.scheduler.ejected(1.5)


def test_withdrawal_removes_queued_work_and_cancels_running_work() -> None:
    session = SchedulerSession(slots=1)
    running, _ = session.offer()
    waiting, _ = session.offer()
    assert session.scheduler.withdraw(waiting.key, 0.001) == []
    assert session.scheduler.withdraw(running.key, 0.001) == [CancelSend(running.key)]
    assert session.scheduler.running == 0


def test_permit_is_requested_after_a_slot_is_reserved() -> None:
    session = SchedulerSession(slots=1)
    work, commands = session.offer(once=True)
    assert commands == [AskPermit(work)]
    assert session.scheduler.running == 1
    assert session.scheduler.permit(work.key, True, 0.01) == [SendExecute(work)]
    assert session.scheduler.withdraw(work.key, 0.02) == [], "permitted work is not withdrawn"
    assert session.scheduler.permit(work.key, True, 0.03) == [], "one permit sends the work once"


@pytest.mark.parametrize(
    ("granted", "expected"),
    [pytest.param(False, 0, id="denied"), pytest.param(True, 1, id="granted-too-late")],
)
def test_missing_permit_frees_the_slot(granted: bool, expected: int) -> None:
    session = SchedulerSession(slots=1)
    work, _ = session.offer(once=True)
    other, _ = session.offer()
    commands = session.scheduler.tick(1.01) if granted else []
    commands += session.scheduler.permit(work.key, granted, 1.02)
    assert [type(c) for c in commands].count(SendExecute) == 0
    assert [type(c) for c in commands].count(ReturnPermit) == expected
    assert session.scheduler.running == 0 or any(isinstance(c, SendQuery) for c in commands)


def test_same_work_offered_twice_is_sent_once() -> None:
    session = SchedulerSession()
    work, _ = session.offer()
    assert session.scheduler.offer(work, 1.0, 0.001) == []


def test_work_that_cannot_finish_in_time_is_dropped_before_its_deadline() -> None:
    session = SchedulerSession(slots=1)
    running, _ = session.offer()
    early = session.work(deadline=0.1)
    session.scheduler.offer(early, 1.0, 0.0)
    wake = session.scheduler.next_wake()
    assert wake < 0.1, "refused before the deadline"
    assert outcomes(session.scheduler.tick(wake)) == [Outcome.LATE]


def slow_target() -> SchedulerSession:
    """Return a scheduler whose target seems too slow for work with a deadline of 1 s."""
    session = SchedulerSession()
    for number in range(20):
        work, _ = session.offer(float(number))
        session.scheduler.ended(
            RequestEnded(work.key, Outcome.OK, 0.9, "boot1", False), number + 0.9
        )
    return session


def test_slow_target_gets_one_trial_at_a_time() -> None:
    session = slow_target()
    trial, commands = session.offer(30.0)
    assert commands == [SendQuery(trial)]
    assert outcomes(session.offer(30.0)[1]) == [Outcome.SHED]
    session.scheduler.ended(RequestEnded(trial.key, Outcome.OK, 0.005, "boot1", False), 30.005)
    again, commands = session.offer(30.01)
    assert commands == [SendQuery(again)], "the result of the trial applies immediately"


@pytest.mark.parametrize(
    "failure", [Outcome.SHED, Outcome.LATE, Outcome.FAILED, Outcome.WRONG_VERSION], ids=str
)
def test_failed_trial_is_followed_by_a_backoff(failure: Outcome) -> None:
    session = slow_target()
    trial, _ = session.offer(30.0)
    session.scheduler.ended(RequestEnded(trial.key, failure, 0.005, "boot1", False), 30.005)
    assert outcomes(session.offer(30.05)[1]) == [Outcome.SHED]
    later, commands = session.offer(31.2)
    assert commands == [SendQuery(later)]


def test_withdrawn_trial_allows_another_trial() -> None:
    session = slow_target()
    trial, _ = session.offer(30.0)
    session.scheduler.withdraw(trial.key, 30.2)
    later, commands = session.offer(31.5)
    assert commands == [SendQuery(later)]


@pytest.mark.parametrize(
    ("boot", "expected"),
    [
        pytest.param("boot2", True, id="new-boot"),
        pytest.param("boot1", False, id="same-boot"),
    ],
)
def test_restarted_target_is_tried_at_once(boot: str, expected: bool) -> None:
    """After four failed trials the ejection lasts 8 s; the health page shows a restart earlier."""
    session = SchedulerSession()
    now = eject(session)
    for pause_s in (0.6, 1.1, 2.1, 4.1):
        now += pause_s
        trial, _ = session.offer(now)
        session.end(trial, Outcome.FAILED, now)
    assert outcomes(session.offer(now + 2.0)[1]) == [Outcome.EJECTED]
    session.scheduler.apply_health_page(True, boot, False, now + 2.0)
    work, commands = session.offer(now + 2.1)
    assert (commands == [SendQuery(work)]) is expected
    assert outcomes(session.offer(now + 2.1)[1]) == [Outcome.EJECTED], "one trial at a time"
