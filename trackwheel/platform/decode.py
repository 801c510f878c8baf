"""Decoding of the configuration and of targets' entries from the store."""

import re
from ipaddress import ip_address
from typing import Annotated, Final, Literal

import msgspec
from returns.result import Failure, Result, Success

from trackwheel.addresses import split_address
from trackwheel.directory.models import TargetEntry
from trackwheel.errors import TrackwheelError
from trackwheel.groups.keys import key_digest
from trackwheel.groups.models import Group, GroupLimit, GroupTable
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


class _SplitPart(msgspec.Struct):
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
    split: list[_SplitPart] = []
    # Each of these services is a shard; the request is sent to every one.
    fanout_services: list[str] = []
    top_k: int = 0
    min_coverage: float = 0.0
    # None or an empty list allows all regions.
    allowed_regions: list[str] | None = None
    # Requests need no key.
    public: bool = False


class _Service(msgspec.Struct):
    name: str
    health_path: str = ""
    # Limit over all boxes together, not for each box.
    max_connections: int = 0
    warmup_s: float = 0.0
    # Requests per second that a cold target can take; 0 means no limit is given.
    warmup_per_s: float = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Tenant(msgspec.Struct):
    # Sent in a header of each request, so it must have no control characters, and no blanks at its
    # ends, which the receiver would remove.
    name: Annotated[str, msgspec.Meta(pattern=r"\A(?! )[^\x00-\x1f\x7f]+(?<! )\Z")]
    api_keys: list[str] | None = None
    priority: int | None = None
    # Limits over all boxes together; 0 means no limit.
    rate_per_s: float | None = None
    burst: float | None = None
    allowed_regions: list[str] | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    # None if requests need no keys.
    tenants: list[_Tenant] | None = None


_MAX_TIME_MS: Final = 2**53
"""Upper bound of a plausible time (Unix milliseconds)."""


class _Server(msgspec.Struct):
    # All fields are required, with the types that targets write: an entry by another writer may
    # lack some and is rejected. `born` is optional because older targets do not write it.
    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: Annotated[str, msgspec.Meta(min_length=1)]
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: Literal["ready", "draining"]
    # Remaining warm-up time of the target, not the time since its start.
    warmup_left_ms: Annotated[float, msgspec.Meta(ge=0.0)]
    sequence: int
    # Start time of the target (Unix milliseconds); tells restarts under one id apart.
    born: Annotated[int, msgspec.Meta(ge=0, lt=_MAX_TIME_MS)] = 0


_INSTANCE_PATTERN: Final = re.compile(r"[!-~]{1,200}")
"""A target's id is sent in a header of each request, so it must be printable, without blanks."""
_CONFIG_DECODER = msgspec.json.Decoder(_Config)
_SERVER_DECODER = msgspec.json.Decoder(_Server)


def decode_routes(content: bytes) -> Result[RouteTable, TrackwheelError]:
    """Decode the operator's configuration."""
    try:
        config = _CONFIG_DECODER.decode(content)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return Failure(store_error("bad_config", "decode", "store", error))
    limits = config.limits
    return Success(
        RouteTable(
            config.version,
            index_routes(_route(route) for route in config.routes),
            {
                service.name: ServiceRule(
                    service.name,
                    service.health_path,
                    service.max_connections,
                    service.warmup_per_s,
                    service.warmup_s,
                )
                for service in config.services
            },
            Limits(
                limits.max_header_bytes,
                limits.max_body_bytes,
                limits.header_timeout_ms / MILLISECONDS,
                limits.idle_timeout_ms / MILLISECONDS,
            ),
            None if config.tenants is None else _groups(config.tenants),
        )
    )


def _groups(tenants: list[_Tenant]) -> GroupTable:
    """Return the table of groups.

    The first entry of a name, and the first group of a key, count: the result must be the same at
    each box, and a key in two groups must not shut out the callers of both.
    """
    group_by_name: dict[str, Group] = {}
    group_by_key_digest: dict[bytes, Group] = {}
    for tenant in tenants:
        group = group_by_name.setdefault(tenant.name, _group(tenant))
        for key in tenant.api_keys or ():
            # As `read_key` reads it: blanks around a key do not count.
            group_by_key_digest.setdefault(key_digest(key.encode().strip()), group)
    return GroupTable(group_by_name, group_by_key_digest)


def _group(tenant: _Tenant) -> Group:
    rate_per_s, burst = tenant.rate_per_s or 0.0, tenant.burst or 0.0
    limit = GroupLimit(rate_per_s, max(0.0, burst)) if rate_per_s > 0.0 else None
    return Group(tenant.name, tenant.priority, frozenset(tenant.allowed_regions or ()), limit)


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
        public=route.public,
    )


def decode_target(key: str, value: bytes, revision: int) -> Result[TargetEntry, TrackwheelError]:
    """Decode a target's entry; fail for an entry that cannot be from a target."""
    instance = key.removeprefix(PREFIX_TARGETS)
    if not _INSTANCE_PATTERN.fullmatch(instance):
        return Failure(store_error("bad_entry", "decode", key, "the key is not a valid target id"))
    try:
        server = _SERVER_DECODER.decode(value)
        ip_address(split_address(server.address)[0])
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return Failure(store_error("bad_entry", "decode", key, error))
    return Success(
        TargetEntry(
            instance=instance,
            service=server.service,
            address=server.address,
            failure_domain=server.zone,
            slots=server.slots,
            leaving=server.state == STATE_DRAINING,
            warmup_left_s=server.warmup_left_ms / MILLISECONDS,
            revision=revision,
            born_ms=server.born,
            sequence=server.sequence,
        )
    )
