"""Golden figures of the policy model: the effect of decisions on the scenarios of bench/policy.py.

A change that alters figures on purpose updates them and gives the reason in its commit.
"""

from typing import NamedTuple

import pytest

from bench.policy import SCENARIOS, VARIANTS, Scenario, Variant, play

SECONDS = 3.0
SEED = 1
AS_IT_IS, ALL_PEERS = VARIANTS[0], VARIANTS[2]
CALM, SLOW_AND_DEAD = SCENARIOS[0], SCENARIOS[3]


class Ended(NamedTuple):
    """Outcomes of the queries of one kind, and the number of shards missing in their answers."""

    asked: int
    in_time: int
    late: int
    failed: int
    left_out: int


@pytest.mark.parametrize(
    ("scenario", "variant", "sweep", "urgent"),
    [
        pytest.param(
            CALM, AS_IT_IS, Ended(56, 56, 0, 0, 0), Ended(21, 21, 0, 0, 0), id="calm-as-it-is"
        ),
        pytest.param(
            CALM,
            ALL_PEERS,
            Ended(56, 56, 0, 0, 0),
            Ended(21, 21, 0, 0, 50),
            id="calm-without-standing-links",
        ),
        pytest.param(
            SLOW_AND_DEAD,
            AS_IT_IS,
            Ended(56, 42, 13, 1, 43),
            Ended(21, 20, 1, 0, 33),
            id="slow-and-dead-as-it-is",
        ),
        pytest.param(
            SLOW_AND_DEAD,
            ALL_PEERS,
            Ended(56, 42, 7, 7, 27),
            Ended(21, 21, 0, 0, 76),
            id="slow-and-dead-without-standing-links",
        ),
    ],
)
def test_scenarios_end_as_before(
    scenario: Scenario, variant: Variant, sweep: Ended, urgent: Ended
) -> None:
    tallies = play(scenario, variant, SEED, SECONDS)
    found = [Ended(t.asked, t.in_time, t.late, t.failed, t.left_out) for t in tallies.values()]
    assert found == [sweep, urgent]
