"""Requests for single shards of one query: sent now, held back, or given up, without I/O."""

from typing import Final

from trackwheel.gathering.const import LATE_RETRY_DELAY_RESPONSE_TIMES, RETRY_DELAY_RESPONSE_TIMES
from trackwheel.gathering.delegated import DelegatedGroups
from trackwheel.gathering.gather_models import CancelPart, GatherPlan, SendPart
from trackwheel.gathering.shards import Shard, ShardTracker
from trackwheel.selection.attempts import Refusal, hedge_time
from trackwheel.selection.budget import RetryBudget
from trackwheel.selection.target_selector import NoTargetReason, TargetSelector

DECLINED: Final = "declined"
"""Reason of a request for a shard that a peer has declined."""


class ShardRequester:
    """Requests shards from targets, holds back those that must wait, and gives up the rest."""

    def __init__(
        self,
        plan: GatherPlan,
        selector: TargetSelector,
        budget: RetryBudget,
        shards: ShardTracker,
        groups: DelegatedGroups,
    ) -> None:
        self._plan = plan
        self._selector = selector
        self._budget = budget
        self._shards = shards
        self._groups = groups
        self._shard_name_by_token: dict[int, str] = {}
        self._next_token = 0

    def ask_or_hold_back(self, name: str, reason: str, now: float) -> SendPart | None:
        """Request a shard now, hold it back, or give it up if there is nothing left to try."""
        if now >= self._plan.end_at:
            return None
        asked = self._ask(name, reason, now)
        if isinstance(asked, SendPart):
            return asked
        in_time = now < self._plan.answer_at
        # Peers that declined may be able to ask a target later, but each retry costs a message.
        retry_at = self._retry_at(in_time and reason != DECLINED, now)
        self._schedule_retry(name, asked, in_time, retry_at, now)
        return None

    def hold_back(self, name: str, now: float) -> None:
        """Hold a shard back until its next retry."""
        self._shards.hold_back(name, self._retry_at(now < self._plan.answer_at, now))

    def _retry_at(self, soon: bool, now: float) -> float:
        """Return the time of the next retry of a shard that cannot be requested now."""
        paces = RETRY_DELAY_RESPONSE_TIMES if soon else LATE_RETRY_DELAY_RESPONSE_TIMES
        return now + paces * self._selector.usual_s(self._plan.route, far=False)

    def pop_ended(self, token: int) -> str | None:
        """Return the shard of a request that ended; None if the request was withdrawn."""
        return self._shard_name_by_token.pop(token, None)

    def withdraw(self, shard: Shard) -> list[CancelPart]:
        """Withdraw all unanswered requests for a shard."""
        commands: list[CancelPart] = []
        for token, target in shard.attempts.target_by_token.items():
            self._shard_name_by_token.pop(token, None)
            commands.append(CancelPart(token, target))
        shard.attempts.target_by_token.clear()
        return commands

    def _schedule_retry(
        self, name: str, refusal: Refusal, in_time: bool, retry_at: float, now: float
    ) -> None:
        """Schedule the next retry of a shard, or give it up."""
        shard = self._shards[name]
        if shard.is_pending:
            if refusal is Refusal.NOT_NOW and in_time:
                self._shards.schedule_hedge(name, retry_at)
        elif refusal is Refusal.NOT_NOW and not self._plan.repeat:
            self._shards.hold_back(name, retry_at)
        elif refusal is Refusal.DOWN and in_time and not self._plan.repeat:
            # A target that returns before the target latency can still answer in time.
            self._shards.hold_back(name, max(retry_at, shard.attempts.backoff_until))
        else:
            self._shards.give_up([name])
            shard.last_failure = shard.last_failure or self._no_target_reason(name, now)

    def _no_target_reason(self, name: str, now: float) -> str:
        """Return why no target may be asked for a shard; empty if some were."""
        reason = self._selector.no_target_reason(name, self._plan.route, now)
        return "" if reason is NoTargetReason.TRIED else reason.value

    def _is_needed(self, name: str) -> bool:
        """Return whether the answer fails without a shard because too many others are missing."""
        return (
            self._shards.count_others_unavailable(name)
            >= self._shards.max_missing - self._groups.max_missing
        )

    def _ask(self, name: str, reason: str, now: float) -> SendPart | Refusal:
        """Return the request to one more target, or why none may be sent."""
        shard = self._shards[name]
        choices = shard.attempts.choose(
            self._selector, self._budget, self._plan.route, now, self._is_needed(name)
        )
        if isinstance(choices, Refusal):
            return choices
        self._shards.mark_asked(name)
        token = self._next_token
        self._next_token += 1
        target = choices[0].target
        shard.attempts.mark_sent(token, target)
        self._shard_name_by_token[token] = name
        if len(shard.attempts.target_by_token) == 1:
            self._shards.schedule_hedge(name, hedge_time(choices, self._plan.answer_at, now))
        return SendPart(token, name, target, reason)
