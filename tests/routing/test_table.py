"""Route lookup, and weighted round robin between services."""

from collections import Counter

import pytest

from trackwheel.routing.models import Limits, Route, RouteTable, WeightedService
from trackwheel.routing.table import WeightedRoundRobin, find_route, index_routes

LIMITS = Limits(1000, 1000, 1.0, 1.0)


def route(name: str, host: str, prefix: str, weights: dict[str, float] | None = None) -> Route:
    services = tuple(WeightedService(*pair) for pair in (weights or {"one": 1.0}).items())
    return Route(name, host, prefix, True, 1.0, 0.1, 2, 1, services, (), 0, 0.0)


TABLE = RouteTable(
    1,
    index_routes(
        [route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/")]
        + [route("other", "b.example", "/")]
    ),
    {},
    LIMITS,
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        pytest.param("a.example", "/x/1", "short", id="prefix"),
        pytest.param("a.example", "/x/y/1", "long", id="longest-wins"),
        pytest.param("a.example", "/x/y", "short", id="prefix-ends-with-a-slash"),
        pytest.param("a.example", "/x", None, id="shorter-than-prefix"),
        pytest.param("a.example", "/", None, id="no-route"),
        pytest.param("b.example", "/x/1", "other", id="other-host"),
        pytest.param("c.example", "/x/1", None, id="unknown-host"),
    ],
)
def test_longest_prefix_of_the_host_wins(host: str, path: str, name: str | None) -> None:
    found = find_route(TABLE, host, path)
    assert (found.name if found else None) == name


@pytest.mark.parametrize(
    "weights",
    [{"a": 1, "b": 1}, {"a": 9, "b": 1}, {"a": 0.7, "b": 0.2, "c": 0.1}, {"a": 3, "b": 0}],
    ids=str,
)
def test_every_hundred_requests_follow_the_weights(weights: dict[str, float]) -> None:
    round_robin, split = WeightedRoundRobin(), route("r", "a.example", "/", weights)
    picks = [round_robin.pick(split) for _ in range(1000)]
    for start in range(0, 900, 50):
        counts = Counter(picks[start : start + 100])
        for service, weight in weights.items():
            assert counts[service] == pytest.approx(100 * weight / sum(weights.values()), abs=2)


def test_changed_services_start_with_equal_credit() -> None:
    round_robin = WeightedRoundRobin()
    for _ in range(5):
        round_robin.pick(route("r", "a.example", "/", {"a": 5, "b": 1}))
    picks = Counter(
        round_robin.pick(route("r", "a.example", "/", {"b": 1, "c": 1})) for _ in range(10)
    )
    assert picks == {"b": 5, "c": 5}
