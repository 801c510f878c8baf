"""Identification of the group that a request belongs to, by its key."""

from enum import Enum
from hashlib import sha256

from trackwheel.groups.models import Group, GroupTable


class KeyProblem(Enum):
    """Why a request is refused for its key."""

    MISSING = "the request carries no key"
    UNKNOWN = "the key belongs to no group"


def key_digest(key: bytes) -> bytes:
    """Return the digest by which a key is looked up; the time depends on its length only."""
    return sha256(key).digest()


def identify(table: GroupTable, key: bytes | None, public: bool) -> Group | None | KeyProblem:
    """Return the group of a request, None for one that needs no key and has none, or a problem.

    `public` tells that the route needs no key; an unknown key is refused there as well.
    """
    if key is None:
        return None if public else KeyProblem.MISSING
    return table.group_by_key_digest.get(key_digest(key), KeyProblem.UNKNOWN)
