"""Limits and timeouts of the HTTP server and client."""

from typing import Final

MAX_PIPELINED_REQUESTS: Final = 16
"""Reading from a connection pauses while this many pipelined requests are queued."""
FIRST_STATUS: Final = 100
FIRST_FINAL_STATUS: Final = 200
LAST_STATUS: Final = 599
"""Statuses of HTTP; those below the first final one are of interim answers."""
BODILESS_STATUSES: Final = frozenset({204, 304})
"""Statuses of responses that never have a body."""
TCP_USER_TIMEOUT_MS: Final = 4_000
"""A connection whose sent data stays unacknowledged this long fails instead of hanging."""
TARGET_USER_TIMEOUT_MS: Final = 1_500
"""User timeout for connections to targets: short enough to repeat a request after a connection
stopped responding before most clients give up, and a few times the slowest round trip with
retransmissions."""
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_PERIOD_S: Final = 1
KEEPALIVE_PROBES: Final = 3
"""TCP keep-alive detects within four seconds that the peer of an idle connection has lost power or
is unreachable. Three probes, since one or two may be lost by chance on a lossy network."""
CONNECT_TIMEOUT_S: Final = 1.0
"""Timeout for opening a connection; the slowest network path takes about 30 ms."""
MAX_RECENT_REQUEST_IDS: Final = 32
"""Request ids kept per connection to detect a repeat: a request is repeated to the same target only
while it is in progress, and a connection sends far fewer requests than this in that time."""
DEFAULT_MAX_IDLE_S: Final = 4.0
"""Idle time up to which a connection is reused if the target sends no Keep-Alive timeout."""
KEEP_ALIVE_MARGIN_S: Final = 0.6
"""Subtracted from the target's Keep-Alive timeout, to avoid a race with its close."""
AT_MOST_ONCE_MAX_IDLE_S: Final = 0.8
"""Idle time up to which a connection is reused for a request that must run at most once."""
NEW_CONNECTION_GRACE_S: Final = 0.3
"""A stopping server keeps new connections open this long to receive their first request."""
MAX_HEAD_BYTES: Final = 65_536
"""Limit on the status line and headers of an answer, with the interim answers before it. Common
servers and proxies allow 8 to 64 KiB for a head."""
MAX_HEADERS: Final = 256
"""Limit on the header and trailer lines of an answer: a short one takes thirty times its size in
memory."""
MAX_FRAMING_BYTES: Final = 262_144
"""Limit on chunk sizes, chunk extensions and trailers beyond the size of the body itself. Only
chunks of a few bytes have more framing than content."""
DEFAULT_MEMORY_BYTES: Final = 256_000_000
"""Memory of a box whose settings name no limit."""
BODY_SHARE_OF_MEMORY: Final = 1 / 16
"""Limit on one body: it is copied once when it is complete, so it takes an eighth at its peak."""
RECEIVE_SHARE_OF_MEMORY: Final = 1 / 4
"""Limit on all unfinished answers together. A box in use needs up to a quarter of its memory for
itself, and the copies and decoding of complete answers need the rest."""
MIN_BODY_LIMIT_BYTES: Final = 8_000_000
"""Smallest limit on one body: a page of the store with its largest value, in base64, several
times over."""
READ_BYTES: Final = 16_384
"""Most bytes read from a client's connection at once: a head within the usual limits."""
MAX_CHUNKS_PER_READ: Final = 256
"""A read with more chunks than this takes as long as those of many other clients."""
READS_PER_TURN: Final = 4
"""Connections with much to read that are read in one iteration of the event loop."""
RECEIVE_BUFFER_BYTES: Final = 65_536
"""Receive buffer of a client's connection. The kernel would grow it to megabytes, and what has
arrived unread counts toward the memory of a box."""
REQUEST_SHARE_OF_MEMORY: Final = 1 / 8
"""Limit on the requests of all clients together, unfinished, waiting and in progress."""
ANSWER_SHARE_OF_MEMORY: Final = 1 / 8
"""Limit on the answers that all clients together have not read yet."""
WRITE_BYTES: Final = 65_536
"""Most bytes of an answer that are written at once."""
ANSWER_STALL_S: Final = 60.0
"""A connection ends if nothing of its answer is sent for this long; clients do not wait longer."""
RESERVE_SHARE_OF_REST: Final = 1 / 8
"""Part of the unreserved memory that one request in progress may take."""
CONNECTION_BYTES: Final = 4_096
"""Memory of a connection without any request."""
REQUEST_BYTES: Final = 1_024
"""Memory of a request without its content."""
HEADER_LINE_BYTES: Final = 160
"""Memory of a header line without its content: two bytes objects and their pair."""
REFUSED_RETRY_AFTER_S: Final = 1.0
"""Retry-After of a request for which a box has no memory: unfinished ones end within seconds."""
DEFAULT_MAX_CONNECTIONS: Final = 4_096
"""Connections of clients to a server without a limit of its own."""
