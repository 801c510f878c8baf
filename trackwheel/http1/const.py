"""Numbers of the HTTP edge."""

from typing import Final

MAX_WAITING_REQUESTS: Final = 16
"""Pipelined requests that one connection may have waiting before it is read no further."""
CLOSE_DELIMITED_STATUSES: Final = frozenset({204, 304})
"""Statuses whose answers never have a body."""
TCP_USER_TIMEOUT_MS: Final = 4_000
"""How long sent bytes may stay unacknowledged; a silent link is then an error, not a wait."""
TARGET_USER_TIMEOUT_MS: Final = 1_500
"""The same for a request to a target: on a connection that has gone silent it can be asked again
before most clients leave. A few times the slowest way there and back, with packets sent again."""
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_PERIOD_S: Final = 1
KEEPALIVE_PROBES: Final = 3
"""TCP keep-alive finds within four seconds that a peer lost power, or that its connection has gone
silent, where nothing is sent. Three probes: on a lossy link one or two are lost by chance."""
CONNECT_TIMEOUT_S: Final = 1.0
"""Longest wait for a new connection; the slowest path today takes some 30 ms."""
CARRIED_KEPT: Final = 32
"""How many requests a connection remembers: far more than it carries while one is under way, and
only then is one sent to the same target again."""
DEFAULT_REUSE_S: Final = 4.0
"""How long an idle connection is reused when its target tells no time."""
REUSE_MARGIN_S: Final = 0.6
"""Taken off the idle time that a target tells, so as not to meet its close."""
ONCE_REUSE_S: Final = 0.8
"""How long idle a connection may have been for a request that must not run twice."""
FIRST_REQUEST_WAIT_S: Final = 0.3
"""How long a stopping server leaves a new connection open on which nothing came yet."""
