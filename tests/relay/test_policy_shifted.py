"""The shifted work in virtual time: pauses as long as the aims, neighbours, homes, evacuations.

The load and the grounds for its figures are those of bench/policy_shifted.py. Figures that a change
moves on purpose are written anew, with the reason in its commit.
"""

import pytest

from bench.policy_fleet import credit_share
from bench.policy_shifted import (
    KINDS,
    PLACES,
    SCENARIOS,
    VARIANTS,
    Scenario,
    make_fleet,
    play,
)

SECONDS = 3.0
LEASTS = (0.95, 0.85, 0.75, 0.80)
"""Credit of each load with the decisions as they were when this was written, rounded down."""


@pytest.mark.parametrize(
    ("scenario", "least"), list(zip(SCENARIOS, LEASTS, strict=True)), ids=lambda v: str(v)[:40]
)
def test_named_loads_earn_what_they_did(scenario: Scenario, least: float) -> None:
    assert credit_share(KINDS, play(scenario, VARIANTS[0], 1, SECONDS)) >= least


@pytest.mark.parametrize("homes", [{"r1"}, {"r2", "r3"}], ids=sorted)
def test_whole_fleet_keeps_to_the_homes(homes: set[str]) -> None:
    """Sixty boxes hand shards to each other, ask again what pauses, and never leave the homes."""
    fleet = make_fleet(1)
    kinds = [kind._replace(homes=frozenset(homes)) for kind in KINDS]
    tallies = fleet.play(kinds, SECONDS)
    asked = {t.target.place.region for t in fleet.target_by_instance.values() if t.arrivals}
    assert asked == homes
    assert all(tally.in_time + tally.late > tally.failed for tally in tallies.values())


def test_whole_fleet_leaves_an_evacuated_domain() -> None:
    """What is under way there ends; first sends, second targets and peers' groups go elsewhere."""
    fleet = make_fleet(1)
    domain = PLACES[0].failure_domain
    fleet.agenda.at(1.0, lambda: fleet.evacuate(domain))
    there = [
        target
        for target in fleet.target_by_instance.values()
        if target.target.place.failure_domain == domain
    ]
    arrived: list[int] = []
    # The longest deadline and a way later, nothing that was under way can arrive any more.
    fleet.agenda.at(1.2, lambda: arrived.append(sum(target.arrivals for target in there)))
    tallies = fleet.play(KINDS, SECONDS)
    assert sum(target.arrivals for target in there) == arrived[0] > 0
    assert all(tally.failed <= tally.asked / 20 for tally in tallies.values())
