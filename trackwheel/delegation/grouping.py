"""Planning which shards of a query are delegated to which peers, without I/O."""

from collections.abc import Iterable, Iterator
from math import log
from typing import Final, NamedTuple

from trackwheel.delegation.const import (
    ACCEPT_SLACK_S,
    MIN_GROUP_SHARDS,
    MIN_REGROUP_SHARDS,
    PEERS_IN_ROTATION,
)
from trackwheel.delegation.peers import PeerBox, PeerTracker
from trackwheel.fleet.members import ring_position
from trackwheel.gathering.gather_models import GatherPlan, GroupPlan
from trackwheel.relay.models import Place, RouteKey
from trackwheel.selection.const import HEDGE_MIN_RESPONSE_TIMES, HEDGE_RESERVE_RESPONSE_TIMES
from trackwheel.selection.target_selector import TargetSelector

RING_SIZE: Final = 2**64
OTHER_REGION_DISTANCE: Final = 2
"""Distance of a place in another region; also the largest distance."""


class ShardGroup(NamedTuple):
    """Shards and a peer in the failure domain of their targets."""

    peer: PeerBox
    shards: tuple[str, ...]


class GroupPlanner:
    """Divides the shards of a query among this box and peers near the shards' targets."""

    def __init__(
        self, own: Place, own_address: str, selector: TargetSelector, peer_tracker: PeerTracker
    ) -> None:
        self._own = own
        self._own_address = own_address
        self._selector = selector
        self._peer_tracker = peer_tracker
        self._peers: tuple[PeerBox, ...] = ()
        self._gathers = True

    def set_peers(self, peers: tuple[PeerBox, ...], gathers: bool) -> None:
        """Set the boxes to which shards may be delegated, and whether this box asks targets."""
        self._peers = tuple(
            sorted(peers, key=lambda p: (self._own_hash(p.place.region), self._own_rank(p)))
        )
        self._gathers = gathers

    def first_groups(
        self, shards: tuple[str, ...], route: RouteKey, answer_at: float, now: float
    ) -> tuple[GroupPlan, ...]:
        """Return the groups to delegate first; shards in none of them are requested directly."""
        groups = group_remote_shards(
            shards,
            self._own,
            self._gathers and route.allows(self._own.region),
            self._peers_for(route),
            self._selector,
            self._peer_tracker,
            now,
        )
        return tuple(self._plan(group, route, answer_at, False, now) for group in groups)

    def regroup(
        self,
        tried_by_shard: dict[str, frozenset[str]],
        plan: GatherPlan,
        repeat: bool,
        now: float,
    ) -> tuple[GroupPlan, ...]:
        """Return groups for peers near untried targets, for late, failed or declined shards.

        `repeat` tells whether targets were asked for the shards before.
        """
        gathers = self._gathers and plan.route.allows(self._own.region)
        remaining = {
            shard
            for shard, tried in tried_by_shard.items()
            if not (gathers and self._selector.has_target_at(shard, self._own, now, tried))
        }
        groups: list[ShardGroup] = []
        for peers_by_place in self._peers_by_distance(plan.route):
            reachable_by_place = {
                place: {
                    shard
                    for shard in remaining
                    if self._selector.has_target_at(shard, place, now, tried_by_shard[shard])
                }
                for place in peers_by_place
            }
            for peer, covered in _cover_greedily(
                reachable_by_place,
                remaining,
                peers_by_place,
                self._peer_tracker,
                now,
                MIN_REGROUP_SHARDS,
            ):
                groups.append(ShardGroup(peer, tuple(sorted(covered))))
                remaining -= covered
        return tuple(self._plan(group, plan.route, plan.answer_at, repeat, now) for group in groups)

    def _plan(
        self, group: ShardGroup, route: RouteKey, answer_at: float, repeat: bool, now: float
    ) -> GroupPlan:
        """Return a group with the times by which its peer has to accept and to report."""
        address = group.peer.address
        accept_by = now + self._peer_tracker.round_trip_s(address) + ACCEPT_SLACK_S
        report_by = self._report_by(route, address, answer_at, now)
        return GroupPlan(address, group.peer.place, group.shards, accept_by, report_by, repeat)

    def wanted_links(self) -> list[str]:
        """Return the peers to which links should be opened in advance.

        These are the peers to which this box delegates shards, in its own region and in its
        preferred other region. Opening a link takes three round trips, which is more time than a
        late shard has left and most of the time of an urgent query.
        """
        regions = {self._own.region, self._preferred_region()}
        near = [
            peer
            for peer in self._peers
            if peer.place.region in regions and not (self._gathers and peer.place == self._own)
        ]
        return [
            peer.address for peers in _by_place(near).values() for peer in peers[:PEERS_IN_ROTATION]
        ]

    def _preferred_region(self) -> str:
        """Return the other region that this box prefers; boxes differ in their preference."""
        others = {peer.place.region for peer in self._peers} - {self._own.region}
        return min(others, key=self._own_hash, default=self._own.region)

    def _own_hash(self, name: str) -> int:
        return ring_position(f"{self._own_address}/{name}")

    def _own_rank(self, peer: PeerBox) -> float:
        """Return a peer's sort key in this box's own order; faster peers rank first more often.

        The hash gives an exponential variate with the peer's speed as its rate. The smallest of
        several such variates belongs to each peer with a probability proportional to its speed.
        """
        uniform = (self._own_hash(peer.address) + 1) / RING_SIZE
        return -log(uniform) / peer.speed

    def _peers_for(self, route: RouteKey) -> tuple[PeerBox, ...]:
        """Return the peers that may see a request: those in the route's allowed regions.

        This excludes peers in this box's own region if that is not allowed, since the client may
        have come from another region.
        """
        if not route.homes:
            return self._peers
        return tuple(peer for peer in self._peers if route.allows(peer.place.region))

    def _peers_by_distance(self, route: RouteKey) -> Iterator[dict[Place, list[PeerBox]]]:
        """Yield the peers by place, near ones first; at each distance those with a link first."""
        allowed = self._peers_for(route)
        for distance in range(OTHER_REGION_DISTANCE + 1):
            near = [peer for peer in allowed if _distance(peer.place, self._own) == distance]
            yield _by_place(self._peer_tracker.with_link(near))
            yield _by_place(near)

    def _report_by(self, route: RouteKey, address: str, answer_at: float, now: float) -> float:
        """Return when a peer has to report, early enough to ask other targets after that."""
        latest = answer_at - HEDGE_RESERVE_RESPONSE_TIMES * self._selector.usual_s(route, far=True)
        usual_s = self._peer_tracker.round_trip_s(address)
        usual_s += HEDGE_MIN_RESPONSE_TIMES * self._selector.usual_s(route, far=False)
        return max(latest, now + usual_s)


