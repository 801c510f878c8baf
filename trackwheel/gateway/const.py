"""Numbers and names of the callers' side."""

from typing import Final

PATH_QUERY: Final = "/v1/query"
PATH_IDS: Final = "/v1/ids"
PATH_EXECUTE: Final = "/v1/execute"

HEADER_QUERY_ID: Final = "Trackwheel-Query-Id"
HEADER_DIGEST: Final = "Trackwheel-Digest"
HEADER_RETRY_AFTER_MS: Final = "Trackwheel-Retry-After-Ms"

MAX_REQUEST_BYTES: Final = 256_000
READ_TIMEOUT_S: Final = 3.0
"""How long a caller may take to send a request's body."""
MAX_ASK_RATIO: Final = 2
"""Each instance is asked at most this many times for each of its targets, and once more."""

MAX_VERSION_WAITS: Final = 15
"""How often more an instance is asked whether a new version has come to it meanwhile."""

HEDGE_PERCENTILE: Final = 95.0
LEAST_HEDGE_S: Final = 0.002
DEFAULT_HEDGE_S: Final = 0.03
HEDGE_REFRESH_S: Final = 0.25
LATENCY_WINDOW_S: Final = 5.0
LATENCY_SMOOTHING: Final = 0.2
SCORE_HALF_LIFE_S: Final = 3.0
SCORE_NOISE: Final = 0.15
DELAY_VALID_S: Final = 0.25
EJECTED_VALID_S: Final = 0.5
LEAVING_VALID_S: Final = 1.0
"""How long a gateway leaves a target out that is leaving, before it asks the owner again, which
alone sees the target come back and refuses at no cost to it. Beside a load of 16 on 8 cores four
returned targets had work again after 0.1 to 1.1 s; with 3 s, after 0.3 to 3.0 s, and one page that
the owner could not read made that six."""
NOTES_LIFETIME_S: Final = 600.0

BUDGET_START: Final = 10.0
BUDGET_CAP: Final = 100.0
BUDGET_DEBT: Final = 10.0

PING_AFTER_S: Final = 0.015
SILENT_AFTER_S: Final = 0.055
"""An owner that does not answer a ping within the difference is passed over."""

VERSION_RETRY_FIRST_S: Final = 0.005
VERSION_RETRY_LAST_S: Final = 0.05

WINDOW_START: Final = 32.0
WINDOW_LEAST: Final = 1.0
WINDOW_MOST: Final = 10_000.0
WINDOW_BACK_OFF: Final = 0.85
WINDOW_DELAY_PART: Final = 0.35
"""The part of the deadline that the slowest queue may use before the window shrinks."""
LEAST_RETRY_AFTER_S: Final = 0.05
MOST_RETRY_AFTER_S: Final = 30.0
RETRY_SPREAD: Final = 1.0
"""Callers are told to return up to this many times later than needed, at random."""

ID_LIFETIME_S: Final = 600.0
MAX_IDS_PER_CALL: Final = 1000
MAX_REMEMBERED: Final = 200_000
FORWARD_TIMEOUT_S: Final = 25.0
MAX_DEADLINE_S: Final = 60.0
