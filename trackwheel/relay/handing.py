"""Handing shards of one query to peers: which ones, with how many attempts, without I/O."""

from collections.abc import Sequence

from trackwheel.relay.board import Board
from trackwheel.relay.delegated import DelegatedGroup, DelegatedGroups
from trackwheel.relay.gather_models import GatherPlan, GroupPlan, Regrouper, SendGroup
from trackwheel.relay.models import SendPermission
from trackwheel.relay.parts import ReceivedParts
from trackwheel.relay.shards import ShardTracker


class GroupHanding:
    """Hand groups of shards over, and know which shards are left to which peer."""

    def __init__(
        self,
        plan: GatherPlan,
        board: Board,
        shards: ShardTracker,
        groups: DelegatedGroups,
        parts: ReceivedParts,
        regrouper: Regrouper | None,
    ) -> None:
        self._plan = plan
        self._board = board
        self._shards = shards
        self._groups = groups
        self._parts = parts
        self._regrouper = regrouper

    def hand_over(self, group: GroupPlan) -> SendGroup:
        """Leave a group to a peer: a first one with all attempts but one, a repeat with one."""
        handed = DelegatedGroup(group, self._max_missing_of(group))
        number = self._groups.add(handed)
        if not group.repeat:
            self._parts.expect_merged(group.shards)
        for name in group.shards:
            shard = self._shards[name]
            shard.groups.add(number)
            self._shards.mark_asked(name)
            beside = {t.instance for t in self._board.targets(name) if t.place == group.place}
            if group.repeat:
                shard.attempts.delegate_repeat(beside)
            else:
                shard.attempts.delegate(self._plan.peer_attempts, beside)
        floor = self._parts.floor() if group.repeat else b""
        return SendGroup(number, group, floor, handed.least_coverage)

    def hand_elsewhere(self, names: Sequence[str], repeat: bool, now: float) -> list[SendGroup]:
        """Hand shards to peers beside targets that were not tried, where the query may go there."""
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
        return [self.hand_over(group) for group in groups]

    def shards_of(self, number: int) -> list[str]:
        """Return the shards that are left to a peer."""
        return self._shards.in_group(self._groups[number].plan.shards, number)

    def _max_missing_of(self, group: GroupPlan) -> int:
        """Return how many shards of a group its peer may leave out: a part of what may lack."""
        if group.repeat:
            return 0
        return self._shards.max_missing * len(group.shards) // len(self._plan.shards)
