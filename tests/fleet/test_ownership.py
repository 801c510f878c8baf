"""Ownership: the target's region first, replicas in different domains, few owners, few moves."""

import random

import pytest

from trackwheel.files.models import Policy, ServiceSpec, TargetSpec
from trackwheel.fleet.models import Member, Status
from trackwheel.fleet.ownership import OwnerMap, owners_of, reachable_members

REGIONS = ("muc", "nue", "aug")


def box(number: int, regions: tuple[str, ...] = REGIONS) -> Member:
    region = regions[number % len(regions)]
    domain = f"{region}-{'ab'[number // len(regions) % 2]}"
    return Member(f"10.0.0.{number}:82", f"b{number}", "x", region, domain, 1, Status.ALIVE)


def service(instances: int = 20, name: str = "s") -> ServiceSpec:
    targets = tuple(
        tuple(
            TargetSpec(f"10.9.{n}.{r}:90", REGIONS[n % 3], f"{REGIONS[n % 3]}-{'ab'[r]}")
            for r in range(2)
        )
        for n in range(instances)
    )
    return ServiceSpec(name, 2, 25, 0.006, 0.05, 0.99, Policy(1, 1, 1), targets)


def test_owners_stand_beside_their_targets_and_replicas_apart() -> None:
    spec = service()
    owners = owners_of(spec, [box(number) for number in range(12)])
    for instance in spec.targets_by_instance:
        chosen = [owners[target.address] for target in instance]
        assert {owner.region for owner in chosen} == {instance[0].region}
        assert len({owner.failure_domain for owner in chosen}) == 2


def test_region_without_boxes_is_owned_from_elsewhere() -> None:
    spec = service()
    owners = owners_of(spec, [box(number, ("muc",)) for number in range(4)])
    assert len(owners) == 40


def test_one_box_owns_all_and_no_box_nothing() -> None:
    assert len(owners_of(service(), [box(0)])) == 40
    assert owners_of(service(), []) == {}


@pytest.mark.parametrize("status", [Status.LEAVING, Status.DEAD], ids=lambda s: s.name)
def test_leaving_box_owns_nothing(status: Status) -> None:
    members = [box(0)._replace(status=status), *(box(number) for number in range(1, 9))]
    owners = owners_of(service(), members)
    assert box(0).address not in {owner.address for owner in owners.values()}


def test_lost_box_moves_only_its_own_and_few_other_targets() -> None:
    members = [box(number) for number in range(30)]
    before = owners_of(service(60), members)
    lost = before["10.9.0.0:90"]
    rest = [member for member in members if member.address != lost.address]
    after = owners_of(service(60), rest)
    owned = sum(owner.address == lost.address for owner in before.values())
    moved = sum(before[address].address != after[address].address for address in before)
    assert moved <= 4 * owned + 4


def test_owner_map_updates_only_what_changed_and_matches_a_full_computation() -> None:
    pick = random.Random(5)
    fleet = {number: box(number) for number in range(60)}
    specs = [service(20, f"s{number}") for number in range(30)]
    owner_map = OwnerMap()
    steps = 40
    for _ in range(steps):
        number = pick.randrange(90)
        if number in fleet:
            del fleet[number]
        else:
            fleet[number] = box(number)
        owner_map.set_members(fleet.values())
        for spec in specs:
            fresh = owners_of(spec, list(fleet.values()))
            for instance in spec.targets_by_instance:
                for target in instance:
                    owner = owner_map.owner(spec, target.address)
                    assert owner is not None
                    assert owner.address == fresh[target.address].address
    assert owner_map.reranked < 0.2 * steps * len(specs) * len(REGIONS)


def place(number: int, shape: str) -> Member:
    """Return a box in a fleet of the given shape."""
    region = {"one-region": "muc", "two-of-three-regions": REGIONS[number % 2]}.get(
        shape, REGIONS[number % 3]
    )
    halves = {"one-domain-a-region": "a", "second-domain-is-rare": "aaaaaaaaab"[number % 10]}
    domain = f"{region}-{halves.get(shape, 'abcd'[number % 4])}"
    return Member(f"10.0.{number}.1:82", f"b{number}", "x", region, domain, 1, Status.ALIVE)


@pytest.mark.parametrize("most", [3, 12, 150], ids=lambda most: f"{most}-boxes")
@pytest.mark.parametrize(
    "shape",
    [
        "all-regions",
        "one-region",
        "two-of-three-regions",
        "one-domain-a-region",
        "second-domain-is-rare",
    ],
)
def test_incremental_changes_match_a_full_computation(shape: str, most: int) -> None:
    pick = random.Random(f"{shape} {most}")
    fleet: dict[int, Member] = {}
    spec = service(60)
    owner_map = OwnerMap()
    for _ in range(60):
        for number in pick.sample(range(most), pick.choice([1, 1, 1, max(1, most // 4)])):
            if number in fleet:
                del fleet[number]
            else:
                fleet[number] = place(number, shape)
        if fleet and pick.random() < 0.1:
            number = pick.choice(list(fleet))
            fleet[number] = fleet[number]._replace(failure_domain=f"moved-{number}")
        owner_map.set_members(fleet.values())
        if pick.random() < 0.3:
            continue
        fresh = owners_of(spec, fleet.values())
        for instance in spec.targets_by_instance:
            for target in instance:
                owner = owner_map.owner(spec, target.address)
                expected = fresh.get(target.address)
                assert owner == expected


@pytest.mark.parametrize(
    ("statuses", "unreachable", "kept"),
    [
        pytest.param("AAA", {0}, {1, 2}, id="one-of-three"),
        pytest.param("AAL", {0, 1}, {0, 1, 2}, id="only-a-leaving-one-is-left"),
        pytest.param("AA", {0, 1}, {0, 1}, id="all"),
        pytest.param("ASL", {0}, {1, 2}, id="a-suspect-one-still-owns"),
    ],
)
def test_skipping_unreachable_boxes_leaves_an_owner(
    statuses: str, unreachable: set[int], kept: set[int]
) -> None:
    """A leaving box whose peers all paused for a moment refused every query."""
    by_letter = {"A": Status.ALIVE, "S": Status.SUSPECT, "L": Status.LEAVING}
    members = tuple(
        box(number)._replace(status=by_letter[letter]) for number, letter in enumerate(statuses)
    )
    addresses = {box(number).address for number in unreachable}
    found = reachable_members(members, addresses)
    assert {member.address for member in found} == {box(number).address for number in kept}
