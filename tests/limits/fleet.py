"""Boxes with their limits and messages that take time, in virtual time."""

import heapq
from bisect import bisect_left
from collections import Counter
from collections.abc import Callable
from itertools import count
from random import Random

from trackwheel.fleet.models import Member, Status
from trackwheel.groups.models import GroupLimit
from trackwheel.limits.budget import LimitBudget, LimitMargin, limit_budget
from trackwheel.limits.counters import choose_counting_boxes
from trackwheel.limits.counting_box import CountingBox
from trackwheel.limits.delegator import PartDelegator
from trackwheel.limits.entry_limiter import EntryLimiter
from trackwheel.limits.models import (
    Decision,
    Delegated,
    Delegation,
    Gift,
    GiftAsk,
    SendLimit,
    TokenAsk,
    TokenGrant,
)

MARGIN = LimitMargin(window_s=5.0, overshoot=0.1, slack=20.0)
VIEW_DELAY_S = 3.0
"""Time after which boxes know of a loss, a cut or its end."""
TICK_S = 0.005


class Box:
    """One life of a box."""

    def __init__(self, number: int, domain: str, life: int, domains: int, now: float) -> None:
        self.name, self.domain, self.life = f"box-{number}", domain, life
        self.born = now
        self.counting = CountingBox(life, MARGIN.window_s, domains, now)
        self.delegator = PartDelegator(domains, now)
        self.limiter = EntryLimiter(MARGIN.window_s, life)
        self.counters: tuple[str, ...] = ()
        self.frozen = False


