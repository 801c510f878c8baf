"""Constants of scatter-gather queries."""

from typing import Final

RECORD_BYTES: Final = 16
"""Size of one record in a shard's answer, as defined by the targets' interface."""

RETRY_DELAY_RESPONSE_TIMES: Final = 0.5
"""Delay before a shard that was held back is retried, in usual response times."""

LATE_RETRY_DELAY_RESPONSE_TIMES: Final = 2.0
"""The same after the target latency: speed no longer helps then, and each retry costs CPU time."""

DECLINE_RESPONSE_TIMES: Final = 2.0
"""Expected cost at which a shard is left to others, in usual response times: a hedge would be sent
at that point anyway."""

REPORT_SLACK_S: Final = 0.012
"""Tolerated delay of a peer's report, for timers and the network."""

MAX_LOGGED_SHARDS: Final = 4
"""Most shards that one log line of a query names with their reasons."""
