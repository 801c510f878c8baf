"""Finding the route of a request, and dividing requests among services by weight."""

from collections.abc import Iterable

from trackwheel.routing.models import Route, RouteTable, WeightedService


def index_routes(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Return the routes of each host, the longest prefix first."""
    routes_by_host: dict[str, list[Route]] = {}
    for route in routes:
        routes_by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
        for host, found in routes_by_host.items()
    }


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix that begins the path, None when there is none."""
    for route in table.routes_by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


class WeightedRoundRobin:
    """Divide requests among services so that each prefix of the sequence is near the weights.

    Smooth weighted round robin: exact over a period, without bursts to one service.
    """

    def __init__(self) -> None:
        self._credit_by_service_by_route: dict[str, dict[str, float]] = {}

    def pick(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.services) == 1:
            return route.services[0].service
        credits = self._credits(route)
        for part in route.services:
            credits[part.service] += part.weight
        chosen = max(route.services, key=lambda part: credits[part.service]).service
        credits[chosen] -= _total(route.services)
        return chosen

    def _credits(self, route: Route) -> dict[str, float]:
        credits = self._credit_by_service_by_route.get(route.name)
        wanted = {part.service for part in route.services}
        if credits is None or credits.keys() != wanted:
            credits = dict.fromkeys(wanted, 0.0)
            self._credit_by_service_by_route[route.name] = credits
        return credits


def _total(parts: Iterable[WeightedService]) -> float:
    return sum(part.weight for part in parts)
