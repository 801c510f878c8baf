"""Which boxes of a failure domain ask its targets, when there are many.

Where many boxes share few queries, each would know next to nothing of each target. A few of
them ask for all: their knowledge is fresh, and their connections are kept in use.
"""

from collections.abc import Iterable
from math import ceil

from trackwheel.fleet.members import ring_position
from trackwheel.relay.const import BOXES_PER_GATHERER, LEAST_GATHERERS, SMALL_DOMAIN
from trackwheel.relay.peers import PeerBox


def choose_gatherers(boxes: Iterable[PeerBox]) -> frozenset[str]:
    """Return the addresses of the boxes that ask targets; every box picks the same ones."""
    boxes_by_domain: dict[str, list[PeerBox]] = {}
    for box in boxes:
        boxes_by_domain.setdefault(box.place.failure_domain, []).append(box)
    chosen: set[str] = set()
    for found in boxes_by_domain.values():
        ranked = sorted(found, key=lambda box: ring_position(box.address))
        chosen.update(box.address for box in ranked[: _wanted(len(found))])
    return frozenset(chosen)


def _wanted(boxes: int) -> int:
    if boxes <= SMALL_DOMAIN:
        return boxes
    return max(LEAST_GATHERERS, ceil(boxes / BOXES_PER_GATHERER))
