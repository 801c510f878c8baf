"""Snapshot consistency: answers are grouped by snapshot and never mixed."""

from collections.abc import Iterable
from typing import Final, NamedTuple

import msgspec

from trackwheel.gateway.models import Answer, MissingShard, Snapshot

MIN_CONFIRMED_LEAD: Final = 2
"""Instances by which a version must lead to be switched to.

A lead of one may be a single lagging target; with two, the other instances hold it as well."""

Items = dict[int, list[msgspec.Raw]]


class CollectedAnswers:
    """Answers received so far by snapshot, one for each shard."""

    def __init__(self) -> None:
        self._items_by_snapshot: dict[Snapshot, Items] = {}
        self._instances_by_version: dict[int, set[int]] = {}

    def add(self, instance: int, snapshot: Snapshot, items_by_shard: Items) -> None:
        """Add the shards of an instance at a snapshot; the first answer of a shard is kept."""
        items = self._items_by_snapshot.setdefault(snapshot, {})
        for shard, found in items_by_shard.items():
            if 0 <= shard < snapshot.map_size:
                items.setdefault(shard, found)
        self._instances_by_version.setdefault(snapshot.version, set()).add(instance)

    def versions(self) -> Iterable[int]:
        """Return the versions with at least one answer."""
        return self._instances_by_version

    def instances_at(self, version: int | None) -> set[int]:
        """Return the instances that have answered at a version."""
        if version is None:
            return set()
        return self._instances_by_version.get(version, set())

    def repartitioned(self, instances: int) -> bool:
        """Return whether the shard count of any snapshot differs from the instance count."""
        return any(snapshot.map_size != instances for snapshot in self._items_by_snapshot)

    def complete_snapshot(self) -> Snapshot | None:
        """Return a snapshot with answers for all shards, None if there is none."""
        for snapshot, items in self._items_by_snapshot.items():
            if len(items) == snapshot.map_size:
                return snapshot
        return None

    def best_snapshot(self) -> Snapshot | None:
        """Return the snapshot with the highest coverage, the newest of equals."""
        return max(
            self._items_by_snapshot,
            key=lambda snapshot: (
                len(self._items_by_snapshot[snapshot]) / snapshot.map_size,
                snapshot.version,
            ),
            default=None,
        )

    def build_answer(
        self, snapshot: Snapshot | None, reasons: dict[int, str], instances: int
    ) -> Answer:
        """Return the answer at one snapshot with its missing shards."""
        items = self._items_by_snapshot.get(snapshot, {}) if snapshot else {}
        total = snapshot.map_size if snapshot else instances
        missing = (shard for shard in range(total) if shard not in items)
        missing_shards = tuple(
            MissingShard(shard, reasons.get(shard, "not_answered")) for shard in missing
        )
        return Answer(snapshot, items, missing_shards)


class _Support(NamedTuple):
    """Instances that may answer at a version, and those known to hold it; compared in order."""

    reachable: int
    confirmed: int


class VersionSelector:
    """Select the version to request: the one that most instances can answer at.

    An instance whose targets all hold only newer versions can no longer answer at a version. One
    that holds only older versions may still receive it, provided that some target is known to
    hold it: a remembered version may have been rolled back.
    """

    def __init__(self, targets_by_instance: tuple[tuple[str, ...], ...], hint: int | None) -> None:
        self._targets_by_instance = targets_by_instance
        self._versions_by_target: dict[str, frozenset[int]] = {}
        self.version = hint

    def update(self, target: str, held: Iterable[int], exact: bool) -> None:
        """Record versions that a target holds; if exact, it holds no others."""
        known = frozenset(held)
        if not exact:
            known |= self._versions_by_target.get(target, frozenset())
        self._versions_by_target[target] = known

    def holds(self, target: str, version: int | None) -> bool | None:
        """Return whether a target holds a version, None if unknown."""
        held = self._versions_by_target.get(target)
        if held is None or version is None:
            return None
        return version in held

    def reselect(self, collected: CollectedAnswers) -> bool:
        """Select again; return whether the version changed."""
        candidates = {version for held in self._versions_by_target.values() for version in held}
        candidates.update(collected.versions())
        known = frozenset(candidates)
        if self.version is not None:
            candidates.add(self.version)
        if not candidates:
            return False
        support_by_version = {
            version: _Support(
                self._count_reachable(version, collected, version in known),
                self._count_confirmed(version, collected),
            )
            for version in candidates
        }
        best_version = max(candidates, key=lambda version: (*support_by_version[version], version))
        if best_version == self.version or not self._worth_switching(
            support_by_version, best_version
        ):
            return False
        self.version = best_version
        return True

    def _worth_switching(self, support_by_version: dict[int, _Support], best_version: int) -> bool:
        """Return whether a version is better by enough to justify the load of resending."""
        if self.version is None:
            return True
        current, other = support_by_version[self.version], support_by_version[best_version]
        if other.reachable != current.reachable:
            return True
        return other.confirmed >= current.confirmed + MIN_CONFIRMED_LEAD

    def _count_confirmed(self, version: int, collected: CollectedAnswers) -> int:
        """Return how many instances have answered at a version or reported that they hold it."""
        answered = collected.instances_at(version)
        return sum(
            number in answered
            or any(version in self._versions_by_target.get(target, ()) for target in targets)
            for number, targets in enumerate(self._targets_by_instance)
        )

    def _count_reachable(self, version: int, collected: CollectedAnswers, known: bool) -> int:
        """Return how many instances have answered at a version or may still do so."""
        answered = collected.instances_at(version)
        return sum(
            number in answered or self._can_answer(targets, version, known)
            for number, targets in enumerate(self._targets_by_instance)
        )

    def _can_answer(self, targets: tuple[str, ...], version: int, known: bool) -> bool:
        for target in targets:
            held = self._versions_by_target.get(target)
            if not held or version in held:
                return True
            if known and version > max(held):
                return True
        return False
