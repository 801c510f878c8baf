"""The shards of one query: who may still answer, which are lost, which are late."""

from collections.abc import Callable, Iterable
from heapq import heappop, heappush

from trackwheel.relay.attempts import NEVER, Attempts
from trackwheel.relay.gather_models import GatherPlan
from trackwheel.relay.target_selector import NoTargetReason


class Shard:
    """Follow one shard: its attempts at targets and the groups of peers that have it."""

    def __init__(self, name: str, plan: GatherPlan) -> None:
        self.attempts = Attempts(name, plan.max_attempts, plan.repeat, plan.gate)
        self.groups: set[int] = set()
        self.last_failure = ""

    @property
    def waits(self) -> bool:
        """Return whether an answer may still come."""
        return bool(self.attempts.target_by_token or self.groups)


def spare_shards(total: int, least_coverage: float) -> int:
    """Return how many shards an answer may lack."""
    return max(lack for lack in range(total + 1) if (total - lack) / total >= least_coverage)


class ShardBook:
    """Keep all shards of a query so that no event costs a look at each of them."""

    def __init__(self, plan: GatherPlan) -> None:
        self._shard_by_name = {name: Shard(name, plan) for name in plan.shards}
        self.spare = spare_shards(len(plan.shards), plan.least_coverage)
        """How many shards the answer may lack."""
        self._lacking_by_name = dict(self._shard_by_name)
        self._lost: set[str] = set()
        self._hedges: list[tuple[float, str]] = []
        """A heap of times and shards; those that are in by then are passed over."""
        self._retry_at_by_name: dict[str, float] = {}

    def __getitem__(self, name: str) -> Shard:
        return self._shard_by_name[name]

    @property
    def all(self) -> Iterable[Shard]:
        """Return every shard."""
        return self._shard_by_name.values()

    @property
    def lost(self) -> int:
        """Return how many shards can no longer come."""
        return len(self._lost)

    @property
    def waits(self) -> bool:
        """Return whether any shard that is not in may still come."""
        return bool(self._retry_at_by_name) or self.awaits_answers

    @property
    def awaits_answers(self) -> bool:
        """Return whether a target or a peer is asked for a shard that is not in."""
        return any(shard.waits for shard in self._lacking_by_name.values())

    def without_group(self) -> list[str]:
        """Return the shards that no peer has."""
        return [name for name, shard in self._shard_by_name.items() if not shard.groups]

    def in_group(self, names: Iterable[str], number: int) -> list[str]:
        """Return which of some shards are left to a peer."""
        return [name for name in names if number in self._shard_by_name[name].groups]

    def came_in(self, name: str) -> None:
        """Take that a shard is in."""
        self._lacking_by_name.pop(name, None)
        self._lost.discard(name)
        self._retry_at_by_name.pop(name, None)

    def lose(self, names: Iterable[str]) -> None:
        """Take that nobody is left to ask for some shards."""
        for name in names:
            self._lost.add(name)
            self._retry_at_by_name.pop(name, None)

    def hold_back(self, name: str, until: float) -> None:
        """Take that a shard may not be asked for before a time (monotonic seconds)."""
        self._retry_at_by_name[name] = until

    def asked(self, name: str) -> None:
        """Take that somebody is asked for a shard, which may have been held back before."""
        self._retry_at_by_name.pop(name, None)

    def left_out_besides(self, name: str) -> int:
        """Return how many other shards are lost or held back."""
        return len((self._lost | self._retry_at_by_name.keys()) - {name})

    def next_retry(self) -> float:
        """Return when the next shard that is held back may be asked for."""
        return min(self._retry_at_by_name.values(), default=NEVER)

    def due_retries(self, now: float) -> list[str]:
        """Return the shards that may be asked for by now."""
        return [name for name, at in self._retry_at_by_name.items() if at <= now]

    def hedge(self, name: str, at: float) -> None:
        """Take when a shard is late (monotonic seconds)."""
        if at < NEVER:
            heappush(self._hedges, (at, name))

    def next_hedge(self) -> float:
        """Return when the next shard is late that is not in."""
        while self._hedges and self._hedges[0][1] not in self._lacking_by_name:
            heappop(self._hedges)
        return self._hedges[0][0] if self._hedges else NEVER

    def take_late(self, now: float) -> list[str]:
        """Return the shards that are late by now, each once."""
        late: list[str] = []
        while self.next_hedge() <= now:
            late.append(heappop(self._hedges)[1])
        return late

    def lacking(self, limit: int, peer_address: Callable[[int], str]) -> str:
        """Return which shards are not in and why, for the log; no more than a number of them."""
        names = list(self._lacking_by_name)[:limit]
        return "; ".join(f"{name}: {self._state(name, peer_address)}" for name in names)

    def _state(self, name: str, peer_address: Callable[[int], str]) -> str:
        shard = self._shard_by_name[name]
        waited = [target.instance for target in shard.attempts.target_by_token.values()]
        waited += [f"peer {peer_address(number)}" for number in sorted(shard.groups)]
        states = [shard.last_failure] if shard.last_failure else []
        if name in self._retry_at_by_name:
            states.append("held back")
        if waited:
            states.append(f"awaited of {', '.join(waited)}")
        return ", ".join(states) or NoTargetReason.TRIED.value
