"""The policy of queries over many shards under the shifted work, each decision in several ways.

The pattern and the grounds for its figures, from the users' sheet: 60 boxes, a fifth of them four
times as fast, in six failure domains of three regions, 8 ms apart; 90 shards of three targets each,
one a region, in three of the domains; sweeps and urgent queries with aims of 115 and 86 ms; pauses
of 120 ms each 3 s, longer than the aims; neighbours that make one target in thirty four times as
slow for half a second, which it tells. The loads are what the users' heaviest seconds hold: answers
that are lost, targets that fall silent, a failure domain that is evacuated.
"""

from collections.abc import Callable
from random import Random
from typing import Final, NamedTuple
from unittest.mock import patch

from bench.policy_fleet import Kind, ModelFleet, Tally, credit_share
from bench.policy_targets import Habits, Trouble
from bench.report import Report, Series
from trackwheel.delegation.peers import PeerBox
from trackwheel.gathering import shard_requester
from trackwheel.relay.models import Place, Target
from trackwheel.selection import attempts
from trackwheel.selection.attempts import NEVER
from trackwheel.selection.target_selector import Candidate

REGIONS: Final = ("r1", "r2", "r3")
PLACES: Final = tuple(Place(region, f"{region}-{name}") for name in "ab" for region in REGIONS)
BOXES_PER_DOMAIN: Final = 10
FAST_PER_DOMAIN: Final = 2
FAST, SLOW = 1.07, 0.26
SHARDS: Final = 90
SWEEP: Final = Kind("sweep", 14.5, 0.0112, 0.115, 1.02, 0.95, 2.0)
URGENT: Final = Kind("urgent", 8.4, 0.00375, 0.0857, 0.81, 0.85, 1.0)
KINDS: Final = [SWEEP, URGENT]
HABITS: Final = Habits(0.12, 3.0, 0.03, 4.0, 0.5)
EXTRA: Final = 160.0
SECONDS: Final = 8.0
TROUBLE: Final = (2.0, 6.0)
SEEDS: Final = (1,)
MORE_SEEDS: Final = (1, 2, 3, 4)


class Scenario(NamedTuple):
    """A load: which share of the targets meets which trouble meanwhile."""

    name: str
    share: float
    trouble: Trouble


SCENARIOS: Final = (
    Scenario("steady", 0.0, Trouble(*TROUBLE)),
    Scenario("slow across shards", 0.15, Trouble(*TROUBLE, 10.0)),
    Scenario("answers lost", 0.5, Trouble(*TROUBLE, lost_share=0.4)),
    Scenario("silent across shards", 0.15, Trouble(*TROUBLE, mute=True)),
)


def _hedge_early(choices: list[Candidate], answer_at: float, now: float) -> float:
    """Ask a second target after twice what is expected, whatever time is left."""
    if len(choices) < 2:
        return NEVER
    return now + 2.0 * choices[0].expected_s


def _hedge_in_the_middle(choices: list[Candidate], answer_at: float, now: float) -> float:
    """Ask it half-way between that moment and the latest one that still helps."""
    if len(choices) < 2:
        return NEVER
    early = _hedge_early(choices, answer_at, now)
    return (early + max(early, attempts.hedge_time(choices, answer_at, now))) / 2.0


HedgeTime = Callable[[list[Candidate], float, float], float]


class Variant(NamedTuple):
    """The decisions as they are, or one of them in another way."""

    name: str
    hedge: HedgeTime = attempts.hedge_time


VARIANTS: Final = (
    Variant("as it is"),
    Variant("second target early", hedge=_hedge_early),
    Variant("second target half-way", hedge=_hedge_in_the_middle),
)


def play(scenario: Scenario, variant: Variant, seed: int, seconds: float) -> dict[str, Tally]:
    """Return how the queries of one play ended, by kind."""
    random = Random(seed)
    with patch.object(shard_requester, "hedge_time", variant.hedge):
        fleet = make_fleet(seed)
        for server in fleet.target_by_instance.values():
            if random.random() < scenario.share:
                server.troubles.append(scenario.trouble)
        return fleet.play(KINDS, seconds)


def make_fleet(seed: int) -> ModelFleet:
    """Return the boxes and targets of the shifted work."""
    boxes = [
        PeerBox(f"{place.failure_domain}:{n}", place, FAST if n < FAST_PER_DOMAIN else SLOW)
        for place in PLACES
        for n in range(BOXES_PER_DOMAIN)
    ]
    targets = {f"s{n}": _targets(f"s{n}") for n in range(SHARDS)}
    return ModelFleet(boxes, targets, seed, habits=HABITS, extra=EXTRA)


def _targets(shard: str) -> tuple[Target, ...]:
    """Return a shard's three targets, one in the first failure domain of each region."""
    return tuple(
        Target(f"{shard}-{n}", shard, "127.0.0.1:1", place, 2, False, False, 0.0)
        for n, place in enumerate(PLACES[: len(REGIONS)])
    )


def measure(long: bool) -> Report:
    """Play each scenario with each variant, paired by seed; figures are differences too."""
    seeds = MORE_SEEDS if long else SEEDS
    rows: list[tuple[str, str]] = []
    figures: dict[str, float] = {}
    series: list[Series] = []
    base_by_scenario: dict[str, list[float]] = {}
    for variant in VARIANTS:
        shares: list[float] = []
        for scenario in SCENARIOS:
            found = [credit_share(KINDS, play(scenario, variant, seed, SECONDS)) for seed in seeds]
            base = base_by_scenario.setdefault(scenario.name, found)
            shares.append(sum(found) / len(found))
            rows.append((f"{scenario.name}, {variant.name}", _row(found, base)))
            figures[f"{scenario.name}/{variant.name}".replace(" ", "_")] = shares[-1]
        series.append(Series(variant.name, [float(n) for n in range(len(shares))], shares))
    legend = ", ".join(f"{n}: {scenario.name}" for n, scenario in enumerate(SCENARIOS))
    samples = {"plays": len(seeds) * len(SCENARIOS) * len(VARIANTS)}
    baseline = "the same seeds with the decisions as they are"
    return Report("policy_shifted", 1, baseline, figures, samples, rows, series, legend, "credit")


def _row(found: list[float], base: list[float]) -> str:
    """Return the credit and its paired differences, from the least to the most."""
    differences = [one - other for one, other in zip(found, base, strict=True)]
    mean = sum(found) / len(found)
    difference = sum(differences) / len(differences)
    return (
        f"credit {mean:.3f}, difference {difference:+.3f} "
        f"({min(differences):+.3f} to {max(differences):+.3f})"
    )
