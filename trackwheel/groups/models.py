"""Groups of one configuration version."""

from typing import Final, NamedTuple


class GroupLimit(NamedTuple):
    """Limit on a group's requests, counted over all boxes together.

    `rate_per_s` requests a second may be made, plus `burst` above that.
    """

    rate_per_s: float
    burst: float


class Group(NamedTuple):
    """One group.

    `priority` is its rank, 0 is the highest; None leaves the order to the routes. `homes` are the
    only regions that may serve its requests; empty if all may. Without a `limit` it has none.
    """

    name: str
    priority: int | None = None
    homes: frozenset[str] = frozenset()
    limit: GroupLimit | None = None


class GroupTable(NamedTuple):
    """The groups of one configuration version, by name and by the digest of each of their keys."""

    group_by_name: dict[str, Group]
    group_by_key_digest: dict[bytes, Group]


class Precedence(NamedTuple):
    """Order in which waiting requests are served: the smallest first.

    The priority of the group comes before that of the route.
    """

    group: int
    route: int


LEAST_PRIORITY: Final = 1_000_000
"""Priority of a request whose group or route has none."""
NO_PRECEDENCE: Final = Precedence(LEAST_PRIORITY, LEAST_PRIORITY)


def precedence(group: Group | None, route_priority: int) -> Precedence:
    """Return the precedence of a group's request on a route with a priority."""
    if group is None or group.priority is None:
        return Precedence(LEAST_PRIORITY, route_priority)
    return Precedence(group.priority, route_priority)
