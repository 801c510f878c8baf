"""Choice of the gatherers: the boxes of a failure domain that send requests to its targets.

If many boxes shared few queries, each would have little recent data on each target. A few boxes
therefore gather for all: their data is recent and their connections stay in use.

The fastest boxes are chosen: a group of 29 shards takes some 15 ms of CPU time on one core, which
is 30 ms on a box with half a core and 7 ms on one with two, while urgent queries have 112 ms in
all.
"""

from collections.abc import Iterable

from trackwheel.delegation.const import BOXES_PER_GATHERER, MIN_GATHERERS, SMALL_DOMAIN_BOXES
from trackwheel.delegation.peers import PeerBox
from trackwheel.fleet.members import ring_position


def choose_gatherers(boxes: Iterable[PeerBox]) -> frozenset[str]:
    """Return the addresses of the gatherers; every box computes the same ones."""
    boxes_by_domain: dict[str, list[PeerBox]] = {}
    for box in boxes:
        boxes_by_domain.setdefault(box.place.failure_domain, []).append(box)
    return frozenset(box.address for found in boxes_by_domain.values() for box in _of_domain(found))


def _of_domain(boxes: list[PeerBox]) -> list[PeerBox]:
    """Return the fastest boxes that together have the needed part of the domain's speed."""
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
