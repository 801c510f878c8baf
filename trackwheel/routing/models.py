"""Routes, services and limits of one version of the configuration."""

from typing import NamedTuple


class Limits(NamedTuple):
    """Bound what a client may send, and how long it may take (bytes, seconds)."""

    header_bytes: int
    body_bytes: int
    header_s: float
    idle_s: float


class WeightedService(NamedTuple):
    """Give one service of a division its weight."""

    service: str
    weight: float


class Route(NamedTuple):
    """Say how requests below one path of one host are handled (seconds).

    Exactly one of `services` (one service, or a division by weight) and `shards` is filled.
    `homes` are the regions that alone may serve its requests; none are named where all may.
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


class ServiceRule(NamedTuple):
    """Hold what the configuration says of one service.

    Its targets are cold for `cold_s` after a start (seconds) and bear `cold_per_s` requests a
    second meanwhile, from all boxes together; 0 when no bound is given.
    """

    name: str
    health_path: str
    max_connections: int
    cold_per_s: float = 0.0
    cold_s: float = 0.0


class RouteTable(NamedTuple):
    """Hold one version of the configuration, whole; versions only rise."""

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    service_by_name: dict[str, ServiceRule]
    limits: Limits
