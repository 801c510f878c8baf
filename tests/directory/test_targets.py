"""The directory of targets: updates in any order, expired entries, lost history."""

import itertools

import pytest

from trackwheel.directory.const import ENTRY_PROPAGATION_S, ENTRY_RETURN_S, LAST_RESORT_S
from trackwheel.directory.models import EntryRemoved, TargetEntry, TargetsRead
from trackwheel.directory.targets import TargetDirectory


def entry(name: str, revision: int, leaving: bool = False, service: str = "s") -> TargetEntry:
    return TargetEntry(name, service, "127.0.0.1:1", "a", 2, leaving, 0.0, revision)


def make_directory() -> TargetDirectory:
    return TargetDirectory({"a": "region"})


def states(directory: TargetDirectory) -> dict[str, str]:
    return {
        target.instance: (
            "leaving" if target.excluded else "presumed_gone" if target.presumed_gone else "ready"
        )
        for found in directory.targets_by_service().values()
        for target in found
    }


UPDATES = [
    TargetsRead(0, [entry("a", 1), entry("b", 2)], [], 2),
    TargetsRead(2, [entry("a", 3, leaving=True)], [], 3),
    TargetsRead(3, [], [EntryRemoved("a", 4)], 4),
    TargetsRead(4, [entry("c", 5)], [EntryRemoved("b", 5)], 5),
]


@pytest.mark.parametrize("order", list(itertools.permutations(range(4))), ids=str)
def test_updates_converge_in_any_order(order: tuple[int, ...]) -> None:
    directory = make_directory()
    for place in order:
        directory.apply(UPDATES[place], 0.0)
    directory.expire(100.0)
    assert states(directory) == {"c": "ready"}


@pytest.mark.parametrize("twice", range(4))
def test_repeated_updates_change_nothing(twice: int) -> None:
    directory = make_directory()
    for update in UPDATES:
        directory.apply(update, 0.0)
    assert not directory.apply(UPDATES[twice], 0.0)


def test_region_comes_from_the_failure_domain() -> None:
    directory = make_directory()
    directory.apply(UPDATES[0], 0.0)
    target, _ = directory.targets_by_service()["s"]
    assert target.place == ("region", "a")


def test_leaving_target_that_was_removed_is_dropped_at_once() -> None:
    directory = make_directory()
    directory.apply(UPDATES[0], 0.0)
    directory.apply(UPDATES[1], 0.0)
    directory.apply(UPDATES[2], 0.0)
    assert states(directory) == {"b": "ready"}


def test_entry_removed_without_notice_is_a_last_resort_for_a_while() -> None:
    directory = make_directory()
    directory.apply(UPDATES[0], 0.0)
    directory.apply(TargetsRead(2, [], [EntryRemoved("a", 3)], 3), 1.0)
    assert states(directory) == {"a": "presumed_gone", "b": "ready"}
    assert directory.next_expiry() == 1.0 + LAST_RESORT_S
    assert not directory.expire(1.0)
    assert directory.expire(1.0 + LAST_RESORT_S)
    assert states(directory) == {"b": "ready"}


BACK_AT = 5.0
HOLD_ENDS_AT = BACK_AT + ENTRY_RETURN_S + ENTRY_PROPAGATION_S


def after_an_outage() -> TargetDirectory:
    """Return a directory whose entries all expired while the store was unavailable."""
    directory = make_directory()
    directory.apply(UPDATES[0], 0.0)
    directory.store_lost()
    directory.store_regained(BACK_AT)
    directory.apply(TargetsRead(None, [], [], 9), BACK_AT + 0.1)
    return directory


