"""Requests that wait for a target, and the commands of its line."""

from collections.abc import Hashable
from typing import NamedTuple

from trackwheel.groups.models import Precedence


class WaitingRequest(NamedTuple):
    """One request for one target; times are monotonic seconds.

    Its answer should be there by `deadline`, its target latency; after `end_at` nobody waits.
    """

    key: Hashable
    group: str
    precedence: Precedence
    deadline: float
    end_at: float
    since: float


class Send(NamedTuple):
    """Command: send a request to the target."""

    request: WaitingRequest


class Drop(NamedTuple):
    """Command: forget a request whose answer would come after everybody has stopped waiting."""

    request: WaitingRequest


LineCommand = Send | Drop
