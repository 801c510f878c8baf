"""One target and its line of work in virtual time: a small queue experiment, no cluster."""

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable
from functools import partial

from trackwheel.dispatch.models import (
    CheckHealth,
    DispatchCommand,
    Outcome,
    Refuse,
    RequestEnded,
    SendQuery,
    Work,
    WorkKey,
)
from trackwheel.dispatch.target_scheduler import TargetScheduler
from trackwheel.files.models import Policy, ServiceSpec

Action = Callable[[], None]


class OneTarget:
    """Drive a line's decisions against a model of a target (seconds of virtual time)."""

    def __init__(
        self,
        slots: int = 2,
        claimed: int = 2,
        connections: int = 25,
        service_s: float = 0.01,
        lines: int = 1,
        most_waiting: int = 1000,
    ) -> None:
        self.now = 0.0
        self.service_s = service_s
        self.true_slots = slots
        self.shedding = False
        self.random = random.Random(7)
        self.slot_s_by_group: defaultdict[str, float] = defaultdict(float)
        self.refused_by_outcome: defaultdict[Outcome, int] = defaultdict(int)
        self.latency_by_group: defaultdict[str, list[float]] = defaultdict(list)
        self.finished = 0
        self.late = 0
        self.shed_by_target = 0
        self.peak_sent = 0
        self._arrived: dict[WorkKey, float] = {}
        self._sent = 0
        self._free_at = [0.0] * slots
        self._events: list[tuple[float, int, Action]] = []
        self._numbers = itertools.count()
        self._most_waiting = most_waiting
        policy = Policy(1.0, 1.0, 1.0)
        service = ServiceSpec("s", claimed, connections, 0.006, 0.05, 0.99, policy, ())
        self.lines = [TargetScheduler("t", service, 0.0) for _ in range(lines)]
        for line in self.lines:
            self.perform(line.initial_commands)

    @property
    def line(self) -> TargetScheduler:
        """Return the only line of an owned target, the first one of a shared one."""
        return self.lines[0]

    def at(self, time: float, action: Action) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (time, next(self._numbers), action))

    def offer(self, group: str, share: float, deadline_s: float, line: int = 0) -> None:
        """Offer one unit of work to a line now."""
        key = WorkKey(str(line), "q", next(self._numbers), "t")
        work = Work(key, "s", group, self.now + deadline_s, None, "", False)
        self._arrived[key] = self.now
        self.perform(self.lines[line].offer(work, share, self.now))

    def arrivals(
        self,
        group: str,
        share: float,
        rate: float,
        deadline_s: float,
        start: float,
        end: float,
        lines: tuple[int, ...] = (0,),
    ) -> None:
        """Offer work at random times between start and end, at any of some lines."""
        time = start
        while True:
            time += self.random.expovariate(rate)
            if time >= end:
                return
            line = self.random.choice(lines)
            self.at(time, partial(self.offer, group, share, deadline_s, line))

    def run(self, until: float) -> None:
        """Let time pass."""
        while True:
            due = min(self.lines, key=lambda line: line.next_wake())
            wake = due.next_wake()
            event_at = self._events[0][0] if self._events else float("inf")
            if min(wake, event_at) > until:
                self.now = until
                return
            if event_at <= wake:
                self.now, _, action = heapq.heappop(self._events)
                action()
                continue
            self.now = max(self.now, wake)
            self.perform(due.tick(self.now))

    def perform(self, commands: list[DispatchCommand]) -> None:
        """Act on the line's commands."""
        for command in commands:
            match command:
                case SendQuery(work):
                    self._serve(work)
                case Refuse(work, outcome, _, _):
                    self.refused_by_outcome[outcome] += 1
                    self._arrived.pop(work.key, None)
                case CheckHealth():
                    self.at(self.now + 0.001, self._healthy)

    def _healthy(self) -> None:
        for line in self.lines:
            self.perform(line.apply_health_page(True, "boot", False, self.now))

    def _serve(self, work: Work) -> None:
        self._sent += 1
        self.peak_sent = max(self.peak_sent, self._sent)
        waiting = sum(free > self.now for free in self._free_at) >= self.true_slots
        full = waiting and self._sent > self.true_slots + self._most_waiting
        if self.shedding or full:
            self.shed_by_target += 1
            self.at(self.now + 0.001, lambda: self._end(work, Outcome.SHED, 0.001))
            return
        slot = min(range(self.true_slots), key=lambda number: self._free_at[number])
        start = max(self.now, self._free_at[slot])
        took = self.service_s * self.random.uniform(0.5, 1.5)
        self._free_at[slot] = start + took
        self.slot_s_by_group[work.group] += took
        sent_at = self.now
        end = start + took
        self.at(end, lambda: self._end(work, Outcome.OK, end - sent_at))

    def _end(self, work: Work, outcome: Outcome, service_s: float) -> None:
        self._sent -= 1
        arrived = self._arrived.pop(work.key, self.now)
        if outcome is Outcome.OK:
            self.finished += 1
            self.late += self.now > work.deadline
            self.latency_by_group[work.group].append(self.now - arrived)
        ended = RequestEnded(work.key, outcome, service_s, "boot", False)
        self.perform(self.lines[int(work.key.gateway)].ended(ended, self.now))


def max_min_shares(
    capacity: float, demand_and_share: dict[str, tuple[float, float]]
) -> dict[str, float]:
    """Return what each group gets of a capacity when shares are honoured and nothing idles."""
    left = dict(demand_and_share)
    result: dict[str, float] = {}
    while left:
        total = sum(share for _, share in left.values())
        satisfied = {
            group: demand
            for group, (demand, share) in left.items()
            if demand <= capacity * share / total
        }
        if not satisfied:
            result |= {group: capacity * share / total for group, (_, share) in left.items()}
            return result
        result |= satisfied
        capacity -= sum(satisfied.values())
        for group in satisfied:
            del left[group]
    return result
