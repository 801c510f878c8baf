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
    """A span in which a target works so many times as long; 0 means that it is down."""

    start: float
    end: float
    factor: float


class _Work(NamedTuple):
    token: object
    work_s: float
    on_end: OnEnd


class ModelTarget:
    """Serve requests in the order in which they came, two at a time."""

    def __init__(self, agenda: Agenda, random: Random, target: Target) -> None:
        self._agenda = agenda
        self._random = random
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
            took_s = work.work_s * max(1.0, self._factor()) * scatter
            self._agenda.at(self._agenda.now + took_s, partial(self._finish, work))

    def _finish(self, work: _Work) -> None:
        if self._running.pop(work.token, None) is None:
            return
        outcome = Outcome.OK if self._factor() else Outcome.BROKEN
        work.on_end(outcome, self._load())
        self._serve()

    def _factor(self) -> float:
        now = self._agenda.now
        factors = [t.factor for t in self.troubles if t.start <= now < t.end]
        return min(factors) if 0.0 in factors else max(factors, default=1.0)

    def _load(self) -> Load:
        return Load(len(self._running), len(self._line), SLOTS)
