"""Constants of the quarantine."""

from typing import Final

NEVER: Final = float("inf")
"""Time of an event that is not scheduled."""

MIN_CRASHES_TO_HOLD: Final = 3
"""Distinct targets that crash under a request, none having answered it, before it is held.

Any request can meet one or two crashes while targets fail. Requests that run at the same targets
meet as many as the one that causes them; `CrashTracker` tells them apart by shared crashes.
"""
DECISION_DELAY_S: Final = 0.5
"""Delay between the third crash and the decision to hold (seconds). Boxes exchange crashes and
answers in the meantime: a report leaves after 0.15 s, and opening a connection over the longest
route takes 0.1 s."""
MAX_DECISION_DELAY_S: Final = 2.0
"""Upper bound of that delay while a request with more crashes is still waiting for its own
decision (seconds). The strictest platform known counts requests that are sent later than four
seconds after the third crash."""
REPORT_DELAY_S: Final = 0.15
"""Delay between a crash and its report to the other boxes (seconds). Most bystanders are answered
by another target within it and need no report."""
TRIAL_TIMEOUT_S: Final = 2.0
"""How long a request on trial waits for the result of its single target before another target may
be tried (seconds)."""
WITHDRAWN_RETENTION_S: Final = 1.0
"""How long a target may keep running a request that was withdrawn from it (seconds). Most targets
drop such a request, but a crash within this time may be due to it."""
MAX_WITHDRAWN_TARGETS: Final = 5_000
"""Targets whose withdrawn requests are remembered, some 200 bytes for each request."""
HOLD_DURATION_S: Final = 600.0
"""How long a request is held (seconds). Repairing targets takes an operator minutes. Afterwards
the request goes to a single target, and to others once that one has answered."""
ANSWER_RETENTION_S: Final = 10.0
"""How long an answer from a target clears its request (seconds): as long as the longest requests
take."""
EVIDENCE_RETENTION_S: Final = 600.0
"""How long a crash is counted against a request (seconds). A request that is sent to one target at
a time returns seconds or minutes later."""
REBROADCAST_INTERVAL_S: Final = 1.0
"""Interval at which boxes that watch the store broadcast the held requests again (seconds). It
bounds how long a box that lost a message or has just started lacks them."""
MAX_SUSPECTS: Final = 2_000
"""Requests for which crashes are recorded, some 200 bytes each; the oldest are evicted."""
MAX_HELD_REQUESTS: Final = 500
"""Requests that are held at the same time, 40 bytes each in a message."""
MAX_ANSWERED_REQUESTS: Final = 20_000
"""Answered requests that are remembered, some 100 bytes each."""
MAX_INCARNATIONS_PER_ROW: Final = 64
"""Crashed targets listed for one request in a report."""
MAX_ROWS_PER_REPORT: Final = 32
"""Requests listed in one report, those with the most crashes first; the others follow in the next
report."""
