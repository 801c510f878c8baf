"""Ownership of targets: rendezvous hashing, first among the boxes of the target's own region."""

import math
from collections import Counter
from collections.abc import Collection, Iterable
from typing import NamedTuple

import xxhash

from trackwheel.files.models import ServiceSpec, TargetSpec
from trackwheel.fleet.const import MIN_OWNERS, RESERVE_OWNERS, TARGETS_PER_OWNER
from trackwheel.fleet.models import Member, Status


def may_own(member: Member) -> bool:
    """Return whether a member owns targets; a suspect one keeps them until it is dead."""
    return member.status in (Status.ALIVE, Status.SUSPECT)


def reachable_members(
    members: tuple[Member, ...], unreachable: Collection[str]
) -> tuple[Member, ...]:
    """Return the members that are not unreachable, or all when no owner would be left.

    Owners that paused together answer again soon; without an owner nothing can be served.
    """
    reachable = tuple(member for member in members if member.address not in unreachable)
    return reachable if any(may_own(member) for member in reachable) else members


def _seed(key: str) -> int:
    return int(xxhash.xxh64_intdigest(key.encode()))


def _score(seed: int, member: Member) -> int:
    return int(xxhash.xxh64_intdigest(member.address.encode(), seed=seed))


class _Ranked(NamedTuple):
    """A member with its score; the highest score ranks first."""

    score: int
    member: Member


def _rank(seed: int, members: Iterable[Member]) -> list[_Ranked]:
    scored = (_Ranked(_score(seed, member), member) for member in members)
    return sorted(scored, key=lambda ranked: ranked.score, reverse=True)


class OwnerGroup(NamedTuple):
    """The few boxes that share the targets of a service in one region.

    `ranked` holds every eligible box of the region whose score is at least `min_score`: the owners
    and a reserve, so that most changes need no ranking of the whole region.
    """

    seed: int
    region: str
    owner_count: int
    remote: bool
    min_score: int
    ranked: tuple[_Ranked, ...]
    members: tuple[Member, ...]

    def affected_by(self, change: "MembersChange") -> bool:
        """Return whether a change may alter the owners or the reserve of the group."""
        if self.remote:
            return True
        removed = change.removed_by_region.get(self.region)
        if removed and any(ranked.member in removed for ranked in self.ranked):
            return True
        added = change.added_by_region.get(self.region, ())
        return any(self.admits(member) for member in added)

    def admits(self, member: Member) -> bool:
        """Return whether a new box of the region enters the group or its reserve."""
        return _score(self.seed, member) >= self.min_score or self.diversified_by(member)

    def diversified_by(self, member: Member) -> bool:
        """Return whether a new box adds a second failure domain to a group that has only one."""
        return all(member.failure_domain != owner.failure_domain for owner in self.members) and (
            len({owner.failure_domain for owner in self.members}) == 1
        )


class MembersChange(NamedTuple):
    """The boxes that were removed and added, by region."""

    removed_by_region: dict[str, list[Member]]
    added_by_region: dict[str, list[Member]]


def _pick_owners(
    ranked: list[_Ranked], owner_count: int, complete: bool
) -> tuple[Member, ...] | None:
    """Return the owners, from two failure domains if possible; None if `ranked` is too short."""
    group = [one.member for one in ranked[:owner_count]]
    if len(group) < owner_count and not complete:
        return None
    if len({member.failure_domain for member in group}) > 1:
        return tuple(group)
    rest = (one.member for one in ranked[owner_count:])
    other = next((m for m in rest if m.failure_domain != group[0].failure_domain), None)
    if other is not None:
        return (*group[:-1], other)
    return tuple(group) if complete else None


def _new_group(
    seed: int, owner_count: int, region: str, eligible: Collection[Member]
) -> OwnerGroup:
    local = [member for member in eligible if member.region == region]
    ranked = _rank(seed, local or eligible)
    members = _pick_owners(ranked, owner_count, True)
    assert members is not None, "all eligible members are known"
    last = next(place for place, one in enumerate(ranked) if one.member is members[-1])
    kept = ranked[: max(owner_count, last + 1) + RESERVE_OWNERS]
    min_score = kept[-1].score if len(kept) < len(ranked) else 0
    return OwnerGroup(seed, region, owner_count, not local, min_score, tuple(kept), members)


def _update_group(group: OwnerGroup, change: MembersChange) -> OwnerGroup | None:
    """Return a group after a change of members; None if the whole region must be ranked."""
    removed = change.removed_by_region.get(group.region, ())
    added = change.added_by_region.get(group.region, ())
    if group.remote or any(group.diversified_by(member) for member in added):
        return None
    remaining = [ranked for ranked in group.ranked if ranked.member not in removed]
    entering = [one for one in _rank(group.seed, added) if one.score >= group.min_score]
    ranked = sorted([*remaining, *entering], key=lambda one: one.score, reverse=True)
    members = _pick_owners(ranked, group.owner_count, group.min_score == 0) if ranked else None
    if members is None:
        return None
    return group._replace(ranked=tuple(ranked), members=members)


def _assign(instance: Iterable[TargetSpec], group_by_region: dict[str, OwnerGroup]) -> list[Member]:
    """Return the owners of an instance's targets, in different failure domains if possible."""
    owners: list[Member] = []
    used: set[str] = set()
    for target in instance:
        ranked = _rank(_seed(target.address), group_by_region[target.region].members)
        fresh = (one.member for one in ranked if one.member.failure_domain not in used)
        owner = next(fresh, ranked[0].member)
        used.add(owner.failure_domain)
        owners.append(owner)
    return owners


class _OwnersChange(NamedTuple):
    """The owners that a region's group lost and gained since targets were assigned."""

    removed: set[str]
    added: tuple[Member, ...]


