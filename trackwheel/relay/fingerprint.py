"""What stays the same of a request from attempt to attempt and from box to box."""

from hashlib import blake2b
from typing import Final

FINGERPRINT_BYTES: Final = 12
"""Among a million requests two share a fingerprint of 96 bits with a chance of 1 in 10^17."""


def fingerprint(host: str, method: bytes, target: bytes, body: bytes) -> bytes:
    """Return what tells a request's content: same bytes for each attempt at it, at every box.

    Headers are left out: attempts differ in some of them, and a request that is sent again under
    other ones is still the same work to a target.
    """
    content = blake2b(digest_size=FINGERPRINT_BYTES)
    for field in (host.encode("latin-1", "replace"), method, target, body):
        # With its length before it no field runs into the next one.
        content.update(b"%d:" % len(field))
        content.update(field)
    return content.digest()
