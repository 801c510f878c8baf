"""Delegation of one query's shards to peers, with their share of the attempts, without I/O."""

from collections.abc import Sequence

from trackwheel.gathering.delegated import DelegatedGroup, DelegatedGroups
from trackwheel.gathering.gather_models import GatherPlan, GroupPlan, Regrouper, SendGroup
from trackwheel.gathering.parts import ReceivedParts
from trackwheel.gathering.shards import ShardTracker
from trackwheel.relay.models import SendPermission
from trackwheel.selection.target_selector import TargetSelector


class GroupDelegator:
    """Delegates groups of shards and tracks which shards each peer still has."""

    def __init__(
        self,
        plan: GatherPlan,
        selector: TargetSelector,
        shards: ShardTracker,
        groups: DelegatedGroups,
        parts: ReceivedParts,
        regrouper: Regrouper | None,
    ) -> None:
        self._plan = plan
        self._selector = selector
        self._shards = shards
        self._groups = groups
        self._parts = parts
        self._regrouper = regrouper

    def delegate(self, group: GroupPlan) -> SendGroup:
        """Delegate a group: a first one with all attempts but one, a repeat with one attempt."""
        delegated = DelegatedGroup(group, self._max_missing_of(group))
        number = self._groups.add(delegated)
        if not group.repeat:
            self._parts.expect_merged(group.shards)
        for name in group.shards:
            shard = self._shards[name]
            shard.groups.add(number)
            self._shards.mark_asked(name)
            local = {t.instance for t in self._selector.targets(name) if t.place == group.place}
            if group.repeat:
                shard.attempts.delegate_repeat(local)
            else:
                shard.attempts.delegate(self._plan.peer_attempts, local)
        floor = self._parts.floor() if group.repeat else b""
        return SendGroup(number, group, floor, delegated.least_coverage)

    def delegate_elsewhere(self, names: Sequence[str], repeat: bool, now: float) -> list[SendGroup]:
        """Delegate shards to peers near targets not tried yet, if the gate lets the query pass."""
        tried_by_shard = {
            name: self._shards[name].attempts.tried
            for name in names
            if self._shards[name].attempts.may_run_again
        }
        if self._regrouper is None or not tried_by_shard or now >= self._plan.end_at:
            return []
        if self._plan.gate.permission(now) is not SendPermission.OPEN:
            return []
        groups = self._regrouper.regroup(tried_by_shard, self._plan, repeat, now)
        return [self.delegate(group) for group in groups]

    def refund(self, number: int, not_run: Sequence[str]) -> None:
        """Give back the attempts for shards that no target of a group's peer may have run."""
        group = self._groups[number].plan
        for name in self.pending_shards(number):
            if name in not_run:
                local = {t.instance for t in self._selector.targets(name) if t.place == group.place}
                self._shards[name].attempts.refund_delegation(local, group.repeat)

    def pending_shards(self, number: int) -> list[str]:
        """Return the shards of a group that its peer still has."""
        return self._shards.in_group(self._groups[number].plan.shards, number)

    def _max_missing_of(self, group: GroupPlan) -> int:
        """Return how many shards of a group may be missing, in proportion to its size."""
        if group.repeat:
            return 0
        return self._shards.max_missing * len(group.shards) // len(self._plan.shards)
