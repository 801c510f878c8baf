"""A small model of targets: slots, a line that sheds, slow and dead spans."""

from collections import deque
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Final, NamedTuple

from bench.agenda import Agenda
from trackwheel.relay.models import Load, Outcome, Target

SLOTS: Final = 2
LINE: Final = 12
SPREAD: Final = 0.35
"""Standard deviation of work times over their mean, as at the users' targets."""
LEAST_WORK: Final = 0.3

OnEnd = Callable[[Outcome, Load | None], None]


class Trouble(NamedTuple):
    """A span in which a target works so many times as long; 0 means that it is down.

    It loses so large a share of its answers, or says nothing at all.
    """

    start: float
    end: float
    factor: float = 1.0
    lost_share: float = 0.0
    mute: bool = False


class Habits(NamedTuple):
    """What targets do all the time: pauses at their own times, neighbours on their machines.

    A target rests for `pause_s` in each span of `pause_every_s`, and in each one of
    `noise_every_s` it is by chance `noise_factor` times as slow (seconds).
    """

    pause_s: float = 0.0
    pause_every_s: float = 1.0
    noise_share: float = 0.0
    noise_factor: float = 1.0
    noise_every_s: float = 1.0


QUIET: Final = Habits()


class _Work(NamedTuple):
    token: object
    work_s: float
    on_end: OnEnd


class ModelTarget:
    """Serve requests in the order in which they came, two at a time."""

    def __init__(
        self, agenda: Agenda, random: Random, target: Target, habits: Habits = QUIET
    ) -> None:
        self._agenda = agenda
        self._random = random
        self._habits = habits
        # Drawn apart, so that the habits of one target change nothing for another.
        self._own_random = Random(target.instance)
        self._pause_offset_s = self._own_random.random() * habits.pause_every_s
        self.target = target
        self.troubles: list[Trouble] = []
        self._running: dict[object, _Work] = {}
        self._line: deque[_Work] = deque()
        self.arrivals = 0

    def ask(self, token: object, work_s: float, on_end: OnEnd) -> None:
        """Take a request; its end is told unless it is withdrawn."""
        if self._factor() == 0.0:
            on_end(Outcome.NOT_SENT, None)
            return
        self.arrivals += 1
        if len(self._line) >= LINE:
            on_end(Outcome.NOT_RUN, self._load())
            return
        self._line.append(_Work(token, work_s, on_end))
        self._serve()

    def withdraw(self, token: object) -> None:
        """Take a request back."""
        self._running.pop(token, None)
        self._line = deque(work for work in self._line if work.token != token)
        self._serve()

    def _serve(self) -> None:
        while self._line and len(self._running) < SLOTS:
            work = self._line.popleft()
            self._running[work.token] = work
            scatter = max(LEAST_WORK, self._random.gauss(1.0, SPREAD))
            took_s = work.work_s * max(1.0, self._factor()) * scatter * self._noise()
            took_s += self._pause_left_s(took_s)
            self._agenda.at(self._agenda.now + took_s, partial(self._finish, work))

    def _finish(self, work: _Work) -> None:
        if self._running.pop(work.token, None) is None:
            return
        if not self._is_mute():
            outcome = Outcome.OK if self._factor() and not self._loses() else Outcome.BROKEN
            work.on_end(outcome, self._load())
        self._serve()

    def _pause_left_s(self, took_s: float) -> float:
        """Return how much longer work takes that meets a pause before it ends."""
        habits = self._habits
        if not habits.pause_s:
            return 0.0
        since_s = (self._agenda.now + self._pause_offset_s) % habits.pause_every_s
        if since_s < habits.pause_s:
            return habits.pause_s - since_s
        return habits.pause_s if since_s + took_s > habits.pause_every_s else 0.0

    def _noise(self) -> float:
        """Return how many times as slow the neighbours make the target now."""
        habits = self._habits
        if not habits.noise_share:
            return 1.0
        span = int(self._agenda.now / habits.noise_every_s)
        drawn = Random(f"{self.target.instance}/{span}").random()
        return habits.noise_factor if drawn < habits.noise_share else 1.0

    def _troubles_now(self) -> list[Trouble]:
        return [t for t in self.troubles if t.start <= self._agenda.now < t.end]

    def _is_mute(self) -> bool:
        return any(trouble.mute for trouble in self._troubles_now())

    def _loses(self) -> bool:
        lost = max((trouble.lost_share for trouble in self._troubles_now()), default=0.0)
        return lost > 0.0 and self._own_random.random() < lost

    def _factor(self) -> float:
        factors = [trouble.factor for trouble in self._troubles_now()]
        return min(factors) if 0.0 in factors else max(factors, default=1.0)

    def _load(self) -> Load:
        # What the neighbours cost is told; a trouble of the target's own is not.
        return Load(len(self._running), len(self._line), SLOTS, self._noise())
