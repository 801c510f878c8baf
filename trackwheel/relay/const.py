"""Numbers of the decisions about one request."""

from typing import Final

RECORD_BYTES: Final = 16
"""Size of one record in the answer of a shard, as the targets' interface has it."""

RESPONSE_TIME_SAMPLES: Final = 128
"""Answers of one route from which its usual time is worked out."""
RESPONSE_TIME_REFRESH_SAMPLES: Final = 8
"""After so many new answers the usual time is worked out anew."""
INITIAL_RESPONSE_TIME_SHARE: Final = 0.2
"""Share of the aim that an answer is thought to take before any was seen."""

SLOWER_WEIGHT: Final = 0.3
"""Weight of an answer that was slower than its target is thought to be: one may be a pause."""
FASTER_WEIGHT: Final = 0.7
"""Weight of an answer that was faster: a pause is over with the first quick answer."""
MAX_SLOWNESS: Final = 10.0
"""More than this an answer's slowness does not count."""
SLOWNESS_HALF_LIFE_S: Final = 3.0
"""How fast old knowledge of a slow target fades, so that it is tried again."""
FAILURE_WEIGHT: Final = 0.25
"""Weight of the newest end in a target's failure rate."""
FAILURE_HALF_LIFE_S: Final = 2.0
"""How fast an old failure rate fades."""
FAILURE_COST_AIMS: Final = 1.0
"""What a certain failure costs in the choice of a target, in aims of the route."""
COLD_FACTOR: Final = 1.6
"""How much longer a target that has just started takes, as the users' targets do."""
LOAD_REPORT_LIFETIME_S: Final = 0.3
"""How long the load that a target told counts; ten times the usual work."""
STALL_FACTOR: Final = 3.0
"""An answer later than this many usual times makes its target look stalled."""
FAR_COST_AIMS: Final = 0.25
"""What the bytes of an answer from another region cost in the choice, in aims of the route."""
OTHER_DOMAIN_COST_AIMS: Final = 0.03
"""The same for another failure domain of the own region."""
COST_JITTER: Final = 0.1
"""Relative spread that keeps boxes from choosing the same target at once."""
EJECT_AFTER_FAILURES: Final = 2
"""Failures in a row after which a target is used only when no other is left."""
EJECT_S: Final = 0.5
"""First time out of use; doubles with each further failure."""
MAX_EJECT_S: Final = 4.0
"""Longest time out of use: a restarted target must get work again within seconds."""
DISCONNECT_EJECT_S: Final = 1.0
"""Time out of use after a connection could not be opened."""

CONNECT_BACKOFF_S: Final = 0.05
"""Time in which a target that refused a connection is not asked again; doubles with each refusal in
a row. Without it a shard whose targets were all down was asked eight times within milliseconds by
each query: 1,417 of 2,031 failed connections of a day on 195 boxes were such second tries."""
MAX_CONNECT_BACKOFF_S: Final = 0.4
"""The longest of these rests: after so long a target that is back is found."""
REPORTED_DOWN_S: Final = 1.0
"""How long a target that another box found down is a last resort here, from the failed connection
on; as long as after a failure of the own."""
DOWN_REPORT_INTERVAL_S: Final = 0.5
"""Time before a box tells once more that a target is down, or asks what it was told."""
DOWN_REPORT_MAX_BOXES: Final = 16
"""Boxes that are told at most; those beside the same targets are a few of each failure domain."""
DOWN_REPORT_DISTRUST_S: Final = 10.0
"""How long the news of a box are passed over after a target that it called down answered here: it
may be cut off itself, and would keep living targets out of use."""
REPLACED_EJECT_S: Final = 30.0
"""Time in which a target is not asked at all after another one answered at its address. It is gone,
since a restarted target has a new name; one wrong answer should not lose it for good."""
HEDGE_MIN_RESPONSE_TIMES: Final = 2.0
"""A second target is asked no sooner than after this many usual times."""
HEDGE_RESERVE_RESPONSE_TIMES: Final = 2.5
"""So many usual times of the second target are left before the aim when it is asked."""
MAX_SENDS: Final = 8
"""Sends of one request, or of one shard of a query, whatever became of the earlier ones."""
RETRY_DELAY_RESPONSE_TIMES: Final = 0.5
"""Usual times after which a shard that was held back is looked at again."""
LATE_RETRY_DELAY_RESPONSE_TIMES: Final = 2.0
"""The same once the aim is over: nobody gains by haste then, and each look costs processor time."""
REFUSAL_BACKOFF_RESPONSE_TIMES: Final = 0.5
"""Usual times before a shard is asked again that all its targets refused; doubles each time.
While half of the targets shed six in ten requests for nine seconds, 15 answers failed and not 66,
which had been given up after some 20 ms (one pair of runs under the same load)."""
BUDGET_RESERVE_SHARE: Final = 0.25
"""Part of the allowance of repeats that is kept for those without which an answer fails. A needed
shard brings its whole answer, another one the share that it adds. Under the same load 0.93 of all
that could be answered in time was answered so in the two worst seconds, 0.88 without a reserve."""
DECLINE_RESPONSE_TIMES: Final = 2.0
"""A shard is left to others when its target here costs so many usual times: that is when a second
target would be asked anyway."""
RESPONSE_MARGIN_S: Final = 0.0105
"""Time kept between the last moment to answer and the aim: both ways to a client (3 ms each
at the farther site) and timers."""
NEW_CONNECTION_MARGIN_S: Final = 0.006
"""The same on top for the first request of a connection, which the client opened before."""
FINAL_MARGIN_S: Final = 0.02
"""Time kept between the last answer and the client's deadline."""

