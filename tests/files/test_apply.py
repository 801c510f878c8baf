"""Applying under races, lost replies and an older store: told the truth, never reverted."""

import random
from collections.abc import Generator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trackwheel.files.apply import (
    Apply,
    ApplyCommand,
    ApplyEnded,
    ApplyOutcome,
    BringForward,
    CheckJoined,
    ReadManifest,
    Wish,
    WriteManifest,
)
from trackwheel.files.models import EMPTY_MANIFEST, Manifest, ManifestEntry
from trackwheel.storage.models import WriteResult


class Store:
    """Hold one key with compare-and-swap; every accepted manifest is remembered."""

    def __init__(self) -> None:
        self.manifest = EMPTY_MANIFEST
        self.revision = 0
        self.history: list[Manifest] = []

    def write(self, manifest: Manifest, revision: int) -> WriteResult:
        if revision != self.revision:
            return WriteResult(False, self.revision)
        self.revision += 1
        self.manifest = manifest
        self.history.append(manifest)
        return WriteResult(True, self.revision)


def wish(name: str, who: str, expected: int | None = None) -> Wish:
    return Wish(name, f"digest-{who}", f"apply-{who}", who, "now", expected)


def operator(store: Store, apply: Apply, faults: Generator[str, None, None]) -> Generator[None]:
    """Run one apply step by step; between any two steps another operator may run."""
    command: ApplyCommand = apply.start()
    pending: WriteManifest | None = None
    while not isinstance(command, ApplyEnded):
        yield
        fault = next(faults)
        if pending is not None and fault == "late":
            # A write whose reply was lost takes effect only now.
            store.write(pending.manifest, pending.revision)
            pending = None
        if isinstance(command, CheckJoined):
            command = apply.checked()
        elif fault == "down":
            command = apply.uncertain()
        elif isinstance(command, ReadManifest):
            command = apply.manifest_read(store.manifest, store.revision)
        elif isinstance(command, BringForward) or fault == "lost":
            store.write(command.manifest, command.revision)
            command = apply.uncertain()
        elif fault == "delayed":
            pending = command
            command = apply.uncertain()
        else:
            command = apply.written(store.write(command.manifest, command.revision))
    ENDED.append((apply, command))


ENDED: list[tuple[Apply, ApplyEnded]] = []


def endless(first: list[str]) -> Generator[str, None, None]:
    yield from first
    while True:
        yield "ok"


@pytest.mark.parametrize(
    ("faults", "outcome"),
    [
        pytest.param([], ApplyOutcome.ACCEPTED, id="plain"),
        pytest.param(["down"] * 3, ApplyOutcome.ACCEPTED, id="store-down-at-first"),
        pytest.param(["ok", "ok", "lost"], ApplyOutcome.ACCEPTED, id="reply-lost"),
        pytest.param(["ok", "ok", "lost", "down"], ApplyOutcome.ACCEPTED, id="lost-then-down"),
        pytest.param(
            ["ok", "ok", "delayed", "ok", "ok", "late"], ApplyOutcome.ACCEPTED, id="late-write"
        ),
    ],
)
def test_one_operator(faults: list[str], outcome: ApplyOutcome) -> None:
    store = Store()
    ENDED.clear()
    list(operator(store, Apply(wish("a", "anna"), EMPTY_MANIFEST), endless(faults)))
    assert ENDED[0][1].outcome is outcome
    assert store.manifest.entry_by_name["a"].digest == "digest-anna"
    assert len([m for m in store.history if m.entry_by_name["a"].apply_id == "apply-anna"]) == 1


def run_race(
    seed: int, names: list[str], faults: list[list[str]]
) -> tuple[Store, list[ApplyEnded]]:
    store = Store()
    ENDED.clear()
    pick = random.Random(seed)
    applies = [Apply(wish(name, f"op{n}"), EMPTY_MANIFEST) for n, name in enumerate(names)]
    running = [
        operator(store, apply, endless(first)) for apply, first in zip(applies, faults, strict=True)
    ]
    while running:
        chosen = pick.choice(running)
        try:
            next(chosen)
        except StopIteration:
            running.remove(chosen)
    ended = {id(apply): end for apply, end in ENDED}
    return store, [ended[id(apply)] for apply in applies]


FAULT = st.sampled_from(["ok", "ok", "ok", "down", "lost", "delayed", "late"])


@settings(max_examples=600, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 10_000),
    names=st.lists(st.sampled_from(["a", "b", "c"]), min_size=2, max_size=10),
    data=st.data(),
)
def test_racing_operators(seed: int, names: list[str], data: st.DataObject) -> None:
    """Up to ten race on the same and on different files, with any faults on the way."""
    faults = [data.draw(st.lists(FAULT, max_size=12)) for _ in names]
    store, ends = run_race(seed, names, faults)
    revisions = [manifest.revision for manifest in store.history]
    assert revisions == sorted(set(revisions)), "the revision only grows"
    for number, (name, end) in enumerate(zip(names, ends, strict=True)):
        took_effect = any(
            name in manifest.entry_by_name
            and manifest.entry_by_name[name].apply_id == f"apply-op{number}"
            for manifest in store.history
        )
        assert (end.outcome is ApplyOutcome.ACCEPTED) is took_effect, "told the truth"
        if end.outcome is ApplyOutcome.CONFLICT:
            assert end.winner is not None
            assert end.winner.apply_id != f"apply-op{number}"
    for name in set(names):
        assert name in store.manifest.entry_by_name, "somebody wins each file"


def test_different_files_are_both_accepted() -> None:
    store, ends = run_race(3, ["a", "b", "c"], [[], [], []])
    assert [end.outcome for end in ends] == [ApplyOutcome.ACCEPTED] * 3
    assert set(store.manifest.entry_by_name) == {"a", "b", "c"}


def test_older_store_is_brought_forward_before_anything_is_applied() -> None:
    store = Store()
    entry = ManifestEntry(5, "d", "x", "anna", "then")
    in_force = Manifest(7, {"a": entry, "b": entry}, ("x",))
    ENDED.clear()
    list(operator(store, Apply(wish("c", "ben"), in_force), endless([])))
    assert ENDED[0][1].outcome is ApplyOutcome.ACCEPTED
    assert store.manifest.revision == 8
    assert set(store.manifest.entry_by_name) == {"a", "b", "c"}


@pytest.mark.parametrize(
    ("expected", "outcome"),
    [
        pytest.param(None, ApplyOutcome.ACCEPTED, id="any"),
        pytest.param(5, ApplyOutcome.ACCEPTED, id="same"),
        pytest.param(4, ApplyOutcome.CONFLICT, id="older"),
        pytest.param(0, ApplyOutcome.CONFLICT, id="thought-new"),
    ],
)
def test_expected_version(expected: int | None, outcome: ApplyOutcome) -> None:
    store = Store()
    entry = ManifestEntry(5, "d", "x", "anna", "then")
    store.manifest = Manifest(7, {"a": entry}, ("x",))
    ENDED.clear()
    list(operator(store, Apply(wish("a", "ben", expected), EMPTY_MANIFEST), endless([])))
    assert ENDED[0][1].outcome is outcome


def test_store_that_stays_away_is_not_called_failed_after_a_write() -> None:
    apply = Apply(wish("a", "anna"), EMPTY_MANIFEST)
    assert apply.out_of_time().outcome is ApplyOutcome.NOT_APPLIED
    apply.manifest_read(EMPTY_MANIFEST, 0)
    apply.checked()
    assert apply.out_of_time().outcome is ApplyOutcome.UNCERTAIN
