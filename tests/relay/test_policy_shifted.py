"""The shifted workload in virtual time: pauses as long as the target latencies, homes, evacuations.

The workload, with other load on the targets' machines, and the grounds for its figures are those of
bench/policy_shifted.py. A change that alters figures on purpose updates them and gives the reason
in its commit.
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
MIN_CREDITS = (0.95, 0.85, 0.75, 0.80)
"""Lower bound of the credit in each scenario, rounded down from the present decisions."""


@pytest.mark.parametrize(
    ("scenario", "min_credit"),
    list(zip(SCENARIOS, MIN_CREDITS, strict=True)),
    ids=lambda v: str(v)[:40],
)
def test_scenarios_keep_their_credit(scenario: Scenario, min_credit: float) -> None:
    assert credit_share(KINDS, play(scenario, VARIANTS[0], 1, SECONDS)) >= min_credit


@pytest.mark.parametrize("homes", [{"r1"}, {"r2", "r3"}], ids=sorted)
def test_whole_fleet_keeps_to_the_homes(homes: set[str]) -> None:
    """Sixty boxes delegate shards to each other and hedge requests to paused targets."""
    fleet = make_fleet(1)
    kinds = [kind._replace(homes=frozenset(homes)) for kind in KINDS]
    tallies = fleet.play(kinds, SECONDS)
    asked = {t.target.place.region for t in fleet.target_by_instance.values() if t.arrivals}
    assert asked == homes
    assert all(tally.in_time + tally.late > tally.failed for tally in tallies.values())


def test_no_request_goes_to_an_evacuated_domain() -> None:
    """Requests in progress there end; first sends, hedges and peers' groups go elsewhere."""
    fleet = make_fleet(1)
    domain = PLACES[0].failure_domain
    fleet.agenda.at(1.0, lambda: fleet.evacuate(domain))
    evacuated_targets = [
        target
        for target in fleet.target_by_instance.values()
        if target.target.place.failure_domain == domain
    ]
    arrived: list[int] = []
    # After the longest deadline and one network delay, no earlier request can still arrive.
    fleet.agenda.at(
        1.2, lambda: arrived.append(sum(target.arrivals for target in evacuated_targets))
    )
    tallies = fleet.play(KINDS, SECONDS)
    assert sum(target.arrivals for target in evacuated_targets) == arrived[0] > 0
    assert all(tally.failed <= tally.asked / 20 for tally in tallies.values())
