"""The tokens of one group at one counting box."""

from collections import deque
from typing import NamedTuple

from trackwheel.limits.budget import LimitBudget
from trackwheel.limits.const import GIFT_AHEAD_S, GIFT_PERIOD_S, MAX_RETRY_AFTER_S, RESERVE_S
from trackwheel.limits.demand import RecentDemand
from trackwheel.limits.models import TokenAsk
from trackwheel.limits.shares import DelegatedParts


class WaitingAsk(NamedTuple):
    """An ask that waits for gifts."""

    address: str
    ask: TokenAsk
    answer_by: float


class Bucket:
    """Tokens that accrue with the delegated parts, and gifts that lapse.

    Tokens beyond the bucket's capacity are kept only as gifts, for a lease.
    """

    def __init__(self, budget: LimitBudget) -> None:
        self.budget = budget
        self.demand = RecentDemand()
        self.waiting: deque[WaitingAsk] = deque()
        self.gift_asked_at = float("-inf")
        self.gift_period_s = GIFT_PERIOD_S
        self.gift_wanted = 0.0
        self.gift_asks: dict[str, int] = {}
        self.left_by_giver: dict[str, float] = {}
        self.gifts_received = 0.0
        self.counted_elsewhere = False
        self.givers_that_start = 0
        self._tokens = 0.0
        self._accrued = 0.0
        self._started = 0.0
        self._gift = 0.0
        self._gift_until = 0.0
        self._told_at = 0.0
        self._credit = 0.0
        self._credit_until = float("-inf")

    def settle(self, parts: DelegatedParts, now: float) -> None:
        """Add what has accrued; `parts` are integrated up to now."""
        accrued, started = parts.accrued - self._accrued, parts.started - self._started
        self._accrued, self._started = parts.accrued, parts.started
        gain = self.budget.rate_per_s * accrued + self.budget.start * started
        self._tokens = min(self.capacity(parts), self._tokens + gain)
        if now >= self._gift_until:
            self._gift = 0.0

    def capacity(self, parts: DelegatedParts) -> float:
        """Return what the bucket may hold of the group's capacity."""
        return self.budget.capacity * parts.sum

    @property
    def available(self) -> float:
        """Return the tokens that may be granted, as last settled."""
        return self._tokens + self._gift

    def take(self, tokens: float) -> None:
        """Take available tokens, those that lapse first."""
        gift = min(self._gift, tokens)
        self._gift -= gift
        self._tokens -= tokens - gift

    def extra(self, demand_per_s: float, parts: DelegatedParts) -> float:
        """Return the whole tokens to grant for a box's coming demand."""
        spare = max(0.0, self._tokens - self.capacity(parts) / 2.0) + self._gift
        return float(max(0, int(min(demand_per_s * self.budget.lease_s / 2.0, spare))))

    def ahead(self, demand_per_s: float, parts: DelegatedParts) -> float:
        """Return the tokens to ask of others for coming demand: what fits or is used in time."""
        room = max(0.0, self.capacity(parts) - self._tokens)
        return min(demand_per_s * GIFT_AHEAD_S, room + demand_per_s * self.budget.lease_s / 2.0)

    def spare(self, now: float) -> float:
        """Return the tokens that may be given away."""
        return max(0.0, self._tokens - self.demand.per_s(now) * RESERVE_S)

    def give(self, tokens: float, now: float) -> float:
        """Take tokens for another counting box, as many as may be given away."""
        given = min(tokens, self.spare(now))
        self._tokens -= given
        return given

    def receive(self, tokens: float, lapses_at: float, parts: DelegatedParts, now: float) -> None:
        """Add a gift; what exceeds the capacity lapses."""
        if now >= lapses_at:
            return
        kept = min(tokens, max(0.0, self.capacity(parts) - self._tokens))
        self._tokens += kept
        if tokens > kept:
            self._gift_until = min(lapses_at, self._gift_until) if self._gift else lapses_at
            self._gift += tokens - kept

    def take_credit(self, wanted: int, allowed: int, window_s: float, now: float) -> int:
        """Return how many of some requests may pass while no box delegates here."""
        if now >= self._credit_until:
            self._credit, self._credit_until = float(allowed), now + window_s
        taken = min(wanted, int(self._credit))
        self._credit -= taken
        return taken

    def wait_s(self, refused: int, parts: DelegatedParts, now: float) -> float:
        """Return when to come back with the first of some refused requests.

        They queue behind those that were told before.
        """
        rate = self.budget.rate_per_s * (parts.sum or 1.0)
        first = max(now + max(0.0, 1.0 - self.available) / rate, self._told_at + 1.0 / rate)
        if first - now > MAX_RETRY_AFTER_S:
            return MAX_RETRY_AFTER_S
        self._told_at = first + (refused - 1) / rate
        return first - now
