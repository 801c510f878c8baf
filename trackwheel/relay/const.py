"""Constants of the relay."""

from typing import Final

RESPONSE_MARGIN_S: Final = 0.0105
"""Margin between the last moment to answer and the target latency: the way to and from a client
(3 ms each at the farther site) and timer inaccuracy."""

NEW_CONNECTION_MARGIN_S: Final = 0.006
"""Additional margin for the first request of a connection, which the client opened before it."""

FINAL_MARGIN_S: Final = 0.02
"""Margin between the last possible answer and the client's deadline."""

RETRY_AFTER_S: Final = 0.2
"""Retry-After of a refusal where nothing better is known."""

NO_ROUTES_RETRY_AFTER_S: Final = 0.5
"""Retry-After of a box that has no configuration yet."""

STARTUP_WAIT_SHARE: Final = 0.25
"""Share of a request's time that it waits at a box without a configuration or targets. Most boxes
have both within a second of a start, also when all start at once; the rest of the time is enough
for one more attempt of a client that is refused."""

STARTUP_MAX_WAITING: Final = 500
"""Most requests that wait for it; further ones are refused at once."""

LINK_OPEN_DELAY_S: Final = 0.3
"""How long the fleet must be unchanged before links are opened in advance: while boxes start, each
new one would change which links are wanted."""
