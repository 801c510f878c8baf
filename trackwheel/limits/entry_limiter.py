"""The side of the entry box: lets requests pass from its stock, or asks a counting box."""

from collections import deque
from collections.abc import Mapping
from random import Random
from typing import NamedTuple

from trackwheel.limits.budget import LimitBudget
from trackwheel.limits.const import (
    ANSWER_TIMEOUT_S,
    MAX_RETRY_AFTER_S,
    MAX_TRIES,
    MAX_WAITING,
    REFUSAL_HOLD_S,
    RETRY_SPREAD,
    SILENT_S,
)
from trackwheel.limits.demand import RecentDemand
from trackwheel.limits.models import Decision, SendLimit, TokenAsk, TokenGrant

EntryCommand = SendLimit | Decision


class _OpenAsk(NamedTuple):
    ask_id: int
    address: str
    wanted: int
    asked_at: float
    tries: int


class _Group:
    """What an entry box keeps of one group."""

    def __init__(self) -> None:
        self.stock = 0.0
        self.lapses_at = 0.0
        self.waiting: deque[int] = deque()
        self.ask: _OpenAsk | None = None
        self.demand = RecentDemand()
        self.credit_at = float("-inf")
        self.short_at = float("-inf")
        self.refused_until = float("-inf")
        self.next_token_at = 0.0


