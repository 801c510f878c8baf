"""Which requests a box sends to one target, and in which order, under named loads."""

from collections import Counter

import pytest

from tests.admission.conftest import BULK, SLOTS, URGENT, Caller, Ending, Serve
from trackwheel.admission.const import EXTRA_IN_FLIGHT, MAX_WAITING
from trackwheel.admission.models import Drop, Send, WaitingRequest
from trackwheel.admission.target_line import TargetLine
from trackwheel.groups.models import Precedence

NEEDED_SHARE = 0.25
"""Callers need each kind of request and each group served at least this often, against all."""


def request(
    key: str, precedence: Precedence = BULK, deadline: float = 0.2, group: str = "g"
) -> WaitingRequest:
    return WaitingRequest(key, group, precedence, deadline, 2.0, 0.0)


def sent(commands: list[Send | Drop]) -> list[object]:
    return [command.request.key for command in commands if isinstance(command, Send)]


def filled_line(now: float = 0.0) -> TargetLine:
    """Return a line whose target has all that it may get, each in flight under a number."""
    line = TargetLine()
    for number in range(SLOTS + EXTRA_IN_FLIGHT):
        assert sent(line.submit(request(f"first-{number}", deadline=now + 0.2), SLOTS, now))
    return line


def in_time(endings: list[Ending], precedence: Precedence, aim_s: float) -> int:
    return sum(
        1
        for ending in endings
        if ending.request.precedence == precedence and ending.at - ending.request.since <= aim_s
    )


def test_urgent_burst_overtakes_waiting_bulk() -> None:
    """An urgent burst over bulk: ten urgent requests come while fifty of bulk wait."""
    line = filled_line()
    for number in range(50):
        assert not line.submit(request(f"bulk-{number}"), SLOTS, 0.0)
    for number in range(10):
        assert not line.submit(request(f"urgent-{number}", URGENT), SLOTS, 0.001)
    order = [
        key
        for number in range(10)
        for key in sent(line.ended(f"first-{number}", SLOTS, False, 0.002))
    ]
    # Three end; nothing that was sent before makes way.
    assert order == ["urgent-0", "urgent-1", "urgent-2"]


def test_bulk_is_not_starved_by_urgent_requests_at_twice_what_fits(serve: Serve) -> None:
    """Urgent requests alone take all that fits, for 20 s, while as much bulk comes."""
    work_s, aim_s = 0.02, 0.1
    fits_every_s = work_s / SLOTS
    callers = [
        Caller("u", URGENT, fits_every_s, aim_s, 1.0),
        Caller("b", BULK, fits_every_s, 0.17, 2.0),
    ]
    served = Counter(ending.request.precedence for ending in serve(callers, work_s))
    asked = 20.0 / fits_every_s
    share_of_all = served.total() / (2 * asked)
    assert served[BULK] / asked >= NEEDED_SHARE * share_of_all
    assert served[URGENT] > served[BULK]


def test_group_at_seven_times_its_usual_costs_the_others_nothing(serve: Serve) -> None:
    """One group at seven times its usual beside 77 others, whose requests alone fit."""
    work_s, aim_s = 0.02, 0.17
    usual_every_s = 78 * work_s / SLOTS / 0.95
    others = [Caller(f"g{number}", BULK, usual_every_s, aim_s, 2.0) for number in range(77)]

    def others_in_time(hot_every_s: float) -> int:
        endings = serve([*others, Caller("hot", BULK, hot_every_s, aim_s, 2.0)], work_s)
        return in_time([e for e in endings if e.request.group != "hot"], BULK, aim_s)

    # One answer may be under way whenever one of the others asks.
    assert others_in_time(usual_every_s / 7) >= 0.99 * others_in_time(usual_every_s)
    assert others_in_time(usual_every_s) == 77 * int(20.0 / usual_every_s)


def test_bulk_at_twice_what_fits_is_still_answered_in_time(serve: Serve) -> None:
    """Bulk alone at twice what fits: as many as fit come in time, instead of all too late."""
    work_s, aim_s = 0.02, 0.17
    endings = serve([Caller("g", BULK, work_s / SLOTS / 2, aim_s, 2.0)], work_s)
    fits = 20.0 / (work_s / SLOTS)
    assert in_time(endings, BULK, aim_s) >= 0.8 * fits


