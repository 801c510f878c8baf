"""Which shards of a query are handed to which peers, decided without I/O."""

from collections.abc import Iterable, Iterator
from math import log
from typing import Final, NamedTuple

from trackwheel.fleet.members import ring_position
from trackwheel.relay.const import (
    ACCEPT_SLACK_S,
    HEDGE_MIN_RESPONSE_TIMES,
    HEDGE_RESERVE_RESPONSE_TIMES,
    MIN_GROUP_SHARDS,
    MIN_REGROUP_SHARDS,
    PEERS_IN_ROTATION,
)
from trackwheel.relay.gather_models import GatherPlan, GroupPlan
from trackwheel.relay.models import Place, RouteKey
from trackwheel.relay.peers import PeerBox, PeerTracker
from trackwheel.relay.target_selector import TargetSelector

RING_PLACES: Final = 2**64
FARTHEST: Final = 2
"""Distance of a place in another region."""


class ShardGroup(NamedTuple):
    """Some shards and the peer beside their targets."""

    peer: PeerBox
    shards: tuple[str, ...]


class GroupPlanner:
    """Divide the shards of a query among this box and the peers beside their targets."""

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
        """Take the boxes to which shards may be handed, and whether this box asks targets."""
        self._peers = tuple(
            sorted(peers, key=lambda p: (self._own_order(p.place.region), self._own_rank(p)))
        )
        self._gathers = gathers

    def first_groups(
        self, shards: tuple[str, ...], route: RouteKey, answer_at: float, now: float
    ) -> tuple[GroupPlan, ...]:
        """Return the groups that peers ask for first; what is left out is asked directly."""
        groups = group_far_shards(
            shards,
            self._own,
            self._gathers and route.allows(self._own.region),
            self._peers_for(route),
            self._selector,
            self._peer_tracker,
            now,
        )
        return tuple(self._plan(group, route, answer_at, False, now) for group in groups)

    def groups_elsewhere(
        self,
        tried_by_shard: dict[str, frozenset[str]],
        plan: GatherPlan,
        repeat: bool,
        now: float,
    ) -> tuple[GroupPlan, ...]:
        """Return groups beside targets that were not tried, for shards late, failed or declined.

        `repeat` says whether targets were asked for the shards before.
        """
        gathers = self._gathers and plan.route.allows(self._own.region)
        left = {
            shard
            for shard, tried in tried_by_shard.items()
            if not (gathers and self._selector.has_target_at(shard, self._own, now, tried))
        }
        groups: list[ShardGroup] = []
        for peers_by_place in self._by_nearness(plan.route):
            held_by_place = {
                place: {
                    shard
                    for shard in left
                    if self._selector.has_target_at(shard, place, now, tried_by_shard[shard])
                }
                for place in peers_by_place
            }
            for peer, held in _fewest(
                held_by_place, left, peers_by_place, self._peer_tracker, now, MIN_REGROUP_SHARDS
            ):
                groups.append(ShardGroup(peer, tuple(sorted(held))))
                left -= held
        return tuple(self._plan(group, plan.route, plan.answer_at, repeat, now) for group in groups)

    def _plan(
        self, group: ShardGroup, route: RouteKey, answer_at: float, repeat: bool, now: float
    ) -> GroupPlan:
        """Return a group with the times at which its peer should have accepted and reported."""
        address = group.peer.address
        accept_by = now + self._peer_tracker.round_trip_s(address) + ACCEPT_SLACK_S
        report_by = self._report_by(route, address, answer_at, now)
        return GroupPlan(address, group.peer.place, group.shards, accept_by, report_by, repeat)

    def links_wanted(self) -> list[str]:
        """Return the peers to which links should stand before there is work for them.

        Those that this box hands its shards to, in the own region and in the one other region that
        it prefers: it takes three ways there and back to open a link, which is more than a late
        shard has left, and most of what an urgent query has.
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
        """Return the other region to which this box turns first; each box has its own."""
        others = {peer.place.region for peer in self._peers} - {self._own.region}
        return min(others, key=self._own_order, default=self._own.region)

    def _own_order(self, name: str) -> int:
        return ring_position(f"{self._own_address}/{name}")

    def _own_rank(self, peer: PeerBox) -> float:
        """Return a peer's place in this box's own order; faster ones come first more often.

        The first of several exponential times with the speeds as rates is each one's with a chance
        that is its part of all speed.
        """
        chance = (self._own_order(peer.address) + 1) / RING_PLACES
        return -log(chance) / peer.speed

    def _peers_for(self, route: RouteKey) -> tuple[PeerBox, ...]:
        """Return the peers that may see a request: what it holds goes to no box outside its homes.

        Not even to one of this box's own region: its client may have come from another one.
        """
        if not route.homes:
            return self._peers
        return tuple(peer for peer in self._peers if route.allows(peer.place.region))

    def _by_nearness(self, route: RouteKey) -> Iterator[dict[Place, list[PeerBox]]]:
        """Give the peers by place, near ones first, and those with a link before others."""
        allowed = self._peers_for(route)
        for distance in range(FARTHEST + 1):
            near = [peer for peer in allowed if _distance(peer.place, self._own) == distance]
            yield _by_place(self._peer_tracker.with_link(near))
            yield _by_place(near)

    def _report_by(self, route: RouteKey, address: str, answer_at: float, now: float) -> float:
        """Return when a peer reports what is in: other targets can then still be asked."""
        latest = answer_at - HEDGE_RESERVE_RESPONSE_TIMES * self._selector.usual_s(route, far=True)
        usual_s = self._peer_tracker.round_trip_s(address)
        usual_s += HEDGE_MIN_RESPONSE_TIMES * self._selector.usual_s(route, far=False)
        return max(latest, now + usual_s)


def group_far_shards(
    shards: tuple[str, ...],
    own: Place,
    gathers: bool,
    peers: tuple[PeerBox, ...],
    selector: TargetSelector,
    peer_tracker: PeerTracker,
    now: float,
) -> list[ShardGroup]:
    """Return the shards that peers ask for this box, in as few groups as will do.

    A box that gathers asks the targets of its own failure domain itself; another one leaves them
    to a peer there. Domains of the own region come before others. What is left out is asked
    directly: shards with a target in the own domain, and single ones elsewhere.
    """
    left = {shard for shard in shards if not (gathers and selector.has_target_at(shard, own, now))}
    peers_by_place = _by_place(peer for peer in peers if peer.place != own or not gathers)
    groups: list[ShardGroup] = []
    for distance in range(FARTHEST + 1):
        held_by_place = {
            place: {shard for shard in left if selector.has_target_at(shard, place, now)}
            for place in peers_by_place
            if _distance(place, own) == distance
        }
        for chosen, held in _fewest(
            held_by_place, left, peers_by_place, peer_tracker, now, MIN_GROUP_SHARDS
        ):
            groups.append(ShardGroup(chosen, tuple(shard for shard in shards if shard in held)))
            left -= held
    return groups


def _by_place(peers: Iterable[PeerBox]) -> dict[Place, list[PeerBox]]:
    peers_by_place: dict[Place, list[PeerBox]] = {}
    for peer in peers:
        peers_by_place.setdefault(peer.place, []).append(peer)
    return peers_by_place


def _distance(place: Place, own: Place) -> int:
    """Return 0 for the own failure domain, 1 for the own region, 2 for others."""
    if place == own:
        return 0
    return 1 if place.region == own.region else FARTHEST


def _fewest(
    held_by_place: dict[Place, set[str]],
    wanted: set[str],
    peers_by_place: dict[Place, list[PeerBox]],
    peer_tracker: PeerTracker,
    now: float,
    least: int,
) -> list[tuple[PeerBox, set[str]]]:
    """Return peers and what each is to gather, the place that holds most of the rest first.

    Places that hold fewer of the shards than `least` get none.
    """
    left = set(wanted)
    found: list[tuple[PeerBox, set[str]]] = []
    while left and held_by_place:
        most = max(len(held & left) for held in held_by_place.values())
        if most < least:
            break
        # Of places that hold as many the first one, so that the same links are used again.
        best = next(place for place, held in held_by_place.items() if len(held & left) == most)
        held = held_by_place.pop(best) & left
        chosen = peer_tracker.pick(peers_by_place[best], now)
        if chosen is None:
            continue
        found.append((chosen, held))
        left -= held
    return found
