"""The table of members with its digests; a record is only ever replaced by a newer one."""

from bisect import bisect_left, bisect_right, insort
from functools import lru_cache
from itertools import islice
from typing import Final

import xxhash

from trackwheel.fleet.const import PROBE_RINGS, SYNC_BUCKETS
from trackwheel.fleet.models import Member, Status

RING_POSITION_CACHE_SIZE: Final = 32_768


def _hash_member(member: Member) -> int:
    text = f"{member.address}|{member.boot}|{member.incarnation}|{int(member.status)}"
    return int(xxhash.xxh32_intdigest(text.encode()))


@lru_cache(maxsize=RING_POSITION_CACHE_SIZE)
def ring_position(address: str, ring: int = 0) -> int:
    """Return the position of a box on one of the rings that decide who probes whom."""
    return int(xxhash.xxh64_intdigest(address.encode(), seed=ring))


class Rings:
    """Keep addresses sorted by their positions on some rings, for a fast search of the successor.

    Several rings in different orders form a graph in which updates reach every box in a number of
    steps that grows with the logarithm of the fleet; on one ring it would grow linearly.
    """

    def __init__(self, rings: int) -> None:
        self._positions_by_ring: list[list[tuple[int, str]]] = [[] for _ in range(rings)]

    def add(self, address: str) -> None:
        """Add an address that is not present."""
        for ring, positions in enumerate(self._positions_by_ring):
            insort(positions, (ring_position(address, ring), address))

    def remove(self, address: str) -> None:
        """Remove an address that is present."""
        for ring, positions in enumerate(self._positions_by_ring):
            del positions[bisect_left(positions, (ring_position(address, ring), address))]

    def successors(self, own: str) -> list[str]:
        """Return the successor of an address on each ring, without duplicates."""
        found: list[str] = []
        for ring, positions in enumerate(self._positions_by_ring):
            start = bisect_right(positions, (ring_position(own, ring), own))
            following = (
                positions[(start + step) % len(positions)][1] for step in range(len(positions))
            )
            unseen = (address for address in following if address != own and address not in found)
            found.extend(islice(unseen, 1))
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
        """Return whether the member at an address is known and not dead."""
        member = self.member_by_address.get(address)
        return member is not None and member.status is not Status.DEAD

    def successors(self, own: str) -> list[str]:
        """Return the present members that come next after an address on each ring."""
        return self._rings.successors(own)

    def merge(self, member: Member) -> bool:
        """Merge a record if it is newer; return whether it was."""
        old = self.member_by_address.get(member.address)
        if not supersedes(member, old):
            return False
        was_present = self.is_present(member.address)
        if old is not None:
            self._toggle(old)
        self.member_by_address[member.address] = member
        self._toggle(member)
        self._update_rings(member.address, was_present)
        return True

    def remove(self, address: str) -> None:
        """Remove a record."""
        was_present = self.is_present(address)
        self._toggle(self.member_by_address.pop(address))
        self._update_rings(address, was_present)

    def _update_rings(self, address: str, was_present: bool) -> None:
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
        # Each table drops dead records at its own time, so the digests do not include them.
        if member.status is not Status.DEAD:
            self.bucket_digests[self._bucket(member.address)] ^= _hash_member(member)
            self._digest = None
