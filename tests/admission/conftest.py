"""A target that serves what a line sends to it, in the order of arrival."""

from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from typing import NamedTuple

import pytest

from trackwheel.admission.models import Send, WaitingRequest
from trackwheel.admission.target_line import TargetLine
from trackwheel.delegation.peers import GOLDEN_RATIO_STEP
from trackwheel.groups.models import Precedence

URGENT, BULK = Precedence(0, 0), Precedence(0, 1)
SLOTS = 2


class Caller(NamedTuple):
    """One group that asks each `every_s` seconds, for answers in `aim_s` or at most in `end_s`."""

    group: str
    precedence: Precedence
    every_s: float
    aim_s: float
    end_s: float


class Ending(NamedTuple):
    """A served request and the time at which the target answered it."""

    request: WaitingRequest
    at: float


Serve = Callable[..., list[Ending]]


@pytest.fixture
def serve() -> Serve:
    """Return a run of a line under the requests of some callers; it returns the served ones."""

    def run(callers: Iterable[Caller], work_s: float, until_s: float = 20.0) -> list[Ending]:
        line, free_at, served = TargetLine(), [0.0] * SLOTS, list[Ending]()
        events: list[tuple[float, int, WaitingRequest | None, object]] = []
        for number, caller in enumerate(callers):
            for count in range(int(until_s / caller.every_s)):
                at = caller.every_s * (count + number * GOLDEN_RATIO_STEP % 1.0)
                request = _request(caller, (number, count), at)
                heappush(events, (at, len(events), request, request.key))
        sequence = len(events)
        while events:
            now, _, arriving, key = heappop(events)
            if arriving is not None:
                commands = line.submit(arriving, SLOTS, now)
            else:
                commands = line.ended(key, SLOTS, True, now)
            for command in commands:
                if isinstance(command, Send):
                    sequence += 1
                    end = max(now, heappop(free_at)) + work_s
                    heappush(free_at, end)
                    heappush(events, (end, sequence, None, command.request.key))
                    served.append(Ending(command.request, end))
        return served

    return run


def _request(caller: Caller, key: object, at: float) -> WaitingRequest:
    return WaitingRequest(
        key, caller.group, caller.precedence, at + caller.aim_s, at + caller.end_s, at
    )
