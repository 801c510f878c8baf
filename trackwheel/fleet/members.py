"""The table of members with its digests; it only ever moves to newer records."""

from bisect import bisect_left, bisect_right, insort
from functools import lru_cache
from itertools import islice
from typing import Final

import xxhash

from trackwheel.fleet.const import PROBE_RINGS, SYNC_BUCKETS
from trackwheel.fleet.models import Member, Status

POSITIONS_KEPT: Final = 32_768


def _hash_member(member: Member) -> int:
    text = f"{member.address}|{member.boot}|{member.incarnation}|{int(member.status)}"
    return int(xxhash.xxh32_intdigest(text.encode()))


@lru_cache(maxsize=POSITIONS_KEPT)
def ring_position(address: str, ring: int = 0) -> int:
    """Return where a box stands on one of the rings that say who probes whom."""
    return int(xxhash.xxh64_intdigest(address.encode(), seed=ring))


class Rings:
    """Keep addresses in the order of some rings, so that the next one is found at once.

    Several rings in different orders make a graph in which news reach every box in a number
    of steps that grows with the logarithm of the fleet; on one ring it would grow with it.
    """

    def __init__(self, rings: int) -> None:
        self._places_by_ring: list[list[tuple[int, str]]] = [[] for _ in range(rings)]

    def add(self, address: str) -> None:
        """Take an address that is not there yet."""
        for ring, places in enumerate(self._places_by_ring):
            insort(places, (ring_position(address, ring), address))

    def remove(self, address: str) -> None:
        """Drop an address that is there."""
        for ring, places in enumerate(self._places_by_ring):
            del places[bisect_left(places, (ring_position(address, ring), address))]

    def successors(self, own: str) -> list[str]:
        """Return the next address after one's own on each ring, without repeats."""
        found: list[str] = []
        for ring, places in enumerate(self._places_by_ring):
            start = bisect_right(places, (ring_position(own, ring), own))
            following = (places[(start + step) % len(places)][1] for step in range(len(places)))
            fresh = (address for address in following if address != own and address not in found)
            found.extend(islice(fresh, 1))
        return found


def supersedes(new: Member, old: Member | None) -> bool:
    """Return whether a record is newer than another one of the same address."""
    if old is None:
        return True
    newer = (new.incarnation, new.status, new.boot)
    return newer > (old.incarnation, old.status, old.boot)


class MemberTable:
    """Hold one record for each address, and digests by which two tables are compared."""

    def __init__(self) -> None:
        self.member_by_address: dict[str, Member] = {}
        self.bucket_digests = [0] * SYNC_BUCKETS
        self._rings = Rings(PROBE_RINGS)
        self._digest: int | None = None

    @property
    def digest(self) -> int:
        """Return one number that differs when two tables differ."""
        if self._digest is None:
            self._digest = int(xxhash.xxh32_intdigest(repr(self.bucket_digests).encode()))
        return self._digest

    def is_present(self, address: str) -> bool:
        """Return whether an address has a member that is not dead."""
        member = self.member_by_address.get(address)
        return member is not None and member.status is not Status.DEAD

    def successors(self, own: str) -> list[str]:
        """Return the present members that come next after an address on each ring."""
        return self._rings.successors(own)

    def merge(self, member: Member) -> bool:
        """Take a record if it is newer; return whether it was."""
        old = self.member_by_address.get(member.address)
        if not supersedes(member, old):
            return False
        was_present = self.is_present(member.address)
        if old is not None:
            self._toggle(old)
        self.member_by_address[member.address] = member
        self._toggle(member)
        self._keep_rings(member.address, was_present)
        return True

    def remove(self, address: str) -> None:
        """Forget a record."""
        was_present = self.is_present(address)
        self._toggle(self.member_by_address.pop(address))
        self._keep_rings(address, was_present)

    def _keep_rings(self, address: str, was_present: bool) -> None:
        present = self.is_present(address)
        if present and not was_present:
            self._rings.add(address)
        elif was_present and not present:
            self._rings.remove(address)

    def present(self) -> list[Member]:
        """Return all members that are not dead."""
        return [m for m in self.member_by_address.values() if m.status is not Status.DEAD]

    def in_buckets(self, buckets: set[int]) -> list[Member]:
        """Return the records of some buckets."""
        return [
            member
            for member in self.member_by_address.values()
            if self._bucket(member.address) in buckets
        ]

    def _bucket(self, address: str) -> int:
        return ring_position(address) % SYNC_BUCKETS

    def _toggle(self, member: Member) -> None:
        # Dead records leave each table at its own time, so digests pass over them.
        if member.status is not Status.DEAD:
            self.bucket_digests[self._bucket(member.address)] ^= _hash_member(member)
            self._digest = None
