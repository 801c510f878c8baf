"""Which boxes call the store during an outage, at several sizes of the fleet, in virtual time.

The store is unavailable for all boxes at once, or for some, and returns. When each of 195 boxes
started to read as soon as it heard of no watcher in sync, an outage of five seconds cost 5,074
calls, 26 per box; the limit here does not grow with the fleet.
"""

from collections.abc import Callable
from math import ceil, log2
from typing import NamedTuple

import pytest

from trackwheel.directory.const import BEACON_PERIOD_S, RETRY_MAX_PAUSE_S, TAKEOVER_DELAY_S
from trackwheel.directory.sync_status import PeerSync, SyncPosition, WatchStatus
from trackwheel.directory.watcher_election import WatcherElection

STEP_S = 0.05
WATCH_S = 1.0
"""How long a watch waits at a store that answers, when nothing changes."""
DOMAINS = 6
OUTAGE_START_S = 4.0
"""Start of the outage."""


class Box:
    """The decisions of one box, with the calls and the beacons that its service would make."""

    def __init__(self, domain: int, place: int, before: list[str]) -> None:
        self.address = f"{domain}/{place}"
        self.domain = domain
        self.place = place
        self.first = place == 0
        self.election = WatcherElection(0.0, self.address, place == 0)
        self.election.set_predecessors(before)
        self.status = WatchStatus("routes", WATCH_S + 1.0)
        self.peer_sync = PeerSync()
        self.next_call_at = 0.0
        self.next_beacon_at = 0.0
        self.calls_at: list[float] = []
        self.synced_via = ""
        self.synced_ago_s = 0.0
        self.in_step_at = 0.0
        self.longest_silence_s = 0.0
        """Longest time without a beacon of a box in sync, or an answer, while the box ran."""
        self.answered_at = 0.0
        self.longest_unanswered_s = 0.0
        """Longest time since the store answered this box, or one whose updates reached it."""

    def current_source(self, now: float) -> str:
        return self.address if self.status.in_sync(now) else self.peer_sync.synced_peer(now)

    def observe(self, now: float) -> None:
        if self.current_source(now):
            self.in_step_at = now
        self.longest_silence_s = max(self.longest_silence_s, now - self.in_step_at)
        unanswered_s = now - self.answered_at
        self.longest_unanswered_s = max(self.longest_unanswered_s, unanswered_s)

    def call(self, now: float, answered: bool) -> None:
        self.calls_at.append(now)
        if answered:
            self.status.record_answer(now)
            self.answered_at = now
            self.next_call_at = now + WATCH_S
        else:
            self.status.record_failure()
            self.next_call_at = now + RETRY_MAX_PAUSE_S

    def receive(self, sender: "Box", now: float) -> None:
        self.answered_at = max(self.answered_at, sender.answered_at)
        if sender.domain == self.domain:
            self.election.receive_beacon(
                sender.address, sender.synced_via, now, sender.synced_ago_s
            )
            if sender.synced_via:
                self.in_step_at = now
        if sender.synced_via == sender.address:
            self.peer_sync.record_peer(sender.address, 1, 1, now, SyncPosition(1, 1))


Condition = Callable[[Box, float], bool]
"""Whether a condition, such as an answer of the store, holds for a box at a time."""


def simulate(
    per_domain: int, reaches: Condition, alive: Condition, end: float, resets: bool = False
) -> list[Box]:
    """Run all boxes; with `resets`, a pending watch fails at once when the store is lost."""
    boxes = [
        Box(domain, place, [f"{domain}/{before}" for before in range(place)])
        for domain in range(DOMAINS)
        for place in range(per_domain)
    ]
    for step in range(int(end / STEP_S)):
        now = step * STEP_S
        for box in boxes:
            if not alive(box, now):
                box.in_step_at = now
                continue
            box.observe(now)
            if not box.election.should_watch(now):
                continue
            pending = box.status.in_sync(now)
            if now >= box.next_call_at or (resets and pending and not reaches(box, now)):
                box.call(now, reaches(box, now))
            elif pending and reaches(box, now):
                # A pending watch would return a change at once.
                box.answered_at = now
            current_source = box.current_source(now)
            if now >= box.next_beacon_at or bool(current_source) is not bool(box.synced_via):
                box.next_beacon_at = now + BEACON_PERIOD_S
                box.synced_via = current_source
                box.synced_ago_s = 0.0 if box.status.in_sync(now) else box.peer_sync.peer_age_s(now)
                near = [other for other in boxes if other.domain == box.domain]
                far = [other for other in boxes if other.first and other.domain != box.domain]
                for other in near + far:
                    if other is not box and alive(other, now):
                        other.receive(box, now)
    return boxes


class Outage(NamedTuple):
    """For whom the store is unavailable, and which boxes do not run meanwhile."""

    reaches: Condition
    alive: Condition


def always(box: Box, now: float) -> bool:
    return True