def test_entries_that_expired_in_an_outage_are_used_until_they_return() -> None:
    """As last resorts they left 87 shards without a target to plan with: queries were given up."""
    directory = after_an_outage()
    assert states(directory) == {"a": "ready", "b": "ready"}
    assert directory.next_expiry() == HOLD_ENDS_AT
    directory.apply(TargetsRead(9, [entry("a", 10)], [], 10), 6.0)
    assert not directory.expire(HOLD_ENDS_AT - 0.01)
    assert states(directory) == {"a": "ready", "b": "ready"}
    assert directory.expire(HOLD_ENDS_AT)
    assert states(directory) == {"a": "ready"}


def test_expiry_seen_by_a_watch_counts_like_one_seen_by_a_read() -> None:
    directory = make_directory()
    directory.apply(UPDATES[0], 0.0)
    directory.store_lost()
    directory.store_regained(BACK_AT)
    directory.apply(TargetsRead(2, [], [EntryRemoved("a", 3)], 3), BACK_AT + 0.1)
    assert states(directory) == {"a": "ready", "b": "ready"}
    assert directory.next_expiry() == HOLD_ENDS_AT


def test_peer_that_learns_of_the_expiry_keeps_the_target_as_long() -> None:
    """Boxes that do not read the store know nothing of its outage."""
    watcher, peer = after_an_outage(), make_directory()
    peer.apply(UPDATES[0], 0.0)
    peer.apply_push(watcher.changes_since(2, BACK_AT + 1.0), BACK_AT + 1.0)
    assert states(peer) == {"a": "ready", "b": "ready"}
    assert peer.next_expiry() == pytest.approx(HOLD_ENDS_AT)


@pytest.mark.parametrize("told_at", [HOLD_ENDS_AT, HOLD_ENDS_AT + 5.0])
def test_expiry_learned_late_is_a_removal(told_at: float) -> None:
    """A box that lags must not give more time to a target that was removed."""
    watcher, peer = after_an_outage(), make_directory()
    watcher.expire(told_at)
    peer.apply(UPDATES[0], 0.0)
    peer.apply_push(watcher.changes_since(2, told_at), told_at)
    assert states(peer) == {"a": "presumed_gone", "b": "presumed_gone"}


def test_leaving_target_that_expired_in_an_outage_is_dropped_at_once() -> None:
    directory = make_directory()
    directory.apply(UPDATES[0], 0.0)
    directory.apply(UPDATES[1], 0.0)
    directory.store_lost()
    directory.store_regained(BACK_AT)
    directory.apply(TargetsRead(None, [], [], 9), BACK_AT + 0.1)
    assert states(directory) == {"b": "ready"}


def test_full_read_replaces_a_lost_history() -> None:
    directory = make_directory()
    directory.apply(UPDATES[0], 0.0)
    directory.apply(TargetsRead(None, [entry("b", 2), entry("d", 7)], [], 8), 1.0)
    assert states(directory) == {"a": "presumed_gone", "b": "ready", "d": "ready"}
    assert directory.known_revision == 8


def test_old_full_read_removes_nothing_newer() -> None:
    directory = make_directory()
    directory.apply(TargetsRead(4, [entry("n", 9)], [], 9), 0.0)
    directory.apply(TargetsRead(None, [entry("a", 1)], [], 5), 0.0)
    assert states(directory) == {"n": "ready", "a": "ready"}


def test_all_changes_bring_a_new_peer_in_sync() -> None:
    old = make_directory()
    for update in UPDATES:
        old.apply(update, 0.0)
    push = old.changes_since(0, 0.0)
    new = make_directory()
    assert push.since == 0
    assert new.apply_push(push, 0.0)
    new.expire(100.0)
    assert states(new) == {"c": "ready"}
    assert new.known_revision == old.known_revision


def test_heartbeats_do_not_raise_the_known_revision() -> None:
    """Peers that were not sent them must not appear to lag: they would ask for everything."""
    directory = make_directory()
    directory.apply(UPDATES[0], 0.0)
    directory.apply(TargetsRead(2, [entry("a", 50)], [], 60), 1.0)
    directory.apply(TargetsRead(60, [], [], 90), 2.0)
    assert directory.known_revision == 2