class EntryLimiter:
    """Decides on the requests of groups with a limit that arrive at one box.

    `seed` differs between two boots of a box: asks are numbered from it, so that no grant to an
    earlier boot counts.
    """

    def __init__(self, window_s: float, seed: int) -> None:
        self._window_s = window_s
        self._random = Random(seed)
        self._budget_by_group: Mapping[str, LimitBudget] = {}
        self._state_by_group: dict[str, _Group] = {}
        self._asking: set[str] = set()
        self._counters: tuple[str, ...] = ()
        self._silent_until_by_address: dict[str, float] = {}
        self._ask_ids = seed

    @property
    def next_wake(self) -> float:
        """Return when `tick` is due."""
        return min(
            (
                ask.asked_at + ANSWER_TIMEOUT_S
                for group in self._asking
                if (ask := self._state_by_group[group].ask) is not None
            ),
            default=float("inf"),
        )

    def silent(self, address: str, now: float) -> bool:
        """Return whether a counting box has not answered lately."""
        return self._silent_until_by_address.get(address, 0.0) > now

    def set_limits(self, budget_by_group: Mapping[str, LimitBudget]) -> list[EntryCommand]:
        """Set the limits; waiting requests of groups that have none any more pass."""
        self._budget_by_group = budget_by_group
        commands: list[EntryCommand] = []
        for group in [name for name in self._state_by_group if name not in budget_by_group]:
            state = self._state_by_group.pop(group)
            self._asking.discard(group)
            commands += [Decision(r, True, 0.0, 0.0, "no limit") for r in state.waiting]
        return commands

    def set_counters(self, addresses: tuple[str, ...]) -> None:
        """Set the counting boxes in the order in which they are asked, the own domain's first."""
        self._counters = addresses
        known = self._silent_until_by_address
        self._silent_until_by_address = {a: t for a, t in known.items() if a in addresses}

    def arrive(self, request: int, group: str, now: float) -> list[EntryCommand]:
        """Decide on a request of a group, now or after an answer."""
        budget = self._budget_by_group.get(group)
        if budget is None:
            return [Decision(request, True, 0.0, 0.0, "no limit")]
        state = self._state(group)
        state.demand.add(1.0, now)
        if now >= state.lapses_at:
            state.stock = 0.0
        if state.stock >= 1.0 and not state.waiting:
            return [self._take(request, state, "stock")]
        if now < state.refused_until or len(state.waiting) >= MAX_WAITING:
            return [self._refuse(request, state, budget, now)]
        state.waiting.append(request)
        return [] if state.ask is not None else self._ask(group, state, now, 1)

    def withdraw(self, request: int, group: str) -> None:
        """Forget a waiting request; its token stays in stock."""
        state = self._state_by_group.get(group)
        if state is not None and request in state.waiting:
            state.waiting.remove(request)

    def give_back(self, group: str, lapses_at: float, now: float) -> None:
        """Take back the token of a request that no target has run, until it lapses."""
        state = self._state_by_group.get(group)
        if state is None or now >= lapses_at:
            return
        if now >= state.lapses_at:
            state.stock = 0.0
        state.lapses_at = min(state.lapses_at, lapses_at) if state.stock else lapses_at
        state.stock += 1.0

    def receive_short(self, groups: list[str], now: float) -> None:
        """Keep which groups are short at the counting box."""
        for group in groups:
            if group in self._budget_by_group:
                self._state(group).short_at = now

    def receive_grant(self, address: str, grant: TokenGrant, now: float) -> list[EntryCommand]:
        """Decide on the requests for which tokens were asked."""
        self._silent_until_by_address.pop(address, None)
        state = self._state_by_group.get(grant.group)
        if state is None or state.ask is None or state.ask.ask_id != grant.ask_id:
            return []
        ask, budget = state.ask, self._budget_by_group[grant.group]
        self._close_ask(grant.group, state)
        lapses_at = ask.asked_at + budget.lease_s
        if grant.tokens > 0.0 and now < lapses_at:
            state.lapses_at = min(state.lapses_at, lapses_at) if state.stock else lapses_at
            state.stock += grant.tokens
        asked = min(ask.wanted, len(state.waiting))
        commands: list[EntryCommand] = []
        while asked and state.stock >= 1.0:
            commands.append(self._take(state.waiting.popleft(), state, "grant"))
            asked -= 1
        if asked and grant.counts:
            state.short_at = now
            state.next_token_at = now + grant.wait_s
            state.refused_until = now + min(grant.wait_s, REFUSAL_HOLD_S)
        if asked and not grant.counts:
            commands += self._decide_on_credit(asked, state, budget, now)
            asked = 0
        commands += [
            self._refuse(state.waiting.popleft(), state, budget, now) for _ in range(asked)
        ]
        if state.waiting:
            commands += self._ask(grant.group, state, now, 1)
        return commands

    def tick(self, now: float) -> list[EntryCommand]:
        """Ask another counting box where one has not answered; decide on credit at last."""
        commands: list[EntryCommand] = []
        for group in sorted(self._asking):
            state = self._state_by_group[group]
            ask = state.ask
            if ask is None or now < ask.asked_at + ANSWER_TIMEOUT_S:
                continue
            self._silent_until_by_address[ask.address] = now + SILENT_S
            self._close_ask(group, state)
            if state.waiting:
                commands += self._ask(group, state, now, ask.tries + 1)
        return commands

    def _ask(self, group: str, state: _Group, now: float, tries: int) -> list[EntryCommand]:
        """Ask the first counting box that is not silent for the tokens of all that wait."""
        address = next((a for a in self._counters if not self.silent(a, now)), None)
        if address is None or tries > MAX_TRIES:
            budget = self._budget_by_group[group]
            return self._decide_on_credit(len(state.waiting), state, budget, now)
        self._ask_ids += 1
        wanted = len(state.waiting)
        state.ask = _OpenAsk(self._ask_ids, address, wanted, now, tries)
        self._asking.add(group)
        return [SendLimit(address, TokenAsk(self._ask_ids, group, wanted, state.demand.per_s(now)))]

    def _close_ask(self, group: str, state: _Group) -> None:
        state.ask = None
        self._asking.discard(group)

    def _decide_on_credit(
        self, count: int, state: _Group, budget: LimitBudget, now: float
    ) -> list[EntryCommand]:
        """Let one request pass in a window, unless the group is known to be short."""
        commands: list[EntryCommand] = []
        if now - max(state.credit_at, state.short_at) >= self._window_s:
            state.credit_at = now
            commands.append(Decision(state.waiting.popleft(), True, 0.0, 0.0, "credit"))
            count -= 1
        state.next_token_at = max(state.next_token_at, now + SILENT_S)
        return commands + [
            self._refuse(state.waiting.popleft(), state, budget, now) for _ in range(count)
        ]

    def _take(self, request: int, state: _Group, basis: str) -> Decision:
        state.stock -= 1.0
        return Decision(request, True, 0.0, state.lapses_at, basis)

    def _refuse(self, request: int, state: _Group, budget: LimitBudget, now: float) -> Decision:
        """Refuse a request until after those that were refused before it."""
        at = max(now, state.next_token_at)
        state.next_token_at = at + 1.0 / budget.rate_per_s
        wait_s = (at - now) * (1.0 + RETRY_SPREAD * self._random.random())
        return Decision(request, False, min(MAX_RETRY_AFTER_S, wait_s), 0.0, "short")

    def _state(self, group: str) -> _Group:
        return self._state_by_group.setdefault(group, _Group())
