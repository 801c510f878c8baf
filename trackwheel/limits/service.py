"""Checks requests against the limits of their groups; counts for other boxes."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

from trackwheel.clock import steady_now
from trackwheel.fleet.models import Member
from trackwheel.groups.models import GroupTable
from trackwheel.limits.budget import LimitBudget, LimitMargin, limit_budget
from trackwheel.limits.const import MAX_GROUPS_SHOWN
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
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.relay.entry_checks import Decide, EntryRefusal, EntryRequest, EntryTicket
from trackwheel.relay.timer import Timer
from trackwheel.telemetry.events import EventLog

OTHER_GROUPS: Final = "other"
STATUS_REFUSED: Final = 429


class _NoTicket:
    """Keeps nothing of a request whose group has no limit."""

    def withdraw(self) -> None:
        pass

    def end(self, ran: bool) -> None:
        pass


NO_TICKET: Final[EntryTicket] = _NoTicket()


class _Ticket:
    """Keeps the token of one request."""

    def __init__(self, limits: "GroupLimits", request: int, group: str) -> None:
        self._limits = limits
        self._request = request
        self._group = group
        self.lapses_at = 0.0

    def withdraw(self) -> None:
        self._limits.withdraw(self._request, self._group)

    def end(self, ran: bool) -> None:
        if not ran:
            self._limits.give_back(self._group, self.lapses_at)


class _Waiting(NamedTuple):
    request: EntryRequest
    decide: Decide
    ticket: _Ticket
    group: str


class GroupLimits:
    """The limits of groups at one box: an `EntryCheck`, and the counting box's side.

    Without a margin, or while no group has a limit, every request passes and nothing is sent.
    """

    def __init__(
        self, hub: Hub, margin: LimitMargin | None, domains: int, seed: int, log: EventLog
    ) -> None:
        now = steady_now()
        self._hub = hub
        self._margin = margin
        self._log = log
        self._budget_by_group: dict[str, LimitBudget] = {}
        self.counting = CountingBox(seed, margin.window_s if margin else 0.0, domains, now)
        self.delegator = PartDelegator(domains, now)
        self._limiter = EntryLimiter(margin.window_s if margin else 0.0, seed)
        self._members: dict[str, Member] = {}
        self._counters: tuple[str, ...] = ()
        self._requests = 0
        self._waiting_by_request: dict[int, _Waiting] = {}
        self._shown: set[str] = set()
        self.counted: Counter[tuple[str, str]] = Counter()
        self._timer = Timer(self._tick)
        hub.register(Delegation, self._receive_delegation)
        hub.register(Delegated, self._receive_delegated)
        hub.register(TokenAsk, self._receive_ask)
        hub.register(TokenGrant, self._receive_grant)
        hub.register(GiftAsk, self._receive_gift_ask)
        hub.register(Gift, self._receive_gift)

    @property
    def active(self) -> bool:
        """Return whether any group has a limit."""
        return bool(self._budget_by_group)

    def set_groups(self, groups: GroupTable | None) -> None:
        """Set the limits of the configuration in force."""
        if self._margin is None:
            return
        named = {} if groups is None else groups.group_by_name
        self._budget_by_group = {
            name: limit_budget(group.limit, self._margin)
            for name, group in named.items()
            if group.limit is not None
        }
        self.counting.set_limits(self._budget_by_group, steady_now())
        self._perform(self._limiter.set_limits(self._budget_by_group))

    def set_members(
        self, members: Iterable[Member], gatherers: frozenset[str], own: Member
    ) -> None:
        """Set the known boxes."""
        if self._margin is None:
            return
        now = steady_now()
        self._members = {member.address: member for member in members}
        counter_by_domain = choose_counting_boxes(self._members.values(), gatherers)
        others = sorted(
            (m for m in counter_by_domain.values() if m.failure_domain != own.failure_domain),
            key=lambda m: (m.region != own.region, m.address),
        )
        # A box whose domain has no gatherer, such as one that leaves, delegates to nobody.
        counter = counter_by_domain.get(own.failure_domain)
        boxes = Counter(member.failure_domain for member in self._members.values())
        self.delegator.set_members(dict(boxes), counter.address if counter else "", now)
        is_counter = counter is not None and counter.address == own.address
        self.counting.set_others(tuple(m.address for m in others), is_counter, now)
        counters = ((counter,) if counter else ()) + tuple(others)
        self._counters = tuple(m.address for m in counters)
        self._set_counters()
        self._perform([])

    def start(self, request: EntryRequest, decide: Decide) -> EntryTicket:
        """Check a request; implements `EntryCheck`."""
        group = request.group
        if group is None or group.name not in self._budget_by_group:
            decide(None)
            return NO_TICKET
        self._requests += 1
        ticket = _Ticket(self, self._requests, group.name)
        self._waiting_by_request[self._requests] = _Waiting(request, decide, ticket, group.name)
        self._count(group.name, "asked")
        self._perform(self._limiter.arrive(self._requests, group.name, steady_now()))
        return ticket

    def withdraw(self, request: int, group: str) -> None:
        """Forget a request that has not been decided on."""
        self._waiting_by_request.pop(request, None)
        self._limiter.withdraw(request, group)

    def give_back(self, group: str, lapses_at: float) -> None:
        """Take back the token of a request that no target has run."""
        self._limiter.give_back(group, lapses_at, steady_now())

    def tokens_by_group(self) -> dict[str, float]:
        """Return the tokens of the shown groups that are counted here."""
        now = steady_now()
        tokens = {group: self.counting.tokens(group, now) for group in self._shown}
        return {group: number for group, number in tokens.items() if number is not None}

    @property
    def counter_in_touch(self) -> bool:
        """Return whether this box's counting box answers."""
        first = self._counters[0] if self._counters else ""
        return bool(first) and not self._limiter.silent(first, steady_now())

    def _tick(self) -> None:
        now = steady_now()
        if self.active:
            holder = self.delegator.holder
            self._perform(self.delegator.tick(now))
            if self.delegator.holder != holder:
                self._set_counters()
                self._log.write(
                    "counting_box",
                    before=holder,
                    after=self.delegator.holder,
                    members=self.delegator.members,
                )
        self._perform(self.counting.tick(now))
        self._perform(self._limiter.tick(now))

    def _set_counters(self) -> None:
        """Ask first the box that has this box's part, as long as it is known."""
        holder = self.delegator.holder
        first = (holder,) if holder in self._members else ()
        rest = tuple(address for address in self._counters if address not in first)
        self._limiter.set_counters(first + rest)

    def _perform(self, commands: Sequence[SendLimit | Decision]) -> None:
        for command in commands:
            match command:
                case SendLimit(address, message):
                    self._hub.send(address, message)
                case Decision():
                    self._decide(command)
        if self._margin is None:
            return
        wake = min(self.counting.next_wake, self._limiter.next_wake)
        if self.active:
            wake = min(wake, self.delegator.next_wake)
        if wake < float("inf"):
            self._timer.set(wake)

    def _decide(self, decision: Decision) -> None:
        waiting = self._waiting_by_request.pop(decision.request, None)
        if waiting is None:
            return
        caller = waiting.request.caller
        self._count(waiting.group, "admitted" if decision.passes else "refused")
        if decision.passes:
            waiting.ticket.lapses_at = decision.lapses_at
            if decision.basis == "credit":
                self._count(waiting.group, "on_credit")
                self._log.write("limit_credit", id=caller.request_id, group=waiting.group)
            waiting.decide(None)
            return
        budget = self._budget_by_group.get(waiting.group)
        self._log.write(
            "limit_refused",
            id=caller.request_id,
            group=waiting.group,
            rate_per_s=budget.rate_per_s if budget else None,
            wait_s=round(decision.wait_s, 3),
            holder=self.delegator.holder,
            in_touch=self.counter_in_touch,
        )
        reason = "the group is over its limit"
        waiting.decide(EntryRefusal(STATUS_REFUSED, "limit", reason, decision.wait_s))

    def _count(self, group: str, what: str) -> None:
        if group not in self._shown:
            if len(self._shown) >= MAX_GROUPS_SHOWN:
                group = OTHER_GROUPS
            self._shown.add(group)
        self.counted[group, what] += 1

    def _receive_delegation(self, sender: PeerIdentity, message: Delegation) -> None:
        self._perform(self.counting.delegate(sender.address, message, steady_now()))

    def _receive_delegated(self, sender: PeerIdentity, message: Delegated) -> None:
        now = steady_now()
        self._limiter.receive_short(message.short_groups, now)
        self._perform(self.delegator.receive(sender.address, message, now))

    def _receive_ask(self, sender: PeerIdentity, message: TokenAsk) -> None:
        self._perform(self.counting.ask(sender.address, message, steady_now()))

    def _receive_grant(self, sender: PeerIdentity, message: TokenGrant) -> None:
        self._perform(self._limiter.receive_grant(sender.address, message, steady_now()))

    def _receive_gift_ask(self, sender: PeerIdentity, message: GiftAsk) -> None:
        self._perform(self.counting.ask_gift(sender.address, message, steady_now()))

    def _receive_gift(self, sender: PeerIdentity, message: Gift) -> None:
        self._perform(self.counting.receive_gift(sender.address, message, steady_now()))
