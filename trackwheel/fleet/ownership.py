"""Which box owns which target: rendezvous hashing, the target's own region first."""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import xxhash

from trackwheel.files.models import ServiceSpec
from trackwheel.fleet.const import LEAST_OWNERS, TARGETS_PER_OWNER
from trackwheel.fleet.models import Member, Status


def _score(key: str, member: Member) -> int:
    return int(xxhash.xxh64_intdigest(f"{key}|{member.address}".encode()))


def _ranked(key: str, members: Iterable[Member]) -> list[Member]:
    return sorted(members, key=lambda member: _score(key, member), reverse=True)


def may_own(member: Member) -> bool:
    """Return whether a member takes targets; a suspect one keeps them until it is dead."""
    return member.status in (Status.ALIVE, Status.SUSPECT)


class OwnerGroup(NamedTuple):
    """Hold the few boxes that share a service's targets in one region.

    `lowest_score` is the least of their scores: a newcomer under it changes nothing.
    """

    key: str
    region: str
    members: tuple[Member, ...]
    lowest_score: int


def pick_owner_group(key: str, region: str, targets: int, members: Sequence[Member]) -> OwnerGroup:
    """Return the owners of some targets, from two failure domains if there are any."""
    wanted = max(LEAST_OWNERS, math.ceil(targets / TARGETS_PER_OWNER))
    ranked = _ranked(key, members)
    group, rest = ranked[:wanted], ranked[wanted:]
    if len({member.failure_domain for member in group}) == 1:
        other = next((m for m in rest if m.failure_domain != group[0].failure_domain), None)
        group = group if other is None else [*group[:-1], other]
    lowest = min(_score(key, member) for member in group) if len(ranked) > wanted else 0
    return OwnerGroup(key, region, tuple(group), lowest)


GroupByRegion = dict[str, OwnerGroup]


def groups_of(
    service: ServiceSpec, members: Iterable[Member], known: GroupByRegion | None = None
) -> GroupByRegion:
    """Return the owner group of each region in which a service has targets.

    Groups that are known are taken as they are.
    """
    able = [member for member in members if may_own(member)]
    if not able:
        return {}
    known = known or {}
    count_by_region = Counter(t.region for i in service.targets_by_instance for t in i)
    return {
        region: known.get(region) or _group_for(service.name, region, count, able)
        for region, count in sorted(count_by_region.items())
    }


def owners_in(service: ServiceSpec, group_by_region: GroupByRegion) -> dict[str, Member]:
    """Return the owner of each of a service's targets by the target's address."""
    if not group_by_region:
        return {}
    owner_by_address: dict[str, Member] = {}
    for instance in service.targets_by_instance:
        used: set[str] = set()
        for target in instance:
            ranked = _ranked(target.address, group_by_region[target.region].members)
            fresh = (member for member in ranked if member.failure_domain not in used)
            owner = next(fresh, ranked[0])
            used.add(owner.failure_domain)
            owner_by_address[target.address] = owner
    return owner_by_address


def owners_of(service: ServiceSpec, members: Sequence[Member]) -> dict[str, Member]:
    """Return the owner of each of a service's targets, worked out from nothing."""
    return owners_in(service, groups_of(service, members))


def _group_for(service: str, region: str, targets: int, able: Sequence[Member]) -> OwnerGroup:
    local = [member for member in able if member.region == region]
    return pick_owner_group(f"{service}|{region}", region, targets, local or able)


class _Known(NamedTuple):
    """Hold what is known of a service's owners; groups that a change touched are missing."""

    service: ServiceSpec
    group_by_region: GroupByRegion
    owner_by_address: dict[str, Member] | None


class OwnerMap:
    """Keep the owners of the services that are asked for, and work out only what changed."""

    def __init__(self) -> None:
        self._able_by_address: dict[str, Member] = {}
        self._known_by_service: dict[str, _Known] = {}
        self.computed = 0

    def set_members(self, members: Iterable[Member]) -> None:
        """Take the fleet as it is now; forget only the groups that this touches."""
        able = {member.address: member for member in members if may_own(member)}
        before = self._able_by_address
        gone = {address for address in before if address not in able}
        come = [member for address, member in able.items() if address not in before]
        self._able_by_address = able
        if not gone and not come:
            return
        for name, known in self._known_by_service.items():
            kept = {
                region: group
                for region, group in known.group_by_region.items()
                if not self._touched(group, gone, come)
            }
            if len(kept) < len(known.group_by_region) or not kept:
                self._known_by_service[name] = _Known(known.service, kept, None)

    def owner(self, service: ServiceSpec, target: str) -> Member | None:
        """Return the box that owns a target, None when nobody does."""
        known = self._known_by_service.get(service.name)
        if known is None or known.service is not service or known.owner_by_address is None:
            known = self._work_out(service, known)
        owners = known.owner_by_address or {}
        return owners.get(target)

    def _work_out(self, service: ServiceSpec, known: _Known | None) -> _Known:
        same = known is not None and known.service is service
        kept = known.group_by_region if known is not None and same else {}
        groups = groups_of(service, self._able_by_address.values(), kept)
        self.computed += len(groups) - len(kept)
        known = _Known(service, groups, owners_in(service, groups))
        self._known_by_service[service.name] = known
        return known

    def _touched(self, group: OwnerGroup, gone: set[str], come: Sequence[Member]) -> bool:
        if any(member.address in gone for member in group.members):
            return True
        return any(self._would_enter(group, member) for member in come)

    def _would_enter(self, group: OwnerGroup, member: Member) -> bool:
        remote = any(owner.region != group.region for owner in group.members)
        if remote or len({owner.failure_domain for owner in group.members}) == 1:
            return True
        if member.region != group.region:
            return False
        return _score(group.key, member) > group.lowest_score
