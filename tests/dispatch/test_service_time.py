"""Service time estimates when targets pause: one pause counts as one sample."""

import pytest

from tests.dispatch.test_target_scheduler import Commands, SchedulerSession, outcomes
from trackwheel.dispatch.const import EJECT_AFTER_STALLS
from trackwheel.dispatch.models import Outcome, RequestEnded, SendQuery, Work
from trackwheel.dispatch.service_time import ServiceTime

SERVICE_S = 0.004
PAUSE_S = 0.3
DEADLINE_S = 0.4


class PausedTarget(SchedulerSession):
    """Drive a scheduler whose target answers after its usual time, or after a pause."""

    def __init__(self, slots: int = 2) -> None:
        super().__init__(slots)
        self.now = 0.0
        self.refused: list[Outcome] = []
        self.sent: list[Work] = []

    def take(self, commands: Commands) -> None:
        self.refused += outcomes(commands)
        self.sent += [command.work for command in commands if isinstance(command, SendQuery)]

    def arrive(self) -> None:
        work = self.work(deadline=self.now + DEADLINE_S)
        self.take(self.scheduler.offer(work, 1.0, self.now))

    def answer(self, service_s: float) -> None:
        """Finish all running requests with the same service time."""
        running, self.sent = self.sent, []
        for work in running:
            ended = RequestEnded(work.key, Outcome.OK, service_s, "boot1", False)
            self.take(self.scheduler.ended(ended, self.now))

    def serve(self, count: int, service_s: float = SERVICE_S) -> None:
        for _ in range(count):
            self.arrive()
            self.now += service_s
            self.answer(service_s)


@pytest.mark.parametrize("slots", [1, 2, 8])
@pytest.mark.parametrize("answers_before", [0, 1, 100])
def test_work_queued_during_a_pause_is_not_refused(slots: int, answers_before: int) -> None:
    """After a single pause of the target, requests were shed for several seconds."""
    session = PausedTarget(slots)
    session.serve(answers_before)
    for _ in range(8):
        session.arrive()
        session.now += PAUSE_S / 8
    session.answer(PAUSE_S)
    for _ in range(30):
        session.arrive()
        session.now += SERVICE_S
        session.answer(SERVICE_S)
    assert session.refused == []
    assert session.scheduler.waiting == 0


@pytest.mark.parametrize("service_s", [0.03, 0.3], ids=["eight-times", "many-times"])
def test_estimate_follows_a_slower_target(service_s: float) -> None:
    session = PausedTarget()
    session.serve(100)
    session.serve(30, service_s)
    assert session.scheduler.estimate().mean_s > 0.9 * service_s


def test_work_is_still_refused_at_a_target_that_became_too_slow() -> None:
    session = PausedTarget(slots=1)
    session.serve(100)
    session.serve(30, 2 * DEADLINE_S)
    session.arrive()
    session.arrive()
    assert session.refused != []


SAMPLES = [
    pytest.param([(0.0, 0.3), (0.1, 0.2), (0.2, 0.1)], 1, id="overlapping-are-one"),
    pytest.param([(0.0, 0.3), (0.3, 0.3)], 2, id="one-after-the-other-are-two"),
    pytest.param([(0.0, 0.3), (0.3, 0.004), (0.4, 0.3)], 3, id="quick-answer-between"),
]
APART = [
    pytest.param(0.0, True, id="at-once"),
    pytest.param(0.9, True, id="soon"),
    pytest.param(3.0, False, id="much-later"),
]


@pytest.mark.parametrize(("apart_s", "slower"), APART)
def test_stalls_far_apart_are_pauses(apart_s: float, slower: bool) -> None:
    """A target that got no work after a pause counted as slow when it paused a second time."""
    service_time = ServiceTime()
    service_time.add(-1.0, SERVICE_S, -1.0 + SERVICE_S)
    service_time.add(0.0, PAUSE_S, PAUSE_S)
    began = PAUSE_S + apart_s
    learnt_s = service_time.add(began, PAUSE_S, began + PAUSE_S)
    assert learnt_s is not None
    assert (learnt_s == PAUSE_S) is slower


@pytest.mark.parametrize(("samples", "learnt"), SAMPLES)
def test_answers_delayed_by_one_pause_count_once(
    samples: list[tuple[float, float]], learnt: int
) -> None:
    service_time = ServiceTime()
    service_time.add(-1.0, SERVICE_S, -1.0 + SERVICE_S)
    taken = [service_time.add(at, took_s, at + took_s) for at, took_s in samples]
    assert sum(value is not None for value in taken) == learnt


def test_first_answer_delayed_by_a_pause_is_ignored() -> None:
    service_time = ServiceTime()
    before_s = service_time.mean_s
    assert service_time.add(0.0, PAUSE_S, PAUSE_S) is None
    assert service_time.mean_s == before_s
    service_time.add(PAUSE_S, PAUSE_S, 2 * PAUSE_S)
    assert service_time.mean_s == pytest.approx(PAUSE_S)


@pytest.mark.parametrize(
    ("held_s", "ejected"),
    [pytest.param(0.1, False, id="as-slow"), pytest.param(0.5, True, id="far-slower")],
)
def test_first_slow_answer_raises_the_stall_threshold(held_s: float, ejected: bool) -> None:
    """On an overloaded machine, a target was ejected as stalled after its first answer."""
    session = PausedTarget()
    session.arrive()
    session.now = 0.06
    session.answer(0.06)
    for _ in range(EJECT_AFTER_STALLS):
        work, _ = session.offer(session.now)
        session.now += held_s
        session.scheduler.withdraw(work.key, session.now)
    assert session.scheduler.ejected(session.now) is ejected


def test_quicker_one_of_the_first_two_answers_is_believed() -> None:
    """A target whose first answer was slow and whose second was delayed by a pause got no work."""
    service_time = ServiceTime()
    service_time.add(0.0, 0.04, 0.04)
    service_time.add(0.05, PAUSE_S, 0.05 + PAUSE_S)
    assert service_time.mean_s < PAUSE_S / 2


def test_second_pause_soon_after_the_first_counts_once() -> None:
    """A box that paused twice counted each request of the second pause as a slow sample."""
    service_time = ServiceTime()
    service_time.add(-1.0, SERVICE_S, -1.0 + SERVICE_S)
    service_time.add(0.0, PAUSE_S, PAUSE_S)
    end = 1.0
    began = [0.35, 0.36, 0.4, 0.45]
    taken = [service_time.add(at, end - at, end) for at in began]
    assert sum(value is not None for value in taken) == 1
