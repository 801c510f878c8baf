"""The table of members with its digests; it only ever moves to newer records."""

from collections.abc import Iterable
from functools import lru_cache
from typing import Final

import xxhash

from trackwheel.fleet.const import SYNC_BUCKETS
from trackwheel.fleet.models import Member, Status

RING_SIZE: Final = 2**64
POSITIONS_KEPT: Final = 32_768


def _hash_member(member: Member) -> int:
    text = f"{member.address}|{member.boot}|{member.incarnation}|{int(member.status)}"
    return int(xxhash.xxh32_intdigest(text.encode()))


@lru_cache(maxsize=POSITIONS_KEPT)
def ring_position(address: str, ring: int = 0) -> int:
    """Return where a box stands on one of the rings that say who probes whom."""
    return int(xxhash.xxh64_intdigest(address.encode(), seed=ring))


def successors(own: str, addresses: Iterable[str], rings: int) -> list[str]:
    """Return the next address after one's own on each ring, without repeats.

    Several rings in different orders make a graph in which news reach every box in a number
    of steps that grows with the logarithm of the fleet; on one ring it would grow with it.
    """
    others = [address for address in addresses if address != own]
    found: list[str] = []
    for ring in range(rings):
        start = ring_position(own, ring)
        rest = [address for address in others if address not in found]
        if not rest:
            break
        found.append(
            min(rest, key=lambda a: (ring_position(a, ring) - start) % RING_SIZE)
        )  # noqa: B023
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

    @property
    def digest(self) -> int:
        """Return one number that differs when two tables differ."""
        return int(xxhash.xxh32_intdigest(repr(self.bucket_digests).encode()))

    def merge(self, member: Member) -> bool:
        """Take a record if it is newer; return whether it was."""
        old = self.member_by_address.get(member.address)
        if not supersedes(member, old):
            return False
        if old is not None:
            self._toggle(old)
        self.member_by_address[member.address] = member
        self._toggle(member)
        return True

    def remove(self, address: str) -> None:
        """Forget a record."""
        self._toggle(self.member_by_address.pop(address))

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
