"""Choice of the counting boxes; all boxes that see the same members choose the same ones."""

from collections.abc import Iterable

from trackwheel.fleet.members import ring_position
from trackwheel.fleet.models import Member, Status


def choose_counting_boxes(
    members: Iterable[Member], gatherers: frozenset[str]
) -> dict[str, Member]:
    """Return the counting box of each failure domain: the oldest of its gatherers.

    An incarnation begins as the time of the start, so that a box that restarts does not become the
    counting box again.
    """
    counter_by_domain: dict[str, Member] = {}
    for member in sorted(members, key=lambda m: (m.incarnation, ring_position(m.address))):
        if member.status is Status.ALIVE and member.address in gatherers:
            counter_by_domain.setdefault(member.failure_domain, member)
    return counter_by_domain
