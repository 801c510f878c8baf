"""Numbers of the quarantine."""

from typing import Final

NEVER: Final = float("inf")
"""A time that does not come."""

ENDS_TO_HOLD: Final = 3
"""So many targets have ended under a request, and none has answered it, when it is held.

One or two are met by any request when targets fail. Three without an answer were met in an incident
by the request that ended them and by requests that were at the same targets; those are told apart
by what they have in common (see `Suspects`).
"""
SETTLE_S: Final = 0.5
"""Time between the third end and the verdict (seconds). In it boxes tell each other what ended
under which requests, and who was answered: 0.15 s to the report, a new link over the longest way
0.1 s."""
LONGEST_SETTLE_S: Final = 2.0
"""A verdict waits no longer than this for requests with more ends, whose own time is not over. The
strictest platform known counts what is sent from four seconds after the third end on."""
REPORT_AFTER_S: Final = 0.15
"""Time between an end and its report to the other boxes (seconds). Most bystanders are answered by
another target within it, and need no report."""
TRIAL_S: Final = 2.0
"""How long a request that may go to one target waits for its end, before another one may."""
LEFT_S: Final = 1.0
"""How long a target may still run a request that was taken back from it (seconds). Most targets
drop such a request; one that ends within this time may have ended under it."""
MOST_LEFT: Final = 5_000
"""Requests taken back that are remembered, some 200 bytes each."""
HOLD_S: Final = 600.0
"""How long a request is held (seconds). Whoever mends targets needs minutes. After it the request
may go to one target, and to others once that has answered."""
ANSWER_MEMORY_S: Final = 10.0
"""How long an answer by a target clears its request: as long as the longest requests last."""
EVIDENCE_MEMORY_S: Final = 600.0
"""How long the end of a target under a request is remembered: a request that asks one target at a
time comes again seconds or minutes later."""
TELL_AGAIN_S: Final = 1.0
"""How often boxes that watch the store tell the others which requests are held: news that were
lost, and boxes that have just started, are made up for within it."""
MOST_SUSPECTS: Final = 2_000
"""Requests with evidence that are remembered, some 200 bytes each; the oldest are dropped."""
MOST_HELD: Final = 500
"""Requests that are held at most, 40 bytes each in a message."""
MOST_ANSWERED: Final = 20_000
"""Answered requests that are remembered, some 100 bytes each."""
MOST_LIVES_TOLD: Final = 64
"""Ends under one request that a report names."""
MOST_ROWS_TOLD: Final = 32
"""Requests that a report names, those with the most ends first; the rest follow in the next one."""
