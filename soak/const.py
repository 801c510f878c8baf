"""Numbers of the soak."""

from typing import Final

SHARDS: Final = tuple(f"shard-{number}" for number in range(6))
TOP_K: Final = 4
LEAST_COVERAGE: Final = 0.6
DEADLINE_S: Final = 2.0
CLIENTS: Final = 10
CLIENT_PAUSE_S: Final = 0.08
"""Longest rest of a client between two requests: some 150 requests a second in all."""
READY_PERIOD_S: Final = 1.0
"""How often the balancer asks a box whether it is ready, as on the users' platform."""
MISSES_UNTIL_OUT: Final = 2
"""Questions in a row without a 200 after which a box gets no new connections, as there."""
FIRST_FAULT_S: Final = 0.5
FAULTS_PER_S: Final = 1.2
"""Faults last up to `LONGEST_FAULT_S`, so that two or three overlap as a rule."""
SHORTEST_FAULT_S: Final = 0.2
LONGEST_FAULT_S: Final = 3.0
SET_BACK_SHARE: Final = 0.6
"""Part of the runs in which the store comes back from a copy once."""
STOP_MANY_SHARE: Final = 0.6
"""Part of the runs in which more than half of the boxes are stopped at once."""
ENDLESS_SHARE: Final = 0.6
"""Part of the runs in which several targets send answers without end for a while."""
ENDLESS_TARGETS: Final = 4
BOX_MEMORY_BYTES: Final = 200_000_000
"""Most memory that a box may have held: its unfinished answers have a quarter of 256 MB, and their
copies as much, beside what it holds without them."""
WRITTEN_AGAIN_S: Final = 0.4
"""How long after that the operator and the targets write again what it lacks."""
SETTLE_S: Final = 6.0
"""Time without faults at the end, after which everything must be whole again."""
DRAIN_S: Final = 3.0
"""How long after its notice a leaving target may get new work, as the settings say."""
CONTACT_S: Final = 4.0
"""Promises with a time bound are checked when nothing was disturbed for so long before."""
LATE_S: Final = 0.7
"""How much later than a client's deadline an answer may come on a busy machine."""
GRACE_S: Final = 4.0
"""Time that a box has to finish after SIGTERM, as the settings say."""
CUT_SLACK_S: Final = 0.3
"""How long after its cause a disturbance may still show at a client."""
ENDING_PATHS: Final = ("q/ends-targets", "l/ends-targets", "o/ends-targets")
"""Requests that end each target which runs them: a query, a look-up, one that may run only once."""
ENDING_FIRST_S: Final = 1.0
ENDING_PAUSE_S: Final = 0.9
"""Mean rest between two of them: each kind comes some five times in a run, at any box."""
ENDS_TO_KNOW: Final = 3
REPEATS_AFTER: Final = 3
"""So many ends nobody can prevent; so many more, `CONTACT_S` later, are borne."""
GROUP_BY_KEY: Final = {"clerks-key": "clerks", "drivers-key": "drivers"}
"""The groups of the clients that keep their keys."""
TAKEN_KEY: Final = "second-clerks-key"
"""A second key of the clerks, of one client; it is taken away while that sends."""
KEY_TAKEN_SHARE: Final = 0.4
"""Part of a run after which that happens."""
KEY_IN_FORCE_S: Final = 5.0
"""How long after it a box in touch may accept the key: the platform's bound for a version."""
CROWD_SHARE: Final = 0.6
"""Part of the runs in which a crowd keeps requests unfinished at one box."""
CROWD_CLIENTS: Final = 150
CROWD_FIRST_S: Final = 1.5
CROWD_LONGEST_S: Final = 6.0
