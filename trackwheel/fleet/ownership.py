"""Which box owns which target: rendezvous hashing, the target's own region first."""

import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import xxhash

from trackwheel.files.models import ServiceSpec, TargetSpec
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


class Owners(NamedTuple):
    """Hold the owner of each target of a service, and the groups from which they come."""

    owner_by_address: dict[str, Member]
    groups: tuple[OwnerGroup, ...]


NO_OWNERS = Owners({}, ())


def owners_of(service: ServiceSpec, members: Sequence[Member]) -> Owners:
    """Return the owner of each of a service's targets by the target's address."""
    able = [member for member in members if may_own(member)]
    if not able:
        return NO_OWNERS
    targets = [target for instance in service.targets_by_instance for target in instance]
    group_by_region = {
        region: _group_for(service.name, region, targets, able)
        for region in sorted({target.region for target in targets})
    }
    owner_by_address: dict[str, Member] = {}
    for instance in service.targets_by_instance:
        used: set[str] = set()
        for target in instance:
            ranked = _ranked(target.address, group_by_region[target.region].members)
            fresh = (member for member in ranked if member.failure_domain not in used)
            owner = next(fresh, ranked[0])
            used.add(owner.failure_domain)
            owner_by_address[target.address] = owner
    return Owners(owner_by_address, tuple(group_by_region.values()))


def _group_for(
    service: str, region: str, targets: Sequence[TargetSpec], able: Sequence[Member]
) -> OwnerGroup:
    local = [member for member in able if member.region == region]
    count = sum(target.region == region for target in targets)
    return pick_owner_group(f"{service}|{region}", region, count, local or able)


class OwnerMap:
    """Keep the owners of the services that are asked for, and work out only what changed."""

    def __init__(self) -> None:
        self._able_by_address: dict[str, Member] = {}
        self._spec_and_owners_by_service: dict[str, tuple[ServiceSpec, Owners]] = {}
        self.computed = 0

    def set_members(self, members: Iterable[Member]) -> None:
        """Take the fleet as it is now; forget only the owners that this touches."""
        able = {member.address: member for member in members if may_own(member)}
        before = self._able_by_address
        gone = [member for address, member in before.items() if address not in able]
        come = [member for address, member in able.items() if address not in before]
        self._able_by_address = able
        if not gone and not come:
            return
        for name, (_, owners) in list(self._spec_and_owners_by_service.items()):
            if self._touched(owners, gone, come):
                del self._spec_and_owners_by_service[name]

    def owner(self, service: ServiceSpec, target: str) -> Member | None:
        """Return the box that owns a target, None when nobody does."""
        held = self._spec_and_owners_by_service.get(service.name)
        if held is None or held[0] is not service:
            self.computed += 1
            held = (service, owners_of(service, tuple(self._able_by_address.values())))
            self._spec_and_owners_by_service[service.name] = held
        return held[1].owner_by_address.get(target)

    def _touched(self, owners: Owners, gone: Sequence[Member], come: Sequence[Member]) -> bool:
        if owners is NO_OWNERS:
            return True
        for group in owners.groups:
            addresses = {member.address for member in group.members}
            if any(member.address in addresses for member in gone):
                return True
            if any(self._would_enter(group, member) for member in come):
                return True
        return False

    def _would_enter(self, group: OwnerGroup, member: Member) -> bool:
        remote = any(owner.region != group.region for owner in group.members)
        if remote or len({owner.failure_domain for owner in group.members}) == 1:
            return True
        if member.region != group.region:
            return False
        return _score(group.key, member) > group.lowest_score
