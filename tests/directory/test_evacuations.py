"""Evacuated failure domains: merging updates in any order, and the time they take to spread.

The operator evacuates a failure domain while some boxes cannot reach the store, while messages
between boxes are lost, or while a box starts. The users require 3 to 5 s from the answer of the
store; the limits here leave half of that to what the model lacks: busy processors, full links,
queues before targets.
"""

import itertools

import anyio
import pytest

from tests.directory.memory_fleet import DOMAINS, MemoryFleet
from trackwheel.directory.evacuations import Evacuations
from trackwheel.directory.models import Evacuation
from trackwheel.directory.revisions import make_revision

UPDATES = [
    Evacuation("a", True, 5),
    Evacuation("a", False, 8),
    Evacuation("b", True, 6),
    Evacuation("b", False, 7),
    Evacuation("b", True, 9),
]
LIMIT_S = 2.5
"""Half of the larger limit of the users."""


@pytest.mark.parametrize("order", list(itertools.permutations(range(5))), ids=str)
def test_updates_converge_in_any_order(order: tuple[int, ...]) -> None:
    evacuations = Evacuations()
    for place in order:
        evacuations.merge([UPDATES[place]])
    assert evacuations.domains == {"b"}


@pytest.mark.parametrize("evacuation", UPDATES, ids=str)
def test_repeated_update_changes_nothing(evacuation: Evacuation) -> None:
    evacuations = Evacuations()
    assert evacuations.merge([evacuation])
    assert not evacuations.merge([evacuation])


IN_ERA_2 = make_revision(2, 3)


@pytest.mark.parametrize(
    ("listed", "then", "domains"),
    [
        pytest.param([], None, {"b"}, id="copy-lacks-it"),
        pytest.param(["a", "b"], None, {"b"}, id="copy-has-one-that-was-taken-back"),
        pytest.param(["c"], None, {"b", "c"}, id="another-one"),
        pytest.param([], Evacuation("a", True, IN_ERA_2 + 1), {"a", "b"}, id="asked-for-since"),
        pytest.param(["b"], Evacuation("b", False, IN_ERA_2 + 1), set(), id="taken-back-since"),
    ],
)
def test_restored_store_does_not_change_known_domains(
    listed: list[str], then: Evacuation | None, domains: set[str]
) -> None:
    """The restored store assigns its revision 3 again; the known state came with 5 to 9."""
    evacuations = Evacuations()
    evacuations.merge_snapshot([], make_revision(1, 4))
    evacuations.merge(
        evacuation._replace(revision=make_revision(1, evacuation.revision))
        for evacuation in UPDATES
    )
    evacuations.merge_snapshot([Evacuation(name, True, IN_ERA_2) for name in listed], IN_ERA_2)
    assert evacuations.after_restore
    if then is not None:
        evacuations.merge([then])
    assert evacuations.domains == domains


def test_later_read_of_a_restored_store_counts() -> None:
    evacuations = Evacuations()
    evacuations.merge_snapshot([Evacuation("b", True, make_revision(1, 9))], make_revision(1, 9))
    evacuations.merge_snapshot([], IN_ERA_2)
    assert evacuations.domains == {"b"}
    evacuations.merge_snapshot([], IN_ERA_2 + 1)
    assert not evacuations.after_restore
    assert evacuations.domains == set()


@pytest.mark.parametrize(
    ("listed", "as_of", "domains"),
    [
        pytest.param([], 10, set(), id="taken-back-unheard"),
        pytest.param([], 5, {"b"}, id="reading-older-than-the-word"),
        pytest.param([Evacuation("b", True, 9)], 10, {"b"}, id="still-asked-for"),
        pytest.param([Evacuation("c", True, 10)], 10, {"c"}, id="another-one"),
    ],
)
def test_complete_read_cancels_what_it_lacks(
    listed: list[Evacuation], as_of: int, domains: set[str]
) -> None:
    evacuations = Evacuations()
    evacuations.merge(UPDATES)
    evacuations.merge_snapshot(listed, as_of)
    assert evacuations.domains == domains


def test_older_update_of_a_peer_does_not_reactivate_an_evacuation() -> None:
    evacuations = Evacuations()
    evacuations.merge_snapshot([Evacuation("a", True, 5)], 6)
    evacuations.merge_snapshot([], 9)
    assert not evacuations.merge([Evacuation("a", True, 5)])
    assert not evacuations.domains


async def simulate_evacuation(fleet: MemoryFleet, turned_away: set[str]) -> tuple[float, float]:
    """Evacuate a domain and cancel it; return how long each took to reach the last box."""
    async with anyio.create_task_group() as tasks:
        await fleet.run(tasks)
        # Long enough for the watchers of each domain to be in sync.
        await anyio.sleep(0.8)
        fleet.store.rejected = turned_away
        fleet.store.evacuate("a")
        evacuate_s = await fleet.until_excluded({"a"}, LIMIT_S)
        fleet.store.evacuate("a", active=False)
        cancel_s = await fleet.until_excluded(set(), LIMIT_S)
        tasks.cancel_scope.cancel()
    return evacuate_s, cancel_s


NO_BOXES: set[str] = set()
FIRST_WATCHERS = {f"{domain}:0" for domain in DOMAINS[:3]}
THIRD_OF_BOXES = {f"{domain}:{place}" for domain in DOMAINS[:2] for place in range(40)}


@pytest.mark.parametrize("boxes", [8, 60, 195])
@pytest.mark.parametrize(
    ("turned_away", "loss"),
    [
        pytest.param(NO_BOXES, 0.0, id="calm"),
        pytest.param(NO_BOXES, 0.1, id="a-tenth-of-the-messages-lost"),
        pytest.param(FIRST_WATCHERS, 0.0, id="watchers-of-half-of-the-domains-turned-away"),
        pytest.param(THIRD_OF_BOXES, 0.0, id="a-third-of-the-boxes-turned-away"),
    ],
)
def test_evacuation_is_in_force_at_every_box(
    boxes: int, turned_away: set[str], loss: float
) -> None:
    async def scenario() -> tuple[float, float]:
        return await simulate_evacuation(MemoryFleet(boxes, loss), turned_away)

    evacuate_s, cancel_s = anyio.run(scenario)
    print(
        f"{boxes} boxes: evacuated after {evacuate_s * 1000:.0f} ms, back {cancel_s * 1000:.0f} ms"
    )
    assert max(evacuate_s, cancel_s) < LIMIT_S


@pytest.mark.parametrize("store_is_away", [False, True], ids=["by-a-copy", "by-a-peer"])
def test_box_that_starts_knows_the_evacuation_with_its_targets(store_is_away: bool) -> None:
    """A box that served with routes and targets alone would send to the evacuated domain."""

    async def scenario() -> None:
        fleet = MemoryFleet(12)
        async with anyio.create_task_group() as tasks:
            await fleet.run(tasks)
            await anyio.sleep(0.8)
            fleet.store.evacuate("b")
            await fleet.until_excluded({"b"}, LIMIT_S)
            if store_is_away:
                fleet.store.rejected = {box.address for box in fleet.box_by_address.values()}
                fleet.store.rejected.add("a:2")
            late = fleet.add("a", 2)
            with anyio.fail_after(LIMIT_S):
                while not late.directory.ready:
                    await anyio.sleep(0.005)
            assert late.excluded == {"b"}
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
