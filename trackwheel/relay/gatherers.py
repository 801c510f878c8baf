"""Which boxes of a failure domain ask its targets, when there are many.

Where many boxes share few queries, each would know next to nothing of each target. A few of
them ask for all: their knowledge is fresh, and their connections are kept in use.

The fastest ones do: a group of 29 shards takes some 15 ms of a core, which a box with half a core
makes 30 ms of and one with two cores 7 ms, while the urgent queries have 112 ms in all.
"""

from collections.abc import Iterable

from trackwheel.fleet.members import ring_position
from trackwheel.relay.const import BOXES_PER_GATHERER, MIN_GATHERERS, SMALL_DOMAIN_BOXES
from trackwheel.relay.peers import PeerBox


def choose_gatherers(boxes: Iterable[PeerBox]) -> frozenset[str]:
    """Return the addresses of the boxes that ask targets; every box picks the same ones."""
    boxes_by_domain: dict[str, list[PeerBox]] = {}
    for box in boxes:
        boxes_by_domain.setdefault(box.place.failure_domain, []).append(box)
    return frozenset(box.address for found in boxes_by_domain.values() for box in _of_domain(found))


def _of_domain(boxes: list[PeerBox]) -> list[PeerBox]:
    """Return the fastest boxes that have the needed part of the domain's speed together."""
    if len(boxes) <= SMALL_DOMAIN_BOXES:
        return boxes
    ranked = sorted(boxes, key=lambda box: (-box.speed, ring_position(box.address)))
    needed = sum(box.speed for box in boxes) / BOXES_PER_GATHERER
    chosen: list[PeerBox] = []
    for box in ranked:
        if len(chosen) >= MIN_GATHERERS and sum(b.speed for b in chosen) >= needed:
            break
        chosen.append(box)
    return chosen