class _ServiceOwners:
    """Keep the owners of the targets of one service."""

    def __init__(self, service: ServiceSpec, eligible: Collection[Member]) -> None:
        self.service = service
        count_by_region = Counter(t.region for i in service.targets_by_instance for t in i)
        self.group_by_region = {
            region: _new_group(
                _seed(f"{service.name}|{region}"), _owner_count(count), region, eligible
            )
            for region, count in sorted(count_by_region.items())
        }
        self.owner_by_address: dict[str, Member] = {}
        self._assigned_by_region = {r: g.members for r, g in self.group_by_region.items()}
        self._up_to_date = True
        for instance in service.targets_by_instance:
            self._assign(instance)

    def change(self, eligible: Collection[Member], change: MembersChange) -> int:
        """Apply a change of members; return how many regions were ranked anew."""
        reranked = 0
        for region, group in self.group_by_region.items():
            if not group.affected_by(change):
                continue
            changed = _update_group(group, change)
            if changed is None:
                changed = _new_group(group.seed, group.owner_count, region, eligible)
                reranked += 1
            self.group_by_region[region] = changed
            self._up_to_date = False
        return reranked

    def reassign(self) -> None:
        """Reassign the targets whose owner differs since groups changed."""
        if self._up_to_date:
            return
        self._up_to_date = True
        change_by_region: dict[str, _OwnersChange] = {}
        for region, group in self.group_by_region.items():
            before = self._assigned_by_region[region]
            if before is group.members:
                continue
            self._assigned_by_region[region] = group.members
            removed = {m.address for m in before if m not in group.members}
            added = tuple(m for m in group.members if m not in before)
            if removed or added:
                change_by_region[region] = _OwnersChange(removed, added)
        if not change_by_region:
            return
        for instance in self.service.targets_by_instance:
            if self._affected(instance, change_by_region):
                self._assign(instance)

    def _affected(
        self, instance: tuple[TargetSpec, ...], change_by_region: dict[str, _OwnersChange]
    ) -> bool:
        """Return whether a change may give one of an instance's targets another owner."""
        domains: set[str] = set()
        changed = False
        for target in instance:
            owner = self.owner_by_address[target.address]
            domains.add(owner.failure_domain)
            change = change_by_region.get(target.region)
            if change is None:
                continue
            changed = True
            if owner.address in change.removed or _outranked(target, owner, change.added):
                return True
        # A new box of low score may separate replicas that share a failure domain.
        return changed and len(domains) < len(instance)

    def _assign(self, instance: tuple[TargetSpec, ...]) -> None:
        owners = _assign(instance, self.group_by_region)
        for target, owner in zip(instance, owners, strict=True):
            self.owner_by_address[target.address] = owner


def _outranked(target: TargetSpec, owner: Member, added: tuple[Member, ...]) -> bool:
    if not added:
        return False
    seed = _seed(target.address)
    own = _score(seed, owner)
    return any(_score(seed, member) > own for member in added)


def _owner_count(targets: int) -> int:
    return max(MIN_OWNERS, math.ceil(targets / TARGETS_PER_OWNER))


def owners_of(service: ServiceSpec, members: Iterable[Member]) -> dict[str, Member]:
    """Return the owner of each target of a service, computed from scratch."""
    eligible = [member for member in members if may_own(member)]
    return _ServiceOwners(service, eligible).owner_by_address if eligible else {}


def _same_location(one: Member, other: Member) -> bool:
    return one.region == other.region and one.failure_domain == other.failure_domain


class OwnerMap:
    """Keep the owners of the requested services and update only what a change affects."""

    def __init__(self) -> None:
        self._member_by_address: dict[str, Member] = {}
        self._eligible_by_address: dict[str, Member] = {}
        self._owners_by_service: dict[str, _ServiceOwners] = {}
        self.reranked = 0

    def set_members(self, members: Collection[Member]) -> None:
        """Set the members of the fleet; a box that restarts in the same place changes nothing."""
        before = self._member_by_address
        changed = [member for member in members if before.get(member.address) is not member]
        if not changed and len(members) == len(before):
            return
        self._member_by_address = {member.address: member for member in members}
        removed = [m for a, m in before.items() if a not in self._member_by_address]
        change = self._update_eligible(changed, removed)
        if not change.removed_by_region and not change.added_by_region:
            return
        eligible = self._eligible_by_address.values()
        if not eligible:
            self._owners_by_service.clear()
        for owners in self._owners_by_service.values():
            self.reranked += owners.change(eligible, change)

    def _update_eligible(self, changed: list[Member], removed: list[Member]) -> MembersChange:
        """Update the eligible members and return the difference."""
        eligible = self._eligible_by_address
        change = MembersChange({}, {})
        for member in (*removed, *changed):
            known = eligible.get(member.address)
            remains = may_own(member) and member.address in self._member_by_address
            if known is not None and remains and _same_location(known, member):
                continue
            if known is not None:
                change.removed_by_region.setdefault(known.region, []).append(known)
                del eligible[member.address]
            if remains:
                change.added_by_region.setdefault(member.region, []).append(member)
                eligible[member.address] = member
        return change

    def owner(self, service: ServiceSpec, target: str) -> Member | None:
        """Return the box that owns a target, None if there is none."""
        if not self._eligible_by_address:
            return None
        owners = self._owners_by_service.get(service.name)
        if owners is None or owners.service is not service:
            owners = _ServiceOwners(service, self._eligible_by_address.values())
            self.reranked += len(owners.group_by_region)
            self._owners_by_service[service.name] = owners
        owners.reassign()
        return owners.owner_by_address.get(target)
