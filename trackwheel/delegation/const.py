"""Constants of the delegation of groups of shards."""

from typing import Final

ACCEPT_SLACK_S: Final = 0.04
"""Time beyond the usual round trip within which a peer has to accept a query."""

INITIAL_ROUND_TRIP_S: Final = 0.03
"""Round trip to a peer before the first measurement."""

ROUND_TRIP_WEIGHT: Final = 0.2
"""Weight of the newest sample in a peer's round trip."""

PEER_AVOID_S: Final = 1.5
"""How long a peer that did not accept a query is avoided."""

PEERS_IN_ROTATION: Final = 2
"""Peers of one failure domain to which a box delegates shards in rotation: when one stops
responding, the other is known to be alive."""

REPORT_MARGIN_S: Final = 0.003
"""Time by which a peer's second report should precede the last moment to answer."""

MIN_GROUP_SHARDS: Final = 2
"""Fewer remote shards are requested directly: a message to a peer would not be smaller."""

MIN_REGROUP_SHARDS: Final = 1
"""The same for late shards: even one goes through a peer, which is connected to the target."""

SMALL_DOMAIN_BOXES: Final = 4
"""Size of a failure domain up to which all of its boxes are gatherers."""

BOXES_PER_GATHERER: Final = 5
"""Boxes for each gatherer in larger failure domains; where processor speeds differ, the gatherers
have this part of the domain's total speed."""

MIN_GATHERERS: Final = 2
"""Fewest gatherers in a larger failure domain, since one may fail."""
