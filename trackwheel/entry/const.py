"""Constants of a box on the platform."""

from typing import Final

from trackwheel.fleet.membership import Timing
from trackwheel.routing.models import Limits

TIMING: Final = Timing(2.0, 0.5, 1.5, gossip_sends=1)
"""Probe period, probe time-out and suspicion time-out (seconds), and sends per gossip update.

Probes may be infrequent because requests avoid a peer that has been silent for 40 ms, whatever its
membership state; with a period of 0.5 s they were more than half of the bytes between 60 boxes.
One send of an update per doubling of the fleet is enough, because the links lose no messages and
digests repair missed updates."""
WATCHERS_PER_DOMAIN: Final = 1
"""Boxes per failure domain that read the store while there is no fault."""
DEFAULT_LIMITS: Final = Limits(16_384, 262_144, 3.0, 15.0)
"""Limits on client requests until a configuration is known."""
METRICS_VARIABLE: Final = "TRACKWHEEL_METRICS_PORT"
"""Environment variable with the port of the metrics; if it is unset, no metrics are served."""
PATH_METRICS: Final = b"/metrics"
BACKLOG: Final = 1024
MIN_CLIENT_DRAIN_S: Final = 3.2
"""Minimum time that a stopping box accepts clients, who are sent to it until two readiness checks
have failed."""
ANSWER_MARGIN_S: Final = 0.3
"""Time between the last response of a stopping box and the platform's kill: enough to write all
responses and to refuse the requests of connections that were accepted last."""
STOP_MARGIN_S: Final = 0.15
"""Time between the end of the last connection of a stopping box and the platform's kill."""
LAST_ACCEPT_S: Final = 0.02
"""How long the listening socket stays open after the last response: connections that the kernel
has accepted are read and refused; they would be reset when the socket closes."""
CLOSE_WAIT_S: Final = 0.05
STOP_POLL_PERIOD_S: Final = 0.05
SUMMARY_PERIOD_S: Final = 10.0
"""Interval between the summary lines of the log."""
CLIENT_SHARE_OF_SOCKETS: Final = 3 / 4
"""Part of a box's sockets that clients may use; the rest is for targets, peers and the store."""
OWN_CONNECTIONS: Final = 16
"""Connections to the readiness address, and to the metrics: the platform asks once a second."""
