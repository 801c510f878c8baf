"""Headers, keys and paths of the platform, which are used in this package only."""

from typing import Final

HEADER_ATTEMPT: Final = b"x-attempt-id"
"""Id of one attempt of a client; targets return it with the answer."""
HEADER_DEADLINE: Final = b"x-deadline-ms"
"""How much longer the sender waits (milliseconds), not a point in time."""
HEADER_SIGNATURE: Final = b"x-response-stamp"
"""A target's signature of its answer; not a timestamp."""
HEADER_EXPECTED_INSTANCE: Final = b"x-expect-instance"
HEADER_LOAD: Final = b"x-server-load"
HEADER_WARMUP: Final = b"x-warmup-ms"
"""Remaining warm-up time of the target (milliseconds)."""
HEADER_NOT_RUN: Final = b"x-not-executed"
HEADER_RETRY_AFTER: Final = b"retry-after"
HEADER_PART_SIGNATURES: Final = b"x-part-stamps"
HEADER_KEY: Final = b"authorization"
KEY_SCHEME: Final = b"token"
"""Scheme of a client's key, in lower case."""
HEADER_GROUP: Final = b"x-tenant"
"""Name of the group that a target's request belongs to."""
HEADER_MISSING_PARTS: Final = b"x-missing-parts"
HEADER_ENCODING: Final = b"content-encoding"
HEADER_ERA: Final = b"store-era"
"""How often the store was restored from a copy; a store that never was may omit it."""

CONNECTION_HEADERS: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
"""Hop-by-hop headers, which are not forwarded; the content length is computed anew."""

OVERWRITTEN_HEADERS: Final = frozenset({HEADER_ATTEMPT, HEADER_DEADLINE, HEADER_EXPECTED_INSTANCE})
"""Headers of a client that are replaced in requests to targets."""

TARGET_ONLY_HEADERS: Final = frozenset({HEADER_LOAD, HEADER_NOT_RUN, HEADER_WARMUP})
"""Headers of targets that are not forwarded to clients."""

STATUS_MISDIRECTED: Final = 421
"""Another target has the address now; the request was not run."""
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
"""Statuses that guarantee a client that its request has not run and never will."""

PREFIX_OPERATOR: Final = "op/"
"""Prefix of the keys that the operator writes."""
KEY_CONFIG: Final = "op/config"
PREFIX_EVACUATIONS: Final = "op/evacuate/"
"""Followed by a failure domain; the key exists while its evacuation is requested."""
PREFIX_TARGETS: Final = "servers/"
PREFIX_HELD: Final = "held/"
"""Followed by the fingerprint of a held request in hexadecimal."""

STATE_DRAINING: Final = "draining"
KIND_SAFE: Final = "safe"

PATH_READY: Final = "/ready"
PATH_RANGE: Final = "/kv-range"
PATH_WATCH: Final = "/kv-watch"
PATH_LEASE: Final = "/kv-lease"
PATH_TRANSACTION: Final = "/kv-txn"