class Fleet:
    """Delivers messages between boxes and makes requests; `admitted` holds the times by group."""

    def __init__(self, domains: int, boxes: int, limits: dict[str, GroupLimit], seed: int) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.budgets: dict[str, LimitBudget] = {}
        self.domains = domains
        self.box_by_name: dict[str, Box] = {}
        self.cut: frozenset[str] = frozenset()
        self.unknown: frozenset[str] = frozenset()
        self.admitted: dict[str, list[float]] = {}
        self.refused: dict[str, list[float]] = {}
        self.basis: Counter[str] = Counter()
        self.messages: Counter[str] = Counter()
        self._ids = count()
        self._lives = count(1)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._group_by_request: dict[int, str] = {}
        self.set_limits(limits)
        for number in range(boxes):
            self.start(number)
        self.learn()
        self.after(0.0, self._tick)

    def set_limits(self, limits: dict[str, GroupLimit]) -> None:
        self.budgets = {name: limit_budget(limit, MARGIN) for name, limit in limits.items()}
        for box in self.box_by_name.values():
            box.counting.set_limits(self.budgets, self.now)
            self._perform(box, box.limiter.set_limits(self.budgets))

    def start(self, number: int) -> None:
        """Start a box anew; it has no state."""
        box = Box(number, f"d{number % self.domains}", next(self._lives), self.domains, self.now)
        box.counting.set_limits(self.budgets, self.now)
        box.limiter.set_limits(self.budgets)
        self.box_by_name[box.name] = box
        self.after(1.0, self.learn)

    def stop(self, name: str) -> None:
        self.box_by_name.pop(name, None)
        self.after(VIEW_DELAY_S, self.learn)

    def set_cut(self, names: frozenset[str]) -> None:
        """Cut some boxes off from the others."""
        self.cut = names
        self.after(VIEW_DELAY_S, self.learn)

    def set_unknown(self, names: frozenset[str]) -> None:
        """Let some boxes and the others not know of each other, though messages would pass."""
        self.unknown = names
        self.learn()

    def learn(self) -> None:
        """Tell each box which ones it can reach."""
        for box in self.box_by_name.values():
            is_apart = box.name in self.unknown
            seen = [
                b
                for b in self.box_by_name.values()
                if self.linked(box.name, b.name) and (b.name in self.unknown) == is_apart
            ]
            members = [
                Member(b.name, b.name, "", "r", b.domain, int(b.born * 1000), Status.ALIVE)
                for b in seen
            ]
            chosen = choose_counting_boxes(members, frozenset(m.address for m in members))
            own = chosen[box.domain].address
            others = sorted(m.address for d, m in chosen.items() if d != box.domain)
            box.delegator.set_members(dict(Counter(b.domain for b in seen)), own, self.now)
            box.counting.set_others(tuple(others), own == box.name, self.now)
            box.counters = (own, *others)
            self._set_counters(box)

    def _set_counters(self, box: Box) -> None:
        holder = box.delegator.holder
        first = (holder,) if holder in self.box_by_name else ()
        box.limiter.set_counters(first + tuple(n for n in box.counters if n not in first))

    def linked(self, one: str, other: str) -> bool:
        return (one in self.cut) == (other in self.cut)

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay_s, next(self._ids), action))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def request(self, group: str, name: str) -> None:
        box = self.box_by_name.get(name)
        if box is None or box.frozen or not box.counters:
            return
        request = next(self._ids)
        self._group_by_request[request] = group
        self._perform(box, box.limiter.arrive(request, group, self.now))

    def load(self, group: str, per_s: float, until: float, boxes: list[str] | None = None) -> None:
        """Make requests at random times, spread over boxes."""
        if self.now >= until:
            return
        ready = sorted(name for name, box in self.box_by_name.items() if box.counters)
        if ready:
            self.request(group, self.random.choice(boxes or ready))
        self.after(self.random.expovariate(per_s), lambda: self.load(group, per_s, until, boxes))

    def counting(self, domain: str) -> str:
        return next(b.counters[0] for b in self.box_by_name.values() if b.domain == domain)

    def most_in_window(self, group: str) -> int:
        times = self.admitted.get(group, [])
        ends = [bisect_left(times, t + MARGIN.window_s) for t in times]
        return max((end - start for start, end in enumerate(ends)), default=0)

    def _tick(self) -> None:
        for box in list(self.box_by_name.values()):
            wakes = (box.delegator.next_wake, box.counting.next_wake, box.limiter.next_wake)
            if box.frozen or min(wakes) > self.now:
                continue
            self._perform(box, box.delegator.tick(self.now))
            self._set_counters(box)
            self._perform(box, box.counting.tick(self.now))
            self._perform(box, box.limiter.tick(self.now))
        self.after(TICK_S, self._tick)

    def _perform(self, box: Box, commands: list[SendLimit] | list[SendLimit | Decision]) -> None:
        for command in commands:
            match command:
                case SendLimit(address, message):
                    self._send(box, address, message)
                case Decision(request, passes, _, _, basis):
                    kind = self.admitted if passes else self.refused
                    kind.setdefault(self._group_by_request[request], []).append(self.now)
                    self.basis[basis] += 1

    def _send(self, box: Box, address: str, message: object) -> None:
        self.messages[type(message).__name__] += address != box.name
        if not self.linked(box.name, address):
            return
        near = address in self.box_by_name and self.box_by_name[address].domain == box.domain
        delay_s = 0.0 if address == box.name else 0.001 if near else 0.008
        self.after(delay_s, lambda: self._deliver(box.name, address, message))

    def _deliver(self, sender: str, address: str, message: object) -> None:
        box = self.box_by_name.get(address)
        if box is None:
            return
        if box.frozen:
            self.after(0.1, lambda: self._deliver(sender, address, message))
            return
        now = self.now
        match message:
            case Delegation():
                self._perform(box, box.counting.delegate(sender, message, now))
            case Delegated():
                box.limiter.receive_short(message.short_groups, now)
                self._perform(box, box.delegator.receive(sender, message, now))
            case TokenAsk():
                self._perform(box, box.counting.ask(sender, message, now))
            case TokenGrant():
                self._perform(box, box.limiter.receive_grant(sender, message, now))
            case GiftAsk():
                self._perform(box, box.counting.ask_gift(sender, message, now))
            case Gift():
                self._perform(box, box.counting.receive_gift(sender, message, now))
