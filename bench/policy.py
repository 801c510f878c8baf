"""The policy of queries over many shards under named loads, against the same with parts taken out.

The real decisions of 36 boxes run in virtual time, paired by seed: the same callers, targets and
troubles meet each variant. It is a model for comparing decisions, not a forecast of any fleet.
"""

from random import Random
from typing import Final, NamedTuple
from unittest.mock import patch

from bench.policy_fleet import Kind, ModelFleet, Tally, credit_share
from bench.policy_targets import Trouble
from bench.report import Report, Series
from trackwheel.delegation import peers
from trackwheel.delegation.const import PEERS_IN_ROTATION
from trackwheel.delegation.peers import PeerBox
from trackwheel.relay.models import Place, Target

PLACES: Final = tuple(
    Place(region, f"{region}-{domain}") for domain in ("a", "b") for region in ("r1", "r2", "r3")
)
BOXES_PER_DOMAIN: Final = 6
FAST, SLOW = 2.15, 0.516
SHARDS: Final = 60
SWEEP: Final = Kind("sweep", 18.0, 0.03, 0.335, 2.0, 0.95, 2.0)
URGENT: Final = Kind("urgent", 6.0, 0.01, 0.112, 1.0, 0.85, 1.0)
KINDS: Final = [SWEEP, URGENT]
SECONDS: Final = 8.0
TROUBLE: Final = (2.0, 6.0)
SEEDS: Final = (1,)
MORE_SEEDS: Final = (1, 2, 3, 4)


class Scenario(NamedTuple):
    """A load: the shares of targets that are slow (times `factor`) and that are down meanwhile."""

    name: str
    slow_share: float
    factor: float
    dead_share: float


SCENARIOS: Final = (
    Scenario("calm", 0.0, 1.0, 0.0),
    Scenario("slow across shards", 0.25, 8.0, 0.0),
    Scenario("dead across shards", 0.0, 1.0, 0.15),
    Scenario("slow and dead", 0.2, 8.0, 0.13),
)


class Variant(NamedTuple):
    """The decisions as they are, or with one part taken out."""

    name: str
    speeds_told: bool = True
    few_peers: bool = True
    links_open: bool = True
    news: bool = True


VARIANTS: Final = (
    Variant("as it is"),
    Variant("any box asks", speeds_told=False),
    Variant("peers all in turn", few_peers=False, links_open=False),
    Variant("no news", news=False),
)


def play(scenario: Scenario, variant: Variant, seed: int, seconds: float) -> dict[str, Tally]:
    """Return how the queries of one play ended, by kind."""
    random = Random(seed)
    boxes = [
        PeerBox(f"{place.failure_domain}:{n}", place, FAST if n < 2 else SLOW)
        for place in PLACES
        for n in range(BOXES_PER_DOMAIN)
    ]
    targets = {f"s{n}": _targets(f"s{n}", n) for n in range(SHARDS)}
    in_turn = PEERS_IN_ROTATION if variant.few_peers else len(boxes)
    with patch.object(peers, "PEERS_IN_ROTATION", in_turn):
        fleet = ModelFleet(
            boxes, targets, seed, variant.news, variant.links_open, variant.speeds_told
        )
        for server in fleet.target_by_instance.values():
            drawn = random.random()
            if drawn < scenario.slow_share:
                server.troubles.append(Trouble(*TROUBLE, scenario.factor))
            elif drawn < scenario.slow_share + scenario.dead_share:
                server.troubles.append(Trouble(*TROUBLE, 0.0))
        return fleet.play(KINDS, seconds)


def _targets(shard: str, number: int) -> tuple[Target, ...]:
    """Return a shard's two targets, in different regions."""
    places = (PLACES[number % len(PLACES)], PLACES[(number + 1) % len(PLACES)])
    return tuple(
        Target(f"{shard}-{n}", shard, "127.0.0.1:1", place, 2, False, False, 0.0)
        for n, place in enumerate(places)
    )


def measure(long: bool) -> Report:
    """Play each scenario with each variant, paired by seed."""
    seeds = MORE_SEEDS if long else SEEDS
    rows: list[tuple[str, str]] = []
    figures: dict[str, float] = {}
    series: list[Series] = []
    for variant in VARIANTS:
        shares: list[float] = []
        for scenario in SCENARIOS:
            plays = [play(scenario, variant, seed, SECONDS) for seed in seeds]
            found = [credit_share(KINDS, tallies) for tallies in plays]
            shares.append(sum(found) / len(found))
            rows.append((f"{scenario.name}, {variant.name}", _row(found, plays)))
            figures[f"{scenario.name}/{variant.name}".replace(" ", "_")] = shares[-1]
        series.append(Series(variant.name, [float(n) for n in range(len(shares))], shares))
    legend = ", ".join(f"{n}: {scenario.name}" for n, scenario in enumerate(SCENARIOS))
    samples = {"plays": len(seeds) * len(SCENARIOS) * len(VARIANTS)}
    baseline = "the same seeds with one part of the policy taken out"
    return Report("policy", 1, baseline, figures, samples, rows, series, legend, "credit earned")


def _row(found: list[float], plays: list[dict[str, Tally]]) -> str:
    sweeps = [tallies[SWEEP.name] for tallies in plays]
    asked = sum(tally.asked for tally in sweeps)
    late, failed = sum(t.late for t in sweeps), sum(t.failed for t in sweeps)
    urgent = sum(tallies[URGENT.name].credit_share for tallies in plays) / len(plays)
    return (
        f"credit {sum(found) / len(found):.3f} ({min(found):.3f} to {max(found):.3f}), "
        f"sweeps late {late / asked:.3f}, failed {failed / asked:.3f}, urgent {urgent:.3f}"
    )