def group_remote_shards(
    shards: tuple[str, ...],
    own: Place,
    gathers: bool,
    peers: tuple[PeerBox, ...],
    selector: TargetSelector,
    peer_tracker: PeerTracker,
    now: float,
) -> list[ShardGroup]:
    """Return the shards to delegate to peers, in as few groups as possible.

    A box that gathers asks the targets of its own failure domain itself; other boxes delegate them
    to a peer there. Domains of the own region come before others. The remaining shards are
    requested directly: those with a target in the own domain, and single ones elsewhere.
    """
    remaining = {
        shard for shard in shards if not (gathers and selector.has_target_at(shard, own, now))
    }
    peers_by_place = _by_place(peer for peer in peers if peer.place != own or not gathers)
    groups: list[ShardGroup] = []
    for distance in range(OTHER_REGION_DISTANCE + 1):
        reachable_by_place = {
            place: {shard for shard in remaining if selector.has_target_at(shard, place, now)}
            for place in peers_by_place
            if _distance(place, own) == distance
        }
        for chosen, covered in _cover_greedily(
            reachable_by_place, remaining, peers_by_place, peer_tracker, now, MIN_GROUP_SHARDS
        ):
            groups.append(ShardGroup(chosen, tuple(shard for shard in shards if shard in covered)))
            remaining -= covered
    return groups


def _by_place(peers: Iterable[PeerBox]) -> dict[Place, list[PeerBox]]:
    peers_by_place: dict[Place, list[PeerBox]] = {}
    for peer in peers:
        peers_by_place.setdefault(peer.place, []).append(peer)
    return peers_by_place


def _distance(place: Place, own: Place) -> int:
    """Return 0 for the own failure domain, 1 for the own region, 2 for other regions."""
    if place == own:
        return 0
    return 1 if place.region == own.region else OTHER_REGION_DISTANCE


def _cover_greedily(
    reachable_by_place: dict[Place, set[str]],
    wanted: set[str],
    peers_by_place: dict[Place, list[PeerBox]],
    peer_tracker: PeerTracker,
    now: float,
    least: int,
) -> list[tuple[PeerBox, set[str]]]:
    """Return peers with their shards by greedy set cover, largest place first.

    Places that cover fewer than `least` of the remaining shards get none.
    """
    remaining = set(wanted)
    cover: list[tuple[PeerBox, set[str]]] = []
    while remaining and reachable_by_place:
        most = max(len(reachable & remaining) for reachable in reachable_by_place.values())
        if most < least:
            break
        # Ties go to the first place, so that the same links are used again.
        best = next(
            place
            for place, reachable in reachable_by_place.items()
            if len(reachable & remaining) == most
        )
        reachable = reachable_by_place.pop(best) & remaining
        chosen = peer_tracker.pick(peers_by_place[best], now)
        if chosen is None:
            continue
        cover.append((chosen, reachable))
        remaining -= reachable
    return cover
