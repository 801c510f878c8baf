"""Identification of the group that a request belongs to, by its key."""

from collections.abc import Mapping, Sequence
from enum import Enum
from hashlib import sha256
from typing import TypeVar

from trackwheel.groups.models import Group, GroupTable

G = TypeVar("G")


class KeyProblem(Enum):
    """Why a request is refused for its key."""

    MISSING = "the request carries no key"
    UNKNOWN = "the key belongs to no group"


def read_key(credentials: Sequence[bytes], scheme: bytes) -> bytes | None:
    """Return the key in a request's credentials; None without exactly one of the scheme.

    `scheme` is in lower case. Of two credentials none is chosen: what stands before this box may
    have checked the other one.
    """
    if len(credentials) != 1:
        return None
    given, _, key = credentials[0].strip().partition(b" ")
    return key.strip() or None if given.lower() == scheme else None


def key_digest(key: bytes) -> bytes:
    """Return the digest by which a key is looked up; the time depends on its length only."""
    return sha256(key).digest()


def find_group(group_by_key_digest: Mapping[bytes, G], key: bytes) -> G | None:
    """Return the group that a key belongs to, None if there is none."""
    return group_by_key_digest.get(key_digest(key))


def identify(table: GroupTable, key: bytes | None, public: bool) -> Group | None | KeyProblem:
    """Return the group of a request, None for one that needs no key and has none, or a problem.

    `public` tells that the route needs no key; an unknown key is refused there as well.
    """
    if key is None:
        return None if public else KeyProblem.MISSING
    return find_group(table.group_by_key_digest, key) or KeyProblem.UNKNOWN
