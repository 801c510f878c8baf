"""State of the shards of one query: outstanding requests, retries, hedges and failures."""

from collections.abc import Callable, Iterable
from heapq import heappop, heappush

from trackwheel.gathering.gather_models import GatherPlan
from trackwheel.relay.causes import Cause, most_frequent
from trackwheel.selection.attempts import NEVER, Attempts
from trackwheel.selection.target_selector import NoTargetReason


class Shard:
    """State of one shard: its attempts at targets and the peer groups that contain it."""

    def __init__(self, name: str, plan: GatherPlan) -> None:
        self.attempts = Attempts(name, plan.max_attempts, plan.repeat, plan.gate)
        self.groups: set[int] = set()
        self.last_failure = ""

    @property
    def is_pending(self) -> bool:
        """Return whether a request to a target or a peer is outstanding."""
        return bool(self.attempts.target_by_token or self.groups)

    def cause(self, held_back: bool) -> Cause:
        """Return why the shard is missing."""
        if self.attempts.target_by_token:
            return Cause.TARGET_SILENT
        if self.groups:
            return Cause.PEER_SILENT
        return self.attempts.cause or (Cause.SUSPECTED if held_back else Cause.TARGETS_TRIED)


def max_missing_shards(total: int, least_coverage: float) -> int:
    """Return how many shards may be missing at a given least coverage."""
    return max(lack for lack in range(total + 1) if (total - lack) / total >= least_coverage)


class ShardTracker:
    """Track all shards of a query, indexed so that an event need not scan every shard."""

    def __init__(self, plan: GatherPlan) -> None:
        self._shard_by_name = {name: Shard(name, plan) for name in plan.shards}
        self.max_missing = max_missing_shards(len(plan.shards), plan.least_coverage)
        """Number of shards that the answer may leave out."""
        self._missing_by_name = dict(self._shard_by_name)
        self._given_up: set[str] = set()
        self._hedges: list[tuple[float, str]] = []
        """Heap of (time, shard); entries of shards received in the meantime are skipped."""
        self._retry_at_by_name: dict[str, float] = {}

    def __getitem__(self, name: str) -> Shard:
        return self._shard_by_name[name]

    @property
    def all(self) -> Iterable[Shard]:
        """Return the state of every shard."""
        return self._shard_by_name.values()

    @property
    def given_up_count(self) -> int:
        """Return the number of shards that can no longer be received."""
        return len(self._given_up)

    @property
    def can_receive_more(self) -> bool:
        """Return whether a missing shard has an outstanding request or a scheduled retry."""
        return bool(self._retry_at_by_name) or self.awaits_answer

    @property
    def awaits_answer(self) -> bool:
        """Return whether a request for a missing shard is outstanding at a target or a peer."""
        return any(shard.is_pending for shard in self._missing_by_name.values())

    def ungrouped(self) -> list[str]:
        """Return the shards that are in no peer group."""
        return [name for name, shard in self._shard_by_name.items() if not shard.groups]

    def in_group(self, names: Iterable[str], number: int) -> list[str]:
        """Return those of the given shards that are delegated in a group."""
        return [name for name in names if number in self._shard_by_name[name].groups]

    def mark_received(self, name: str) -> None:
        """Record that a shard was received."""
        self._missing_by_name.pop(name, None)
        self._given_up.discard(name)
        self._retry_at_by_name.pop(name, None)

    def give_up(self, names: Iterable[str]) -> None:
        """Record that no target or peer is left to ask for the given shards."""
        for name in names:
            self._given_up.add(name)
            self._retry_at_by_name.pop(name, None)

    def hold_back(self, name: str, until: float) -> None:
        """Schedule a retry: the shard is not requested before `until` (monotonic seconds)."""
        self._retry_at_by_name[name] = until

    def mark_asked(self, name: str) -> None:
        """Record that a shard was requested, which cancels a scheduled retry."""
        self._retry_at_by_name.pop(name, None)

    def count_others_unavailable(self, name: str) -> int:
        """Return the number of other shards that were given up or are held back."""
        return len((self._given_up | self._retry_at_by_name.keys()) - {name})

    def next_retry(self) -> float:
        """Return the time of the next scheduled retry."""
        return min(self._retry_at_by_name.values(), default=NEVER)

    def due_retries(self, now: float) -> list[str]:
        """Return the shards whose retry is due."""
        return [name for name, at in self._retry_at_by_name.items() if at <= now]

    def schedule_hedge(self, name: str, at: float) -> None:
        """Schedule a hedged request for a shard (monotonic seconds)."""
        if at < NEVER:
            heappush(self._hedges, (at, name))

    def next_hedge(self) -> float:
        """Return the time of the next hedged request for a missing shard."""
        while self._hedges and self._hedges[0][1] not in self._missing_by_name:
            heappop(self._hedges)
        return self._hedges[0][0] if self._hedges else NEVER

    def pop_late(self, now: float) -> list[str]:
        """Remove and return the shards whose hedged request is due."""
        late: list[str] = []
        while self.next_hedge() <= now:
            late.append(heappop(self._hedges)[1])
        return late

    def not_run(self) -> tuple[str, ...]:
        """Return the missing shards that no target may have run."""
        return tuple(
            name
            for name, shard in self._missing_by_name.items()
            if not shard.is_pending and not shard.attempts.ran
        )

    def cause_of_missing(self) -> Cause | None:
        """Return the most frequent cause of the missing shards, None if there are none."""
        return most_frequent(self._cause(name) for name in self._missing_by_name)

    def cause_of_given_up(self) -> Cause | None:
        """Return the most frequent cause of the shards that were given up."""
        return most_frequent(self._cause(name) for name in self._given_up)

    def _cause(self, name: str) -> Cause:
        return self._shard_by_name[name].cause(name in self._retry_at_by_name)

    def describe_missing(self, limit: int, peer_address: Callable[[int], str]) -> str:
        """Return up to `limit` missing shards and why they are missing, for the log."""
        names = sorted(self._missing_by_name, key=lambda name: name not in self._given_up)[:limit]
        return "; ".join(f"{name}: {self._describe(name, peer_address)}" for name in names)

    def _describe(self, name: str, peer_address: Callable[[int], str]) -> str:
        shard = self._shard_by_name[name]
        pending = [target.instance for target in shard.attempts.target_by_token.values()]
        pending += [f"peer {peer_address(number)}" for number in sorted(shard.groups)]
        states = [shard.last_failure] if shard.last_failure else []
        if name in self._retry_at_by_name:
            states.append(f"held back ({shard.cause(True)})")
        if pending:
            states.append(f"waiting for {', '.join(pending)}")
        return ", ".join(states) or NoTargetReason.TRIED.value