def test_targets_slow_by_twelve_get_no_more_than_they_can_run() -> None:
    """A tenth of targets slow by twelve while all ask: what waits can still be withdrawn."""
    line = filled_line()
    for number in range(20):
        assert not line.submit(request(f"late-{number}"), SLOTS, 0.05)
    for number in range(19):
        assert line.withdraw(f"late-{number}", 0.1) is not None
    assert sent(line.ended("first-0", SLOTS, True, 0.19)) == ["late-19"]


def test_load_at_the_limit_neither_waits_long_nor_oscillates(serve: Serve) -> None:
    """A load that hovers at the limit: nobody is dropped, nobody becomes late."""
    work_s, aim_s = 0.02, 0.17
    every_s = work_s / SLOTS * 1.02
    endings = serve([Caller("g", BULK, every_s, aim_s, 2.0)], work_s)
    assert len(endings) == int(20.0 / every_s)
    assert in_time(endings, BULK, aim_s) == len(endings)


def test_late_request_waits_for_those_that_can_be_in_time() -> None:
    """All ask at once after a standstill: the late ones still get their answers, after the rest."""
    line = filled_line(1.0)
    line.submit(request("late", URGENT, deadline=0.9), SLOTS, 1.0)
    line.submit(request("in time", BULK, deadline=1.3), SLOTS, 1.0)
    assert sent(line.ended("first-0", SLOTS, False, 1.1)) == ["in time"]
    assert sent(line.ended("first-1", SLOTS, False, 1.1)) == ["late"]


def test_request_that_an_answer_can_do_without_goes_last() -> None:
    """A tenth of targets slow: one query has enough without this shard, the next one has not."""
    line = filled_line()
    line.submit(request("enough", URGENT, deadline=0.1), SLOTS, 0.0)
    line.submit(request("needed"), SLOTS, 0.01)
    line.demote("enough")
    assert sent(line.ended("first-0", SLOTS, False, 0.02)) == ["needed"]
    assert sent(line.ended("first-1", SLOTS, False, 0.03)) == ["enough"]


def test_request_that_an_answer_can_do_without_is_dropped_at_the_target_latency() -> None:
    """The same, while the target gets no room until the answer has been sent without it."""
    line = filled_line()
    line.submit(request("enough", deadline=0.1), SLOTS, 0.0)
    line.demote("enough")
    commands = line.ended("first-0", SLOTS, False, 0.11)
    assert commands == [Drop(request("enough", deadline=0.1))]


def test_request_that_cannot_end_in_time_is_dropped() -> None:
    """A target stands still until nobody waits any more."""
    line = filled_line()
    line.submit(request("gone"), SLOTS, 0.0)
    assert line.ended("first-0", SLOTS, False, 2.0) == [
        Drop(request("gone")._replace(deadline=2.0))
    ]
    assert line.waiting == 0


def test_silent_requests_do_not_keep_others_from_the_target() -> None:
    """Connections fall silent: after the target latency they no longer count as running."""
    line = filled_line()
    assert not line.submit(request("second"), SLOTS, 0.1)
    assert sent(line.submit(request("third", deadline=0.4), SLOTS, 0.21)) == [
        "second",
        "third",
    ] or (sent(line.submit(request("fourth", deadline=0.4), SLOTS, 0.22)))


def test_next_look_at_a_line_lies_ahead() -> None:
    """One of three connections is silent, the others hold room later than it."""
    line = TargetLine()
    for number in range(SLOTS + EXTRA_IN_FLIGHT):
        line.submit(request(f"first-{number}", deadline=(0.2, 0.3, 0.4)[number]), SLOTS, 0.0)
    assert line.next_room_at(0.0) == float("inf")
    for number in range(2):
        line.submit(request(f"waiting-{number}", deadline=9.0), SLOTS, 0.1)
    assert line.next_room_at(0.1) == 0.2
    assert sent(line.fill(SLOTS, 0.25)) == ["waiting-0"]
    assert line.next_room_at(0.25) == 0.3


def test_full_line_sends_at_once() -> None:
    """Ten times what a line holds: it is bounded, and the rest goes as without a line."""
    line = filled_line()
    for number in range(MAX_WAITING):
        assert not line.submit(request(f"waiting-{number}"), SLOTS, 0.0)
    assert sent(line.submit(request("beyond"), SLOTS, 0.0)) == ["beyond"]


@pytest.mark.parametrize("slots", [0, 1, 2, 8])
def test_target_without_load_gets_everything_at_once(slots: int) -> None:
    """A calm day: below what a target can run nothing waits."""
    line = TargetLine()
    for number in range(max(1, slots) + EXTRA_IN_FLIGHT):
        assert sent(line.submit(request(f"r{number}"), slots, 0.0)) == [f"r{number}"]
