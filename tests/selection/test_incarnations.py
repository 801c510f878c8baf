"""Restarted targets: what was learned of one incarnation does not affect the next one.

Targets crash and return within seconds under the same name. Failures recorded for the earlier
incarnation would otherwise eject the new one for up to half a minute (`REPLACED_EJECT_S`), or let
it count as slow for seconds.
"""

import itertools

import pytest

from tests.relay.conftest import HERE, ROUTE, target
from trackwheel.directory.models import EntryRemoved, TargetEntry, TargetsPush, TargetsRead
from trackwheel.directory.targets import TargetDirectory
from trackwheel.relay.models import Load, Outcome
from trackwheel.selection.down_reports import DownReports, TargetDown
from trackwheel.selection.target_selector import TargetSelector

FIRST = target("t", "s")._replace(born_ms=1_000)
SECOND = FIRST._replace(born_ms=9_000)


def make_selector() -> TargetSelector:
    selector = TargetSelector(HERE, 1)
    selector.set_targets({"s": (FIRST,)}, 0.0)
    return selector


def fail(selector: TargetSelector, outcome: Outcome) -> None:
    for number in range(4):
        selector.sent(FIRST, number, ROUTE, 0.0)
        selector.ended(FIRST, number, outcome, Load(2, 12, 2), 0.01)


@pytest.mark.parametrize("outcome", [o for o in Outcome if o is not Outcome.OK])
def test_failures_of_an_earlier_incarnation_do_not_count(outcome: Outcome) -> None:
    selector = make_selector()
    fail(selector, outcome)
    selector.set_targets({"s": (SECOND,)}, 0.02)
    (choice,) = selector.rank("s", ROUTE, 0.02)
    assert not choice.last_resort
    assert choice.rests_until <= 0.02
    assert choice.expected_s == pytest.approx(choice.usual_s)


def test_late_answer_of_an_earlier_incarnation_does_not_affect_the_new_one() -> None:
    selector = make_selector()
    selector.sent(FIRST, "old", ROUTE, 0.0)
    selector.set_targets({"s": (SECOND,)}, 0.02)
    for number in range(4):
        selector.ended(FIRST, number if number else "old", Outcome.ELSEWHERE, None, 0.03)
    (choice,) = selector.rank("s", ROUTE, 0.03)
    assert not choice.last_resort


@pytest.mark.parametrize("known_first", [True, False], ids=["entry-first", "reports-first"])
def test_reports_on_an_earlier_incarnation_do_not_affect_the_new_one(known_first: bool) -> None:
    selector = make_selector()
    reports = DownReports(selector)
    if known_first:
        selector.set_targets({"s": (SECOND,)}, 0.0)
    reports.receive("a", TargetDown("t", 0.0, FIRST.born_ms), 0.1)
    selector.set_targets({"s": (SECOND,)}, 0.1)
    (choice,) = selector.rank("s", ROUTE, 0.2)
    assert not choice.last_resort
    assert reports.receive("a", TargetDown("t", 0.0, SECOND.born_ms), 0.2)
    (choice,) = selector.rank("s", ROUTE, 0.2)
    assert choice.last_resort


def entry(born_ms: int, revision: int, cold_s: float = 0.0) -> TargetEntry:
    return TargetEntry("t", "s", "127.0.0.1:1", "a", 2, False, cold_s, revision, born_ms)


STEPS = [
    TargetsRead(0, [entry(1_000, 4)], [], 4),
    TargetsRead(4, [], [EntryRemoved("t", 6)], 6),
    TargetsRead(6, [entry(9_000, 8, cold_s=3.0)], [], 8),
    TargetsRead(8, [entry(9_000, 9, cold_s=2.0)], [], 9),
]


@pytest.mark.parametrize("order", list(itertools.permutations(range(4))), ids=str)
def test_newest_incarnation_wins_in_any_order_of_updates(order: tuple[int, ...]) -> None:
    directory = TargetDirectory({"a": "here"})
    for place in order:
        directory.apply(STEPS[place], 0.0)
    directory.expire(100.0)
    (found,) = directory.targets_by_service()["s"]
    assert (found.born_ms, found.excluded, found.presumed_gone) == (9_000, False, False)
    assert found.cold_until >= 2.0


def test_restart_without_a_lapse_is_sent_to_peers() -> None:
    """The store's entry did not lapse: only `born` shows that the target restarted."""
    directory = TargetDirectory({"a": "here"})
    directory.apply(TargetsRead(None, [entry(1_000, 4)], [], 4), 0.0)
    assert directory.apply(TargetsRead(4, [entry(9_000, 5)], [], 5), 1.0)
    assert directory.changes_since(4, 1.0) == TargetsPush(4, 5, [entry(9_000, 5)], [])


@pytest.mark.parametrize(
    ("cold_s", "is_news"),
    [(0.0, False), (1.9, False), (2.3, False), (3.0, True)],
    ids=["warm", "counts-down", "a-late-heartbeat", "cold-again"],
)
def test_target_that_becomes_cold_again_is_a_change(cold_s: float, is_news: bool) -> None:
    directory = TargetDirectory({"a": "here"})
    directory.apply(TargetsRead(None, [entry(1_000, 4, cold_s=3.0)], [], 4), 0.0)
    assert directory.apply(TargetsRead(4, [entry(1_000, 5, cold_s)], [], 5), 1.0) is is_news
    (found,) = directory.targets_by_service()["s"]
    assert found.cold_until == (4.0 if is_news else 3.0)
