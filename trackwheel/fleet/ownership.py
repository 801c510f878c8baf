"""Which box owns which target: rendezvous hashing, the target's own region first."""

import math
from collections.abc import Iterable, Sequence

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


def pick_owner_group(service: str, targets: int, members: Sequence[Member]) -> list[Member]:
    """Return the few boxes that share a service's targets, from two failure domains if any."""
    wanted = max(LEAST_OWNERS, math.ceil(targets / TARGETS_PER_OWNER))
    ranked = _ranked(service, members)
    group, rest = ranked[:wanted], ranked[wanted:]
    if len({member.failure_domain for member in group}) > 1:
        return group
    other = next((m for m in rest if m.failure_domain != group[0].failure_domain), None)
    return group if other is None else [*group[:-1], other]


def owners_of(service: ServiceSpec, members: Sequence[Member]) -> dict[str, Member]:
    """Return the owner of each of a service's targets by the target's address."""
    able = [member for member in members if may_own(member)]
    if not able:
        return {}
    targets = [target for instance in service.targets_by_instance for target in instance]
    group_by_region = {
        region: _group_for(service.name, region, targets, able)
        for region in sorted({target.region for target in targets})
    }
    owner_by_address: dict[str, Member] = {}
    for instance in service.targets_by_instance:
        used: set[str] = set()
        for target in instance:
            ranked = _ranked(target.address, group_by_region[target.region])
            fresh = (member for member in ranked if member.failure_domain not in used)
            owner = next(fresh, ranked[0])
            used.add(owner.failure_domain)
            owner_by_address[target.address] = owner
    return owner_by_address


def _group_for(
    service: str, region: str, targets: Sequence[TargetSpec], able: Sequence[Member]
) -> list[Member]:
    local = [member for member in able if member.region == region]
    count = sum(target.region == region for target in targets)
    return pick_owner_group(f"{service}|{region}", count, local or able)
