"""Numbers of a box on the platform."""

from typing import Final

from trackwheel.fleet.membership import Timing
from trackwheel.routing.models import Limits

TIMING: Final = Timing(2.0, 0.5, 1.5, gossip_sends=1)
"""Probe period, wait for its answer, suspicion (seconds) and tellings of rumours of the membership.

Requests go around a peer that shows no life after 40 ms, whatever the membership says, so that
probes may be rare: at 0.5 s they were more than half of the bytes between 60 boxes. Links lose
nothing, and digests find what a rumour missed, so that each is told once for a doubling."""
WATCHERS_PER_DOMAIN: Final = 1
"""Boxes of one failure domain that read the store while all is well."""
FIRST_LIMITS: Final = Limits(16_384, 262_144, 3.0, 15.0)
"""What clients may send before a configuration is known."""
METRICS_VARIABLE: Final = "TRACKWHEEL_METRICS_PORT"
"""Environment variable with the port of the figures; without it none are served."""
PATH_METRICS: Final = b"/metrics"
BACKLOG: Final = 1024
LEAST_LINGER_S: Final = 3.2
"""A stopping box serves on at least so long: clients are sent to it until two checks missed."""
STOP_MARGIN_S: Final = 0.15
"""Time kept between the last answer of a stopping box and the platform's kill."""
CLOSE_WAIT_S: Final = 0.05
STOP_LOOK_S: Final = 0.05
SUMMARY_PERIOD_S: Final = 10.0
"""How often a box writes its counts."""
