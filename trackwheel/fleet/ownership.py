"""Which box owns which target: rendezvous hashing, the target's own region first."""

import math
from collections import Counter
from collections.abc import Collection, Iterable
from typing import NamedTuple

import xxhash

from trackwheel.files.models import ServiceSpec, TargetSpec
from trackwheel.fleet.const import LEAST_OWNERS, RESERVE_OWNERS, TARGETS_PER_OWNER
from trackwheel.fleet.models import Member, Status


def may_own(member: Member) -> bool:
    """Return whether a member takes targets; a suspect one keeps them until it is dead."""
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
    """Hold a member with its score; the highest score goes first."""

    score: int
    member: Member


def _rank(seed: int, members: Iterable[Member]) -> list[_Ranked]:
    scored = (_Ranked(_score(seed, member), member) for member in members)
    return sorted(scored, key=lambda ranked: ranked.score, reverse=True)


class OwnerGroup(NamedTuple):
    """Hold the few boxes that share a service's targets in one region.

    `ranked` has every able box of the region whose score is at least `floor`: the owners and
    a reserve, so that most changes are settled without a look at the whole region.
    """

    seed: int
    region: str
    wanted: int
    remote: bool
    floor: int
    ranked: tuple[_Ranked, ...]
    members: tuple[Member, ...]

    def touched(self, change: "MembersChange") -> bool:
        """Return whether a change may give the group another owner or another reserve."""
        if self.remote:
            return True
        gone = change.gone_by_region.get(self.region)
        if gone and any(ranked.member in gone for ranked in self.ranked):
            return True
        come = change.come_by_region.get(self.region, ())
        return any(self.admits(member) for member in come)

    def admits(self, member: Member) -> bool:
        """Return whether a newcomer of the region enters the group or its reserve."""
        return _score(self.seed, member) >= self.floor or self.set_apart_by(member)

    def set_apart_by(self, member: Member) -> bool:
        """Return whether a newcomer brings a second failure domain to a group of only one."""
        return all(member.failure_domain != owner.failure_domain for owner in self.members) and (
            len({owner.failure_domain for owner in self.members}) == 1
        )


class MembersChange(NamedTuple):
    """Say which boxes went and came, by region."""

    gone_by_region: dict[str, list[Member]]
    come_by_region: dict[str, list[Member]]


def _pick(ranked: list[_Ranked], wanted: int, complete: bool) -> tuple[Member, ...] | None:
    """Return the owners, from two failure domains if there are any; None if more must be known."""
    group = [one.member for one in ranked[:wanted]]
    if len(group) < wanted and not complete:
        return None
    if len({member.failure_domain for member in group}) > 1:
        return tuple(group)
    rest = (one.member for one in ranked[wanted:])
    other = next((m for m in rest if m.failure_domain != group[0].failure_domain), None)
    if other is not None:
        return (*group[:-1], other)
    return tuple(group) if complete else None


def _new_group(seed: int, wanted: int, region: str, able: Collection[Member]) -> OwnerGroup:
    local = [member for member in able if member.region == region]
    ranked = _rank(seed, local or able)
    members = _pick(ranked, wanted, True)
    assert members is not None, "all able members are known"
    last = next(place for place, one in enumerate(ranked) if one.member is members[-1])
    kept = ranked[: max(wanted, last + 1) + RESERVE_OWNERS]
    floor = kept[-1].score if len(kept) < len(ranked) else 0
    return OwnerGroup(seed, region, wanted, not local, floor, tuple(kept), members)


def _changed_group(group: OwnerGroup, change: MembersChange) -> OwnerGroup | None:
    """Return a group after a change of members; None when the whole region must be looked at."""
    gone = change.gone_by_region.get(group.region, ())
    come = change.come_by_region.get(group.region, ())
    if group.remote or any(group.set_apart_by(member) for member in come):
        return None
    stay = [ranked for ranked in group.ranked if ranked.member not in gone]
    entering = [one for one in _rank(group.seed, come) if one.score >= group.floor]
    ranked = sorted([*stay, *entering], key=lambda one: one.score, reverse=True)
    members = _pick(ranked, group.wanted, group.floor == 0) if ranked else None
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


class _Change(NamedTuple):
    """Say which owners a region's group lost and got since targets were assigned."""

    gone: set[str]
    come: tuple[Member, ...]


