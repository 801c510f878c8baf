"""Constants of the choice of a target."""

from typing import Final

RESPONSE_TIME_SAMPLES: Final = 128
"""Most recent answers of a route from which its usual response time is computed."""

RESPONSE_TIME_REFRESH_SAMPLES: Final = 8
"""New answers after which the usual response time is computed again."""

HIGH_RESPONSE_TIME_QUANTILE: Final = 0.95
"""Quantile of the response times that a request must have time for if it may run only once."""

INITIAL_RESPONSE_TIME_SHARE: Final = 0.2
"""Usual response time before the first answer, as a share of the target latency."""

SLOWER_WEIGHT: Final = 0.3
"""Weight of an answer slower than its target's estimate; low, since it may be a single pause."""

FASTER_WEIGHT: Final = 0.7
"""Weight of an answer faster than the estimate; high, since a pause ends with the first of them."""

MAX_SLOWNESS: Final = 10.0
"""Upper bound of the slowness that one answer can count as."""

SLOWNESS_HALF_LIFE_S: Final = 3.0
"""Half-life of a target's slowness, so that a slow target is tried again."""

FAILURE_WEIGHT: Final = 0.25
"""Weight of the newest outcome in a target's failure rate."""

FAILURE_HALF_LIFE_S: Final = 2.0
"""Half-life of a target's failure rate."""

FAILURE_COST_AIMS: Final = 1.0
"""Cost of a certain failure in the choice of a target, in target latencies of the route."""

COLD_FACTOR: Final = 1.6
"""Factor on the response time of a target that has just started, as with the users' targets."""

LOAD_REPORT_LIFETIME_S: Final = 0.3
"""Validity of the load that a target reports: ten times the usual duration of its work."""

STALL_FACTOR: Final = 3.0
"""Multiple of the expected time after which an unanswered request counts as stalled."""

FAR_COST_AIMS: Final = 0.25
"""Cost of transferring an answer from another region, in target latencies of the route."""

OTHER_DOMAIN_COST_AIMS: Final = 0.03
"""The same for another failure domain of the own region."""

COST_JITTER: Final = 0.1
"""Relative spread of costs, so that boxes do not all choose the same target at once."""

EJECT_AFTER_FAILURES: Final = 2
"""Consecutive failures after which a target is ejected, that is, used only as a last resort."""

EJECT_S: Final = 0.5
"""Duration of the first ejection; doubles with each further failure."""

MAX_EJECT_S: Final = 4.0
"""Longest ejection: a restarted target must get work again within seconds."""

DISCONNECT_EJECT_S: Final = 1.0
"""Duration of an ejection after a failed connection attempt."""

CONNECT_BACKOFF_S: Final = 0.05
"""Backoff after a refused connection; doubles with each consecutive refusal. Without it, each query
would request a shard whose targets are all down several times within milliseconds."""

MAX_CONNECT_BACKOFF_S: Final = 0.4
"""Longest backoff; bounds how long a target that has returned stays unnoticed."""

REPORTED_DOWN_S: Final = 1.0
"""How long after its failed connection a target that another box reported down is a last resort
here; as long as after a failure of the own."""

DOWN_REPORT_INTERVAL_S: Final = 0.5
"""Shortest interval between down reports on one target, and after a received one."""

DOWN_REPORT_MAX_BOXES: Final = 16
"""Most boxes that a report is sent to; each failure domain has only a few that send requests to the
same targets."""

DOWN_REPORT_DISTRUST_S: Final = 10.0
"""How long reports of a box are ignored after a target that it reported down answered here: the box
may be cut off itself, and would keep working targets out of use."""

REPLACED_EJECT_S: Final = 30.0
"""How long a target gets no requests after another one answered at its address. It is gone, since a
restarted target has a new name; one wrong answer should not exclude it for good."""

HEDGE_MIN_RESPONSE_TIMES: Final = 2.0
"""Earliest time of a hedge, in usual response times."""

HEDGE_RESERVE_RESPONSE_TIMES: Final = 2.5
"""Time left until the target latency when a hedge is sent, in response times of its target."""

MAX_SENDS: Final = 8
"""Most sends of one request, or of one shard of a query, whatever became of the earlier ones."""

REFUSAL_BACKOFF_RESPONSE_TIMES: Final = 0.5
"""Backoff of a shard that all its targets refused, in usual response times; doubles each time."""

BUDGET_RESERVE_SHARE: Final = 0.25
"""Share of the retry budget that is reserved for retries without which an answer fails. A needed
shard makes the whole answer possible, another one only adds its share."""

BUDGET_RATIO_SHARE: Final = 0.8
"""Share of the allowed retry ratio that is used; the rest covers counts that differ."""

BUDGET_EXTRA_SHARE: Final = 0.8
"""Share of the fixed allowance that members divide; the rest covers views that differ."""

BUDGET_FLEET_SHARE: Final = 0.2
"""Share of that which all boxes divide for a shard, for requests that bypass peers. The rest goes
to the gatherers in the failure domains of its targets, which send nearly all retries."""

MEMBER_COUNT_WINDOW_S: Final = 60.0
"""Window of the largest member count: a box that is cut off sees only itself."""

BUDGET_BUCKETS: Final = 20
"""Buckets of a sliding window."""
