"""The platform's names: headers, fields, keys and paths, each decoded in this folder only."""

from typing import Final

HEADER_ATTEMPT: Final = b"x-attempt-id"
"""Names one attempt of a client; targets bring it back."""
HEADER_DEADLINE: Final = b"x-deadline-ms"
"""Milliseconds that the sender still waits, not a point in time."""
HEADER_SIGNATURE: Final = b"x-response-stamp"
"""A target's signature of its answer; not a time stamp."""
HEADER_EXPECTED: Final = b"x-expect-instance"
HEADER_LOAD: Final = b"x-server-load"
HEADER_COLD: Final = b"x-warmup-ms"
"""How much longer the target stays cold (milliseconds)."""
HEADER_NOT_RUN: Final = b"x-not-executed"
HEADER_RETRY_AFTER: Final = b"retry-after"
HEADER_PARTS: Final = b"x-part-stamps"
HEADER_MISSING: Final = b"x-missing-parts"
HEADER_ENCODING: Final = b"content-encoding"
HEADER_ERA: Final = b"store-era"
"""How often the store has come back from a copy; a store that never does may not say it."""

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
"""Headers that concern one connection only; lengths are written anew."""

SET_HEADERS: Final = frozenset({HEADER_ATTEMPT, HEADER_DEADLINE, HEADER_EXPECTED})
"""Headers that are written anew towards targets."""

TARGET_HEADERS: Final = frozenset({HEADER_LOAD, HEADER_NOT_RUN, HEADER_COLD})
"""Headers of targets that clients do not get."""

STATUS_ELSEWHERE: Final = 421
"""Another target has the address; the request was not run."""
PROMISES: Final = frozenset({408, 421, 429, 503})
"""Statuses that promise a client that its request has not run and never will."""

PREFIX_ORDERS: Final = "op/"
"""Where the operator writes."""
KEY_CONFIG: Final = "op/config"
PREFIX_EVACUATIONS: Final = "op/evacuate/"
"""Followed by a failure domain; the key is there as long as its evacuation is asked for."""
PREFIX_TARGETS: Final = "servers/"
PREFIX_HELD: Final = "held/"
"""Followed by the fingerprint of a request that is kept from targets, in hexadecimal."""

STATE_DRAINING: Final = "draining"
KIND_SAFE: Final = "safe"

PATH_READY: Final = "/ready"
PATH_RANGE: Final = "/kv-range"
PATH_WATCH: Final = "/kv-watch"
PATH_LEASE: Final = "/kv-lease"
PATH_CHANGE: Final = "/kv-txn"
