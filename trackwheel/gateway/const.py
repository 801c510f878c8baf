"""Constants of the gateway, the API for callers."""

from typing import Final

PATH_QUERY: Final = "/v1/query"
PATH_IDS: Final = "/v1/ids"
PATH_EXECUTE: Final = "/v1/execute"

HEADER_QUERY_ID: Final = "Trackwheel-Query-Id"
HEADER_DIGEST: Final = "Trackwheel-Digest"
HEADER_RETRY_AFTER_MS: Final = "Trackwheel-Retry-After-Ms"

MAX_REQUEST_BYTES: Final = 256_000
READ_TIMEOUT_S: Final = 3.0
"""Time-out for receiving a request body."""
REQUEST_BYTES: Final = 4_096
"""Memory of a request beside its body."""
RECEIVING_BYTES: Final = 131_072
"""Memory of the buffers of a connection on which a body is being received."""
MEMORY_RETRY_AFTER_S: Final = READ_TIMEOUT_S
"""Retry-After where bodies take too much memory: unfinished ones have ended by then."""
MAX_ATTEMPTS_PER_TARGET: Final = 2
"""Sub-requests per target of an instance; each instance gets one more in total."""

MAX_VERSION_RETRIES: Final = 15
"""Additional sub-requests to an instance that is waiting for a new index version."""

HEDGE_PERCENTILE: Final = 95.0
MIN_HEDGE_DELAY_S: Final = 0.002
DEFAULT_HEDGE_DELAY_S: Final = 0.03
HEDGE_DELAY_REFRESH_S: Final = 0.25
LATENCY_WINDOW_S: Final = 5.0
LATENCY_SMOOTHING: Final = 0.2
SCORE_HALF_LIFE_S: Final = 3.0
SCORE_JITTER: Final = 0.15
QUEUE_DELAY_TTL_S: Final = 0.25
EJECTION_TTL_S: Final = 0.5
LEAVING_TTL_S: Final = 1.0
"""How long a gateway skips a leaving target before it asks the owner again.

Only the owner sees the target come back, and its refusal costs the target nothing. Under a load
average of 16 on 8 cores, four returned targets got work again after 0.1 to 1.1 s; with 3 s they
got it after 0.3 to 3.0 s, and after 6 s when the owner failed to read one health page."""
TARGET_STATS_TTL_S: Final = 600.0

BUDGET_INITIAL: Final = 10.0
BUDGET_MAX: Final = 100.0
BUDGET_MAX_DEBT: Final = 10.0

PING_AFTER_S: Final = 0.015
OWNER_TIMEOUT_S: Final = 0.055
"""An owner is bypassed if it leaves a ping unanswered for OWNER_TIMEOUT_S - PING_AFTER_S."""

VERSION_RETRY_MIN_S: Final = 0.005
VERSION_RETRY_MAX_S: Final = 0.05

WINDOW_INITIAL: Final = 32.0
WINDOW_MIN: Final = 1.0
WINDOW_MAX: Final = 10_000.0
WINDOW_DECREASE_FACTOR: Final = 0.85
WINDOW_DELAY_FRACTION: Final = 0.35
"""Fraction of the deadline that the longest queue delay may take before the window shrinks."""
MIN_RETRY_AFTER_S: Final = 0.05
MAX_RETRY_AFTER_S: Final = 30.0
RETRY_AFTER_JITTER: Final = 1.0
"""Upper bound of the random extra delay in Retry-After, relative to the delay that is needed."""

ID_LIFETIME_S: Final = 600.0
MAX_IDS_PER_REQUEST: Final = 1000
MAX_RECORDS: Final = 200_000
FORWARD_TIMEOUT_S: Final = 25.0
MAX_DEADLINE_S: Final = 60.0