def in_outage(now: float, lasts_s: float) -> bool:
    return OUTAGE_START_S <= now < OUTAGE_START_S + lasts_s


def whole_outage(lasts_s: float) -> Outage:
    return Outage(lambda box, now: not in_outage(now, lasts_s), always)


@pytest.mark.parametrize("per_domain", [1, 10, 33], ids=["6-boxes", "60-boxes", "198-boxes"])
@pytest.mark.parametrize("lasts_s", [3.7, 5.4, 20.0])
def test_callers_of_an_unavailable_store_do_not_grow_with_the_fleet(
    per_domain: int, lasts_s: float
) -> None:
    outage = whole_outage(lasts_s)
    end = OUTAGE_START_S + lasts_s + 2.0
    boxes = simulate(per_domain, outage.reaches, outage.alive, end)
    callers = {box.address for box in boxes if any(at >= OUTAGE_START_S for at in box.calls_at)}
    allowed = 2 + ceil(log2(max(1.0, (lasts_s + 1.0) / TAKEOVER_DELAY_S)))
    assert len(callers) <= DOMAINS * allowed
    for box in boxes:
        assert end - box.in_step_at <= BEACON_PERIOD_S + STEP_S
    # After its return, only the first box of each domain reads.
    last_s = [box.address for box in boxes if any(at > end - 0.9 for at in box.calls_at)]
    assert set(last_s) <= {f"{domain}/0" for domain in range(DOMAINS)}


def watcher_is_rejected(box: Box, now: float) -> bool:
    return not (box.domain == 0 and box.first and in_outage(now, 10.0))


def all_watchers_are_rejected(box: Box, now: float) -> bool:
    return not (box.first and in_outage(now, 10.0))


def third_is_rejected(box: Box, now: float) -> bool:
    return not (box.place % 3 == 0 and in_outage(now, 10.0))


def first_two_are_rejected(box: Box, now: float) -> bool:
    return not (box.place < 2 and in_outage(now, 10.0))


def watcher_is_dead(box: Box, now: float) -> bool:
    return not (box.domain == 0 and box.first and now >= OUTAGE_START_S)


def watcher_is_paused_for_a_while(box: Box, now: float) -> bool:
    return not (box.domain == 0 and box.first and in_outage(now, 3.0))


@pytest.mark.parametrize(
    ("outage", "silent_s", "most_callers"),
    [
        pytest.param(Outage(watcher_is_rejected, always), 1.0, 6, id="one-watcher-turned-away"),
        pytest.param(
            Outage(all_watchers_are_rejected, always), 2.4, 12, id="all-watchers-turned-away"
        ),
        pytest.param(
            Outage(first_two_are_rejected, always), 4.8, 18, id="first-two-of-each-domain"
        ),
        pytest.param(Outage(third_is_rejected, always), 4.8, 18, id="a-third-turned-away"),
        pytest.param(Outage(always, watcher_is_dead), 2.6, 7, id="watcher-dead"),
        pytest.param(Outage(always, watcher_is_paused_for_a_while), 2.6, 7, id="watcher-frozen"),
    ],
)
def test_box_in_sync_is_heard_of_again_within_seconds(
    outage: Outage, silent_s: float, most_callers: int
) -> None:
    """A box that hears of nobody in sync may learn too late that a target is leaving."""
    per_domain = 20
    end = OUTAGE_START_S + 9.0
    boxes = simulate(per_domain, outage.reaches, outage.alive, end)
    callers = {box.address for box in boxes if any(at >= OUTAGE_START_S for at in box.calls_at)}
    assert len(callers) <= most_callers
    assert max(box.longest_silence_s for box in boxes) <= silent_s


READ_WITHIN_S = 2.5
"""The strictest limit of the users for a configuration is 3 s; half a second is for the read itself
and the delays between boxes."""


@pytest.mark.parametrize("per_domain", [3, 10, 33], ids=["18-boxes", "60-boxes", "198-boxes"])
@pytest.mark.parametrize("shift_s", [0.0, 0.2, 0.4], ids="{}-s-later".format)
def test_next_boxes_read_in_time_when_all_watchers_lose_the_store_at_once(
    per_domain: int, shift_s: float
) -> None:
    """A request for a route that had been written 3.2 s earlier was refused as unknown.

    The store rejected all boxes that read it within 10 ms, just before the operator wrote the
    route. Each had heard the others a moment ago and kept telling its failure domain for 1.5 s that
    it was in sync; the next boxes started two seconds after the last such beacon.
    """
    lost_at = OUTAGE_START_S + shift_s

    def reaches(box: Box, now: float) -> bool:
        return not (box.first and lost_at <= now < lost_at + 10.0)

    boxes = simulate(per_domain, reaches, always, lost_at + 6.0, resets=True)
    assert max(box.longest_unanswered_s for box in boxes) <= READ_WITHIN_S
