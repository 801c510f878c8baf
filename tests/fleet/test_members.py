"""The table of members: its digest and its rings match its records after every change."""

import random

from trackwheel.fleet.const import PROBE_RINGS
from trackwheel.fleet.members import MemberTable, ring_position
from trackwheel.fleet.models import Member, Status


def box(number: int, incarnation: int, status: Status) -> Member:
    return Member(f"10.0.0.{number}:82", f"b{number}", "x", "r", "r-a", incarnation, status)


def expected_successors(own: str, present: list[str]) -> list[str]:
    """Return the next on each ring, found by a search of all members."""
    found: list[str] = []
    for ring in range(PROBE_RINGS):
        rest = [address for address in present if address != own and address not in found]
        start = ring_position(own, ring)
        if rest:
            found.append(min(rest, key=lambda a: (ring_position(a, ring) - start) % 2**64))
    return found


def test_rings_and_digest_follow_the_records() -> None:
    pick = random.Random(3)
    table = MemberTable()
    for step in range(1500):
        address = f"10.0.0.{pick.randrange(12)}:82"
        if pick.random() < 0.1 and address in table.member_by_address:
            table.remove(address)
        else:
            number = int(address.split(":", maxsplit=1)[0].rsplit(".", 1)[1])
            table.merge(box(number, pick.randrange(step + 1), pick.choice(list(Status))))
        present = [member.address for member in table.present()]
        fresh = MemberTable()
        for member in table.member_by_address.values():
            fresh.merge(member)
        assert table.digest == fresh.digest
        for own in (address, "10.0.0.99:82"):
            assert table.successors(own) == expected_successors(own, present)
