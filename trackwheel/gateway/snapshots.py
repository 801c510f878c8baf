"""Which snapshot a query answers from: answers are kept by snapshot and never mixed."""

from collections.abc import Iterable

import msgspec

from trackwheel.gateway.models import Answer, Lack, Snapshot

Items = dict[int, list[msgspec.Raw]]


class Collected:
    """Keep what has been answered at each snapshot, one answer for each shard."""

    def __init__(self) -> None:
        self._items_by_snapshot: dict[Snapshot, Items] = {}
        self._instances_by_version: dict[int, set[int]] = {}

    def add(self, instance: int, snapshot: Snapshot, items_by_shard: Items) -> None:
        """Keep an instance's shards at a snapshot; a shard already answered stays as it is."""
        items = self._items_by_snapshot.setdefault(snapshot, {})
        for shard, found in items_by_shard.items():
            if 0 <= shard < snapshot.map_size:
                items.setdefault(shard, found)
        self._instances_by_version.setdefault(snapshot.version, set()).add(instance)

    def versions(self) -> Iterable[int]:
        """Return the versions at which anything has been answered."""
        return self._instances_by_version

    def answered(self, version: int | None) -> set[int]:
        """Return the instances that have answered at a version."""
        if version is None:
            return set()
        return self._instances_by_version.get(version, set())

    def repartitioned(self, instances: int) -> bool:
        """Return whether any snapshot has another number of shards than there are instances."""
        return any(snapshot.map_size != instances for snapshot in self._items_by_snapshot)

    def whole(self) -> Snapshot | None:
        """Return a snapshot of which every shard has been answered."""
        for snapshot, items in self._items_by_snapshot.items():
            if len(items) == snapshot.map_size:
                return snapshot
        return None

    def best(self) -> Snapshot | None:
        """Return the snapshot that covers the largest part of its shards, the newest of equals."""
        return max(
            self._items_by_snapshot,
            key=lambda snapshot: (
                len(self._items_by_snapshot[snapshot]) / snapshot.map_size,
                snapshot.version,
            ),
            default=None,
        )

    def answer(self, snapshot: Snapshot | None, reasons: dict[int, str], instances: int) -> Answer:
        """Return the answer at one snapshot with all that it lacks."""
        items = self._items_by_snapshot.get(snapshot, {}) if snapshot else {}
        total = snapshot.map_size if snapshot else instances
        missing = (shard for shard in range(total) if shard not in items)
        lacking = tuple(Lack(shard, reasons.get(shard, "not_answered")) for shard in missing)
        return Answer(snapshot, items, lacking)


class VersionChoice:
    """Choose the version to ask for: the one that most instances can answer at."""

    def __init__(self, instances: int, hint: int | None) -> None:
        self._instances = instances
        self._held_by_target: dict[str, frozenset[int]] = {}
        self._instance_by_target: dict[str, int] = {}
        self.version = hint

    def learn(self, instance: int, target: str, held: Iterable[int], exact: bool) -> None:
        """Take which versions a target holds; when exact, it holds no others now."""
        self._instance_by_target[target] = instance
        known = frozenset(held)
        if not exact:
            known |= self._held_by_target.get(target, frozenset())
        self._held_by_target[target] = known

    def holds(self, target: str, version: int | None) -> bool | None:
        """Return whether a target holds a version, None when that is not known."""
        held = self._held_by_target.get(target)
        if held is None or version is None:
            return None
        return version in held

    def reconsider(self, collected: Collected) -> bool:
        """Choose anew; return whether another version was chosen.

        A version that some instance has left behind can never be whole again; one that is
        newer than what an instance holds may still come to it.
        """
        candidates = {version for held in self._held_by_target.values() for version in held}
        candidates.update(collected.versions())
        if self.version is not None:
            candidates.add(self.version)
        if not candidates:
            return False
        best = max(
            candidates,
            key=lambda version: (
                self._reach(version, collected),
                version == self.version,
                len(collected.answered(version)),
                version,
            ),
        )
        if best == self.version:
            return False
        self.version = best
        return True

    def _reach(self, version: int, collected: Collected) -> int:
        """Return how many instances have answered at a version or may still do so."""
        held_by_instance: dict[int, list[frozenset[int]]] = {}
        for target, held in self._held_by_target.items():
            held_by_instance.setdefault(self._instance_by_target[target], []).append(held)
        answered = collected.answered(version)
        lost = 0
        for instance, held_sets in held_by_instance.items():
            gone = all(held and version < min(held) for held in held_sets)
            if gone and instance not in answered:
                lost += 1
        return self._instances - lost
