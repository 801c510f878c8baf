"""Routes, services and limits of one configuration version."""

from typing import NamedTuple

from trackwheel.groups.models import GroupTable


class Limits(NamedTuple):
    """Limits on the size of a client's request and the time to send it (bytes, seconds)."""

    header_bytes: int
    body_bytes: int
    header_s: float
    idle_s: float


class WeightedService(NamedTuple):
    """A service and its weight in a split."""

    service: str
    weight: float


class Route(NamedTuple):
    """Handling of the requests under one path prefix of one host (times in seconds).

    Exactly one of `services` (a single service, or a weighted split) and `shards` is set.
    `homes` are the only regions that may serve the requests; it is empty if all may. A request on a
    `public` route needs no key.
    """

    name: str
    host: str
    prefix: str
    repeatable: bool
    timeout_s: float
    aim_s: float
    max_attempts: int
    priority: int
    services: tuple[WeightedService, ...]
    shards: tuple[str, ...]
    top_k: int
    least_coverage: float
    homes: frozenset[str] = frozenset()
    public: bool = False


class ServiceRule(NamedTuple):
    """Configuration of one service.

    Its targets are cold for `cold_s` seconds after a start. During this time a target can take
    `cold_per_s` requests a second from all boxes together; 0 means that no limit is given.
    """

    name: str
    health_path: str
    max_connections: int
    cold_per_s: float = 0.0
    cold_s: float = 0.0


class RouteTable(NamedTuple):
    """One complete version of the configuration; versions only increase.

    `groups` is None if it names none: requests then need no key.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    service_by_name: dict[str, ServiceRule]
    limits: Limits
    groups: GroupTable | None = None