BUDGET_RATIO_SHARE: Final = 0.8
"""Part of the allowed ratio of repeats that is used; the rest covers counts that differ."""
BUDGET_EXTRA_SHARE: Final = 0.8
"""Part of the fixed allowance that members divide; the rest covers views that differ."""
BUDGET_FLEET_SHARE: Final = 0.2
"""Part of that which all boxes divide for a shard, for requests around peers; the rest is for the
boxes beside its targets that ask them for others, since those send nearly all repeats."""
MEMBER_COUNT_WINDOW_S: Final = 60.0
"""How long the largest number of members counts: a box that is cut off thinks it is alone."""
BUDGET_BUCKETS: Final = 20
"""Buckets of a sliding window."""

RETRY_AFTER_S: Final = 0.2
"""When to come back after a refusal, where nothing better is known."""
NO_ROUTES_RETRY_AFTER_S: Final = 0.5
"""When to come back to a box that knows no configuration yet."""

STARTUP_WAIT_S: Final = 0.1
"""How long a request waits at a box that knows no configuration yet. One is read within some 50 ms
of a start; a client that is refused comes back after its aim. So came 35 of 3,100 requests when all
boxes were lost once and three were added."""
STARTUP_MAX_WAITING: Final = 500
"""Requests that wait so at most; more are refused at once."""

ACCEPT_SLACK_S: Final = 0.04
"""How much longer than the usual round trip a peer may take to accept a query."""
REPORT_SLACK_S: Final = 0.012
"""How much later than due a peer's report may come, for timers and the way."""
INITIAL_ROUND_TRIP_S: Final = 0.03
"""Round trip to a peer before one was measured."""
ROUND_TRIP_WEIGHT: Final = 0.2
"""Weight of the newest round trip in a peer's usual one."""
PEER_AVOID_S: Final = 1.5
"""How long a peer that did not accept a query is passed over."""
PEERS_IN_ROTATION: Final = 2
"""Peers of one failure domain that a box hands its shards to, one after the other: when one falls
silent, the other one is known to live."""
LINK_OPEN_DELAY_S: Final = 0.3
"""How long the fleet must have been the same before links are opened ahead: while boxes start, each
newcomer would change which ones are wanted."""
REPORT_MARGIN_S: Final = 0.003
"""How much before the last moment to answer a peer's second report should be there."""
MIN_GROUP_SHARDS: Final = 2
"""Fewer far shards than this are asked directly: a message to a peer would not be smaller."""
MIN_REGROUP_SHARDS: Final = 1
"""A late shard goes through a peer even by itself: the peer has a connection to the target."""
SMALL_DOMAIN_BOXES: Final = 4
"""Up to so many boxes of a failure domain each ask targets themselves."""
BOXES_PER_GATHERER: Final = 5
"""Boxes for each one that asks targets, in larger failure domains; where their processors differ,
those that ask have this part of all their speed."""
MIN_GATHERERS: Final = 2
"""Boxes that ask targets in a larger failure domain at least: one may fail."""
MAX_LOGGED_SHARDS: Final = 4
"""Shards that one log line of a query names with their reasons."""
