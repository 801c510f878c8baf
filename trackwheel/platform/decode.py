"""Configurations and targets' entries, decoded from the store's bodies into own types."""

import msgspec
from returns.result import Failure, Result, Success

from trackwheel.directory.models import TargetEntry
from trackwheel.errors import TrackwheelError
from trackwheel.platform.errors import store_error
from trackwheel.platform.names import KIND_SAFE, PREFIX_TARGETS, STATE_DRAINING
from trackwheel.routing.models import (
    Limits,
    Route,
    RouteTable,
    ServiceRule,
    WeightedService,
)
from trackwheel.routing.table import index_routes
from trackwheel.units import MILLISECONDS


class _Part(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float
    priority: int = 0
    max_attempts: int = 1
    service: str = ""
    split: list[_Part] = []
    # The services here are shards; every one of them is asked.
    fanout_services: list[str] = []
    top_k: int = 0
    min_coverage: float = 0.0
    # None or an empty list allows every region.
    allowed_regions: list[str] | None = None


class _Service(msgspec.Struct):
    name: str
    health_path: str = ""
    # Counted over all callers together, not for one box.
    max_connections: int = 0


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int = 1
    state: str = ""
    # How much longer the target is slow after its start, not how long it has been.
    warmup_left_ms: float = 0.0


_CONFIG_DECODER = msgspec.json.Decoder(_Config)
_SERVER_DECODER = msgspec.json.Decoder(_Server)


def decode_routes(content: bytes) -> Result[RouteTable, TrackwheelError]:
    """Return the configuration that the operator wrote."""
    try:
        config = _CONFIG_DECODER.decode(content)
    except msgspec.DecodeError as error:
        return Failure(store_error("bad_config", "decode", "store", error))
    limits = config.limits
    return Success(
        RouteTable(
            config.version,
            index_routes(_route(route) for route in config.routes),
            {
                service.name: ServiceRule(
                    service.name, service.health_path, service.max_connections
                )
                for service in config.services
            },
            Limits(
                limits.max_header_bytes,
                limits.max_body_bytes,
                limits.header_timeout_ms / MILLISECONDS,
                limits.idle_timeout_ms / MILLISECONDS,
            ),
        )
    )


def _route(route: _Route) -> Route:
    services = tuple(WeightedService(part.service, part.weight) for part in route.split)
    if route.service:
        services = (WeightedService(route.service, 1.0),)
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        repeatable=route.kind == KIND_SAFE,
        timeout_s=route.timeout_ms / MILLISECONDS,
        aim_s=route.target_latency_ms / MILLISECONDS,
        max_attempts=max(1, route.max_attempts),
        priority=route.priority,
        services=services,
        shards=tuple(route.fanout_services),
        top_k=route.top_k,
        least_coverage=route.min_coverage,
        homes=frozenset(route.allowed_regions or ()),
    )


def decode_target(key: str, value: bytes, revision: int) -> Result[TargetEntry, TrackwheelError]:
    """Return a target from its entry in the store."""
    try:
        server = _SERVER_DECODER.decode(value)
    except msgspec.DecodeError as error:
        return Failure(store_error("bad_entry", "decode", key, error))
    return Success(
        TargetEntry(
            instance=key.removeprefix(PREFIX_TARGETS),
            service=server.service,
            address=server.address,
            failure_domain=server.zone,
            slots=server.slots,
            leaving=server.state == STATE_DRAINING,
            cold_s=server.warmup_left_ms / MILLISECONDS,
            revision=revision,
        )
    )
