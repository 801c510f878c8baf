"""Route lookup, and weighted round robin between services."""

from collections.abc import Iterable

from trackwheel.routing.models import Route, RouteTable, WeightedService


def index_routes(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Return the routes by host, longest prefix first."""
    routes_by_host: dict[str, list[Route]] = {}
    for route in routes:
        routes_by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
        for host, found in routes_by_host.items()
    }


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route with the longest matching prefix, or None if there is none."""
    for route in table.routes_by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


class WeightedRoundRobin:
    """Smooth weighted round robin: exact over a period, without bursts to one service.

    Every prefix of the sequence of choices is close to the weights.
    """

    def __init__(self) -> None:
        self._credit_by_service_by_route: dict[str, dict[str, float]] = {}

    def pick(self, route: Route) -> str:
        """Choose the service for the next request of a route."""
        if len(route.services) == 1:
            return route.services[0].service
        credits = self._credits(route)
        for weighted in route.services:
            credits[weighted.service] += weighted.weight
        chosen = max(route.services, key=lambda weighted: credits[weighted.service]).service
        credits[chosen] -= _total_weight(route.services)
        return chosen

    def _credits(self, route: Route) -> dict[str, float]:
        credits = self._credit_by_service_by_route.get(route.name)
        service_names = {weighted.service for weighted in route.services}
        if credits is None or credits.keys() != service_names:
            credits = dict.fromkeys(service_names, 0.0)
            self._credit_by_service_by_route[route.name] = credits
        return credits


def _total_weight(services: Iterable[WeightedService]) -> float:
    return sum(weighted.weight for weighted in services)