def test_peer_with_another_revision_of_a_removal_is_in_sync_after_one_answer() -> None:
    """A full read dates a removal later than the watch did."""
    by_watch, by_reading = make_directory(), make_directory()
    for directory in (by_watch, by_reading):
        directory.apply(UPDATES[0], 0.0)
    by_watch.apply(TargetsRead(2, [], [EntryRemoved("a", 3)], 3), 0.0)
    by_reading.apply(TargetsRead(None, [entry("b", 2)], [], 40), 0.0)
    assert by_watch.known_revision < by_reading.known_revision
    by_watch.apply_push(by_reading.changes_since(by_watch.known_revision, 0.0), 1.0)
    assert by_watch.known_revision == by_reading.known_revision


def test_repeated_entry_changes_nothing() -> None:
    directory = make_directory()
    directory.apply(UPDATES[0], 0.0)
    assert not directory.apply(TargetsRead(2, [entry("a", 6)], [], 6), 0.0)
    assert not directory.apply(TargetsRead(6, [], [EntryRemoved("a", 5)], 6), 0.0)
    assert states(directory)["a"] == "ready"


@pytest.mark.parametrize(
    ("since", "instances", "gone"),
    [
        pytest.param(0, {"c"}, {"a", "b"}, id="newcomer"),
        pytest.param(3, {"c"}, {"a", "b"}, id="some"),
        pytest.param(4, {"c"}, {"b"}, id="last"),
        pytest.param(5, set(), set(), id="in-step"),
    ],
)
def test_peer_gets_what_changed_since_its_own_newest(
    since: int, instances: set[str], gone: set[str]
) -> None:
    """Full copies of 800 targets for each lag were half of the bytes of a day with a reshard."""
    directory = make_directory()
    for update in UPDATES:
        directory.apply(update, 0.0)
    push = directory.changes_since(since, 0.0)
    assert {entry.instance for entry in push.entries} == instances
    assert {gone.instance for gone in push.removed} == gone


def test_heartbeat_is_no_change_for_a_peer() -> None:
    directory = make_directory()
    directory.apply(UPDATES[0], 0.0)
    directory.apply(TargetsRead(2, [entry("a", 50)], [], 60), 1.0)
    assert directory.changes_since(2, 0.0).entries == []


def test_push_after_a_lost_one_leaves_a_gap_that_is_asked_for() -> None:
    """Otherwise a box could miss for good that a target is leaving."""
    watcher, peer = make_directory(), make_directory()
    watcher.apply(UPDATES[0], 0.0)
    peer.apply_push(watcher.changes_since(0, 0.0), 0.0)
    watcher.apply(UPDATES[1], 0.0)
    lost = watcher.known_revision
    watcher.apply(UPDATES[3], 0.0)
    assert peer.apply_push(watcher.changes_since(lost, 0.0), 0.0)
    assert peer.known_revision == 2
    assert states(peer)["a"] == "ready"
    peer.apply_push(watcher.changes_since(peer.known_revision, 0.0), 0.0)
    assert peer.known_revision == watcher.known_revision
    assert states(peer)["a"] == "leaving"


def test_stale_copy_is_used_but_counts_as_incomplete() -> None:
    """Its pages may be of different ages: a change between them must still arrive."""
    directory, watcher = make_directory(), make_directory()
    for update in UPDATES[:2]:
        watcher.apply(update, 0.0)
    assert directory.apply_copy([entry("a", 1), entry("b", 2)], 0.0)
    assert directory.is_loaded
    assert directory.known_revision == 0
    assert directory.apply_push(watcher.changes_since(directory.known_revision, 0.0), 0.1)
    assert states(directory) == {"a": "leaving", "b": "ready"}
    assert directory.known_revision == watcher.known_revision
    assert not directory.apply_copy([entry("a", 1)], 0.2)
