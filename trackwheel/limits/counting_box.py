"""The counting box of a failure domain: grants tokens from the parts delegated to it."""

from collections.abc import Mapping

from trackwheel.limits.bucket import Bucket, WaitingAsk
from trackwheel.limits.budget import LimitBudget
from trackwheel.limits.const import (
    ASK_AHEAD_S,
    COUNT_AT_START_PART,
    COUNT_AT_START_UNTIL_S,
    GIFT_PERIOD_S,
    GIFT_ROUNDING,
    GIFT_WAIT_S,
    MAX_GIFT_PERIOD_S,
    MAX_RETRY_AFTER_S,
    MAX_SHORT_TOLD,
    SETTLE_S,
    SHORT_MEMORY_S,
)
from trackwheel.limits.models import (
    Delegated,
    Delegation,
    Gift,
    GiftAsk,
    SendLimit,
    TokenAsk,
    TokenGrant,
)
from trackwheel.limits.shares import DelegatedParts


class CountingBox:
    """Decides on asks for tokens; every box has one, used while others delegate to it.

    `life` differs between two lives of a box, so that no stamp of an earlier one counts, and no
    gift to it: asks are numbered from it.
    """

    def __init__(self, life: int, window_s: float, domains: int, now: float) -> None:
        self._window_s = window_s
        self._domains = domains
        self._started_at = now
        self._is_counter = False
        self.parts = DelegatedParts(life, now)
        self._budget_by_group: Mapping[str, LimitBudget] = {}
        self._bucket_by_group: dict[str, Bucket] = {}
        self._others: tuple[str, ...] = ()
        self._ask_ids = life
        self._refused_at_by_group: dict[str, float] = {}
        self._waiting_groups: set[str] = set()

    @property
    def next_wake(self) -> float:
        """Return when `tick` is due."""
        return min(
            (self._bucket_by_group[group].waiting[0].answer_by for group in self._waiting_groups),
            default=float("inf"),
        )

    def tokens(self, group: str, now: float) -> float | None:
        """Return the tokens of a group, None if it has asked for none here."""
        if group not in self._bucket_by_group:
            return None
        self.parts.advance(now)
        return self._settled(group, now).available

    def set_limits(self, budget_by_group: Mapping[str, LimitBudget], now: float) -> None:
        """Set the limits; what accrued before did so by the old ones, capacities bind at once."""
        self.parts.advance(now)
        for group, bucket in list(self._bucket_by_group.items()):
            bucket.settle(self.parts, now)
            budget = budget_by_group.get(group)
            if budget is None:
                del self._bucket_by_group[group]
                self._waiting_groups.discard(group)
                self._refused_at_by_group.pop(group, None)
                continue
            bucket.budget = budget
        self._budget_by_group = budget_by_group

    def set_others(self, addresses: tuple[str, ...], is_counter: bool, now: float) -> None:
        """Set the counting boxes of the other failure domains, and whether this box is one."""
        self._others = addresses
        self._is_counter = is_counter
        if not is_counter:
            self.parts.end_start(now)

    def delegate(self, address: str, message: Delegation, now: float) -> list[SendLimit]:
        """Count a box's part and tell it which groups are short."""
        self.parts.delegate(address, message, now)
        return [SendLimit(address, Delegated(self.parts.stamp(now), self._short_groups(now)))]

    def ask(self, address: str, ask: TokenAsk, now: float) -> list[SendLimit]:
        """Grant tokens, at once or after gifts have come."""
        if ask.group not in self._budget_by_group:
            grant = TokenGrant(ask.ask_id, ask.group, 0.0, MAX_RETRY_AFTER_S, False)
            return [SendLimit(address, grant)]
        self.parts.advance(now)
        bucket = self._settled(ask.group, now)
        bucket.demand.add(ask.wanted, now)
        commands: list[SendLimit] = []
        missing = ask.wanted - bucket.available
        demand_per_s = bucket.demand.per_s(now)
        if missing + demand_per_s * ASK_AHEAD_S > 0.0:
            wanted = max(0.0, missing) + bucket.ahead(demand_per_s, self.parts)
            commands = self._ask_gifts(ask.group, wanted, bucket, now)
        in_round = bool(bucket.gift_asks) and now < bucket.gift_asked_at + 2.0 * GIFT_WAIT_S
        answer_by = now + GIFT_WAIT_S if in_round else now
        bucket.waiting.append(WaitingAsk(address, ask, answer_by))
        self._waiting_groups.add(ask.group)
        return commands + self._answer(ask.group, now)

    def ask_gift(self, address: str, ask: GiftAsk, now: float) -> list[SendLimit]:
        """Give tokens to the counting box of another failure domain.

        A box that starts asks in turn, to learn whether the others start as well.
        """
        given = left = 0.0
        commands: list[SendLimit] = []
        if ask.group in self._budget_by_group:
            self.parts.advance(now)
            bucket = self._settled(ask.group, now)
            given = bucket.give(max(0.0, ask.tokens), now)
            left = bucket.spare(now)
            lately = now < bucket.gift_asked_at + MAX_GIFT_PERIOD_S
            if self._starts(now) and not self.parts.counts_at_start and not lately:
                commands = self._ask_gifts(ask.group, 0.0, bucket, now)
        gift = Gift(ask.ask_id, ask.group, given, left, self.parts.members, self._starts(now))
        return [SendLimit(address, gift), *commands]

    def receive_gift(self, address: str, gift: Gift, now: float) -> list[SendLimit]:
        """Use a gift; ask its giver for the rest if it has more."""
        bucket = self._bucket_by_group.get(gift.group)
        if bucket is None or bucket.gift_asks.get(address) != gift.ask_id:
            return []
        del bucket.gift_asks[address]
        self.parts.advance(now)
        bucket.settle(self.parts, now)
        lapses_at = bucket.gift_asked_at + bucket.budget.lease_s
        bucket.receive(gift.tokens, lapses_at, self.parts, now)
        bucket.gifts_received += gift.tokens
        bucket.left_by_giver[address] = gift.left
        bucket.counted_elsewhere |= gift.members > 0
        bucket.givers_that_start += gift.starts
        self.parts.confirm(gift.members)
        if bucket.givers_that_start == self._domains - 1 and self._starts(now):
            self._count_at_start(bucket, now)
        commands = self._answer(gift.group, now)
        if bucket.gift_asks:
            return commands
        return commands + self._end_round(gift.group, bucket, now)

    def tick(self, now: float) -> list[SendLimit]:
        """Answer the asks whose time for gifts is over."""
        self.parts.advance(now)
        commands: list[SendLimit] = []
        for group in sorted(self._waiting_groups):
            self._settled(group, now)
            commands += self._answer(group, now)
        return commands

    def _starts(self, now: float) -> bool:
        """Return whether this counting box started lately and knows of no delegated part."""
        is_young = now - self._started_at < SETTLE_S
        return self._is_counter and is_young and not self.parts.known

    def _count_at_start(self, bucket: Bucket, now: float) -> None:
        """Count the domain's parts: the counting boxes of all domains have started lately."""
        part = COUNT_AT_START_PART / self._domains
        until = self._started_at + COUNT_AT_START_UNTIL_S
        if self.parts.count_at_start(part, self._started_at, until, now):
            bucket.settle(self.parts, now)
            # The others had nothing to give before and count now too: ask again without a pause.
            bucket.gift_wanted = 0.0

    def _settled(self, group: str, now: float) -> Bucket:
        bucket = self._bucket_by_group.get(group)
        if bucket is None:
            bucket = self._bucket_by_group[group] = Bucket(self._budget_by_group[group])
        bucket.settle(self.parts, now)
        return bucket

    def _ask_gifts(self, group: str, missing: float, bucket: Bucket, now: float) -> list[SendLimit]:
        """Ask all other counting boxes for equal parts of what is missing."""
        in_flight_s = 2.0 * GIFT_WAIT_S if bucket.gift_asks else 0.0
        pause_s = max(bucket.gift_period_s, in_flight_s)
        if not self._others or now < bucket.gift_asked_at + pause_s:
            return []
        bucket.gift_asked_at, bucket.gifts_received = now, 0.0
        bucket.counted_elsewhere = False
        bucket.givers_that_start = 0
        bucket.gift_asks.clear()
        bucket.left_by_giver.clear()
        bucket.gift_wanted = missing
        each = missing / len(self._others) + GIFT_ROUNDING
        return [self._gift_ask(address, group, each, bucket) for address in self._others]

    def _ask_givers(self, group: str, missing: float, bucket: Bucket) -> list[SendLimit]:
        """Ask those that have tokens left for what is still missing."""
        commands: list[SendLimit] = []
        givers, bucket.left_by_giver = bucket.left_by_giver, {}
        for address, left in sorted(givers.items(), key=lambda item: -item[1]):
            tokens = min(missing, left)
            if tokens <= 0.0:
                break
            missing -= tokens
            commands.append(self._gift_ask(address, group, tokens + GIFT_ROUNDING, bucket))
        return commands

    def _gift_ask(self, address: str, group: str, tokens: float, bucket: Bucket) -> SendLimit:
        self._ask_ids += 1
        bucket.gift_asks[address] = self._ask_ids
        return SendLimit(address, GiftAsk(self._ask_ids, group, tokens))

    def _end_round(self, group: str, bucket: Bucket, now: float) -> list[SendLimit]:
        """Ask again for what waits, or answer it if the others have no more."""
        missing = sum(waiting.ask.wanted for waiting in bucket.waiting) - bucket.available
        if bucket.waiting and missing > 0.0:
            commands = self._ask_givers(group, missing, bucket)
            if commands:
                return commands
        if bucket.gifts_received >= bucket.gift_wanted / 2.0:
            bucket.gift_period_s = 0.0
        elif bucket.gifts_received >= 1.0:
            bucket.gift_period_s = GIFT_PERIOD_S
        else:
            longer_s = max(GIFT_PERIOD_S, 2.0 * bucket.gift_period_s)
            bucket.gift_period_s = min(MAX_GIFT_PERIOD_S, longer_s)
        return self._answer(group, now, force=True)

    def _answer(self, group: str, now: float, force: bool = False) -> list[SendLimit]:
        """Answer the asks in order until one has to wait for gifts."""
        bucket = self._bucket_by_group[group]
        commands: list[SendLimit] = []
        while bucket.waiting:
            address, ask, answer_by = bucket.waiting[0]
            if bucket.available < ask.wanted and now < answer_by and not force:
                break
            bucket.waiting.popleft()
            commands.append(SendLimit(address, self._grant(ask, bucket, now)))
        if not bucket.waiting:
            self._waiting_groups.discard(group)
        return commands

    def _grant(self, ask: TokenAsk, bucket: Bucket, now: float) -> TokenGrant:
        tokens = float(min(ask.wanted, int(bucket.available)))
        bucket.take(tokens)
        if tokens == ask.wanted:
            extra = bucket.extra(ask.demand_per_s, self.parts)
            bucket.take(extra)
            bucket.demand.add(extra, now)
            return TokenGrant(ask.ask_id, ask.group, tokens + extra, 0.0, True)
        if not self.parts.boxes and not bucket.counted_elsewhere:
            allowed = max(1, int(bucket.budget.credit / max(1, self._domains)))
            refused = ask.wanted - int(tokens)
            tokens += bucket.take_credit(refused, allowed, self._window_s, now)
        if tokens < ask.wanted:
            self._refused_at_by_group[ask.group] = now
        wait_s = bucket.wait_s(ask.wanted - int(tokens), self.parts, now)
        return TokenGrant(ask.ask_id, ask.group, tokens, wait_s, True)

    def _short_groups(self, now: float) -> list[str]:
        refused = self._refused_at_by_group
        for group in [g for g, at in refused.items() if now - at >= SHORT_MEMORY_S]:
            del refused[group]
        return sorted(refused, key=lambda group: -refused[group])[:MAX_SHORT_TOLD]