class _ServiceOwners:
    """Keep the owners of one service's targets."""

    def __init__(self, service: ServiceSpec, able: Collection[Member]) -> None:
        self.service = service
        count_by_region = Counter(t.region for i in service.targets_by_instance for t in i)
        self.group_by_region = {
            region: _new_group(_seed(f"{service.name}|{region}"), _wanted(count), region, able)
            for region, count in sorted(count_by_region.items())
        }
        self.owner_by_address: dict[str, Member] = {}
        self._assigned_by_region = {r: g.members for r, g in self.group_by_region.items()}
        self._settled = True
        for instance in service.targets_by_instance:
            self._assign(instance)

    def change(self, able: Collection[Member], change: MembersChange) -> int:
        """Take a change of members; return how many regions had to be ranked anew."""
        ranked_anew = 0
        for region, group in self.group_by_region.items():
            if not group.touched(change):
                continue
            changed = _changed_group(group, change)
            if changed is None:
                changed = _new_group(group.seed, group.wanted, region, able)
                ranked_anew += 1
            self.group_by_region[region] = changed
            self._settled = False
        return ranked_anew

    def settle(self) -> None:
        """Move the targets whose owner is another one since groups changed."""
        if self._settled:
            return
        self._settled = True
        change_by_region: dict[str, _Change] = {}
        for region, group in self.group_by_region.items():
            before = self._assigned_by_region[region]
            if before is group.members:
                continue
            self._assigned_by_region[region] = group.members
            gone = {m.address for m in before if m not in group.members}
            come = tuple(m for m in group.members if m not in before)
            if gone or come:
                change_by_region[region] = _Change(gone, come)
        if not change_by_region:
            return
        for instance in self.service.targets_by_instance:
            if self._touched(instance, change_by_region):
                self._assign(instance)

    def _touched(
        self, instance: tuple[TargetSpec, ...], change_by_region: dict[str, _Change]
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
            if owner.address in change.gone or _outranked(target, owner, change.come):
                return True
        # Replicas that share a failure domain may be set apart by a newcomer of low score.
        return changed and len(domains) < len(instance)

    def _assign(self, instance: tuple[TargetSpec, ...]) -> None:
        owners = _assign(instance, self.group_by_region)
        for target, owner in zip(instance, owners, strict=True):
            self.owner_by_address[target.address] = owner


def _outranked(target: TargetSpec, owner: Member, come: tuple[Member, ...]) -> bool:
    if not come:
        return False
    seed = _seed(target.address)
    own = _score(seed, owner)
    return any(_score(seed, member) > own for member in come)


def _wanted(targets: int) -> int:
    return max(LEAST_OWNERS, math.ceil(targets / TARGETS_PER_OWNER))


def owners_of(service: ServiceSpec, members: Iterable[Member]) -> dict[str, Member]:
    """Return the owner of each of a service's targets, worked out from nothing."""
    able = [member for member in members if may_own(member)]
    return _ServiceOwners(service, able).owner_by_address if able else {}


def _same_place(one: Member, other: Member) -> bool:
    return one.region == other.region and one.failure_domain == other.failure_domain


class OwnerMap:
    """Keep the owners of the services that are asked for, and work out only what changed."""

    def __init__(self) -> None:
        self._member_by_address: dict[str, Member] = {}
        self._able_by_address: dict[str, Member] = {}
        self._owners_by_service: dict[str, _ServiceOwners] = {}
        self.ranked_anew = 0

    def set_members(self, members: Collection[Member]) -> None:
        """Take the fleet as it is now; a box that starts anew at its place changes nothing."""
        before = self._member_by_address
        changed = [member for member in members if before.get(member.address) is not member]
        if not changed and len(members) == len(before):
            return
        self._member_by_address = {member.address: member for member in members}
        removed = [m for a, m in before.items() if a not in self._member_by_address]
        change = self._take(changed, removed)
        if not change.gone_by_region and not change.come_by_region:
            return
        able = self._able_by_address.values()
        if not able:
            self._owners_by_service.clear()
        for owners in self._owners_by_service.values():
            self.ranked_anew += owners.change(able, change)

    def _take(self, changed: list[Member], removed: list[Member]) -> MembersChange:
        """Keep who may own and return what of it is new."""
        able = self._able_by_address
        change = MembersChange({}, {})
        for member in (*removed, *changed):
            known = able.get(member.address)
            stays = may_own(member) and member.address in self._member_by_address
            if known is not None and stays and _same_place(known, member):
                continue
            if known is not None:
                change.gone_by_region.setdefault(known.region, []).append(known)
                del able[member.address]
            if stays:
                change.come_by_region.setdefault(member.region, []).append(member)
                able[member.address] = member
        return change

    def owner(self, service: ServiceSpec, target: str) -> Member | None:
        """Return the box that owns a target, None when nobody does."""
        if not self._able_by_address:
            return None
        owners = self._owners_by_service.get(service.name)
        if owners is None or owners.service is not service:
            owners = _ServiceOwners(service, self._able_by_address.values())
            self.ranked_anew += len(owners.group_by_region)
            self._owners_by_service[service.name] = owners
        owners.settle()
        return owners.owner_by_address.get(target)
