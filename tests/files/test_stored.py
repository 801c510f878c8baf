"""The stored manifest: no writer takes a page away that a head names, in any order of steps."""

from collections.abc import Coroutine, Generator
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from trackwheel.files.const import KEY_MANIFEST, KEY_PAGE_PREFIX, MAX_FILE_BYTES
from trackwheel.files.models import EMPTY_MANIFEST, Manifest, ManifestEntry
from trackwheel.files.stored import (
    Generation,
    Page,
    Read,
    StoredManifests,
    decode_page,
    next_page,
    page_of,
)
from trackwheel.storage.errors import PlatformError, platform_error
from trackwheel.storage.models import StoredValue, WriteResult

ON_ONE_PAGE = [name for name in map(str, range(2000)) if page_of(name) == 3][:4]


class Turn:
    """Give the turn to another task."""

    def __await__(self) -> Generator[None]:
        yield


class FakeStore:
    """Hold keys; every call gives the turn away before and after it takes effect."""

    def __init__(self) -> None:
        self.stored_by_key: dict[str, StoredValue] = {}
        self.revision = 0
        self.faults: list[str] = []
        self.largest = 0
        self.bytes_moved = 0

    async def get(self, key: str) -> Result[StoredValue, PlatformError]:
        await Turn()
        fault = self.faults.pop() if self.faults else ""
        if fault:
            return Failure(platform_error("get", "store", fault))
        stored = self.stored_by_key.get(key, StoredValue(b"", 0))
        self.bytes_moved += len(stored.value)
        await Turn()
        return Success(stored)

    async def watch(self, key: str, after: int) -> Result[StoredValue, PlatformError]:
        return await self.get(key)

    async def compare_and_swap(
        self, key: str, value: bytes, revision: int
    ) -> Result[WriteResult, PlatformError]:
        await Turn()
        fault = self.faults.pop() if self.faults else ""
        current = self.stored_by_key.get(key, StoredValue(b"", 0)).revision
        written = revision == current and fault != "down"
        if written:
            self.revision += 1
            self.stored_by_key[key] = StoredValue(value, self.revision)
            self.largest = max(self.largest, len(value))
            self.bytes_moved += len(value)
        await Turn()
        if fault:
            return Failure(platform_error("put", "store", fault))
        return Success(WriteResult(written, self.revision if written else current))


def manifest_after(manifest: Manifest, name: str, apply_id: str) -> Manifest:
    revision = manifest.revision + 1
    entry = ManifestEntry(revision, f"{apply_id:>064}", apply_id, "op", "now")
    ids = (*manifest.recent_apply_ids, apply_id)
    return Manifest(revision, {**manifest.entry_by_name, name: entry}, ids)


async def operator(
    manifests: StoredManifests, name: str, count: int, wished: dict[str, Manifest]
) -> None:
    """Apply a file some times; after a doubtful reply read back whether it took effect."""
    for number in range(count):
        apply_id = f"{name}-{number}"
        while True:
            read = await manifests.get()
            if not isinstance(read, Success):
                continue
            manifest = read.unwrap().manifest
            assert manifest is not None, "no page is ever lost"
            if apply_id in manifest.recent_apply_ids:
                break
            wish = manifest_after(manifest, name, apply_id)
            wished[apply_id] = wish
            assert await manifests.write(wish, read.unwrap().key_revision)


async def watcher(store: FakeStore, wished: dict[str, Manifest], reads: int) -> None:
    """Read again and again; what is read is always whole and never older."""
    manifests = StoredManifests(store)
    highest = 0
    for _ in range(reads):
        read = await manifests.get()
        if not isinstance(read, Success):
            continue
        manifest = read.unwrap().manifest
        assert manifest is not None, "no page is ever lost"
        assert manifest.revision >= highest
        highest = manifest.revision
        if highest:
            assert manifest == wished[manifest.recent_apply_ids[-1]]


def run_in_turns(tasks: list[Coroutine[Any, Any, None]], turns: list[int]) -> None:
    """Advance tasks in the order that the turns say, then round and round to their ends."""
    number = 0
    while tasks:
        place = (turns[number] if number < len(turns) else number) % len(tasks)
        number += 1
        try:
            tasks[place].send(None)
        except StopIteration:
            del tasks[place]


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    turns=st.lists(st.integers(0, 5), max_size=250),
    faults=st.lists(st.sampled_from(["", "", "", "down", "lost"]), max_size=40),
    boxes=st.sampled_from([(0, 0, 0, 0), (0, 0, 1, 1), (0, 0, 1, 2), (0, 1, 2, 3)]),
)
def test_no_order_of_steps_loses_a_page_or_an_apply(
    turns: list[int], faults: list[str], boxes: tuple[int, ...]
) -> None:
    store = FakeStore()
    store.faults = list(faults)
    wished: dict[str, Manifest] = {}
    manifests = [StoredManifests(store) for _ in boxes]
    tasks = [
        operator(manifests[box], name, 3, wished)
        for box, name in zip(boxes, ON_ONE_PAGE, strict=True)
    ]
    tasks += [watcher(store, wished, 12) for _ in range(2)]
    run_in_turns(tasks, turns)
    run_in_turns([watcher(store, wished, 1)], [])
    page = decode_page(store.stored_by_key[f"{KEY_PAGE_PREFIX}3"].value)
    assert len(page.generations) <= 1 + len(ON_ONE_PAGE), "what nobody can commit is dropped"


@pytest.mark.parametrize(
    ("held", "committed", "kept"),
    [
        pytest.param([], None, [], id="first"),
        pytest.param([(1, "a")], "a", ["a"], id="committed-stays"),
        pytest.param([(1, "a"), (5, "b")], "a", ["a", "b"], id="rival-of-same-head-stays"),
        pytest.param([(1, "a"), (2, "b"), (3, "c")], "c", ["c"], id="older-ones-go"),
        pytest.param([(1, "a"), (9, "b")], "a", ["a", "b"], id="newer-than-a-slow-writer-stays"),
        pytest.param([(5, "new"), (1, "a")], "a", ["a"], id="own-earlier-try-is-replaced"),
    ],
)
def test_generations_that_stay(
    held: list[tuple[int, str]], committed: str | None, kept: list[str]
) -> None:
    page = Page(tuple(Generation(base, digest, {}) for base, digest in held))
    after = next_page(page, committed, Generation(5, "new", {}))
    assert [generation.digest for generation in after.generations] == [*kept, "new"]


def apply_one(store: FakeStore, manifests: StoredManifests, name: str, apply_id: str) -> Manifest:
    """Apply one file with nobody else about."""
    held: list[Manifest] = []

    async def run() -> None:
        read = (await manifests.get()).unwrap()
        wish = manifest_after(read.manifest or EMPTY_MANIFEST, name, apply_id)
        assert (await manifests.write(wish, read.key_revision)).unwrap().written
        held.append(wish)

    run_in_turns([run()], [])
    return held[0]


def test_manifest_of_thousands_of_files_fits_and_a_change_moves_little() -> None:
    store = FakeStore()
    writer, reader = StoredManifests(store), StoredManifests(store)
    entries = {
        f"file-{number:05}": ManifestEntry(number, "0" * 64, "0" * 16, "somebody", "2026-12-02T14")
        for number in range(3300)
    }
    manifest = Manifest(3300, entries, ("0" * 16,) * 128)

    async def begin() -> None:
        await writer.get()
        assert (await writer.write(manifest, 0)).unwrap().written
        assert (await reader.get()).unwrap().manifest == manifest

    run_in_turns([begin()], [])
    assert store.largest < MAX_FILE_BYTES / 10
    apply_one(store, writer, "file-00007", "changed")
    store.bytes_moved = 0

    async def follow() -> None:
        await reader.get()

    run_in_turns([follow()], [])
    assert store.bytes_moved < 40_000, "the head and the page that changed"


def test_page_that_moved_on_while_a_slow_reader_read_is_not_called_lost() -> None:
    store = FakeStore()
    writer = StoredManifests(store)
    apply_one(store, writer, ON_ONE_PAGE[0], "one")
    results: list[Result[Read, PlatformError]] = []

    async def read() -> None:
        results.append(await StoredManifests(store).get())

    slow = read()
    slow.send(None)
    slow.send(None)
    for number in range(3):
        apply_one(store, writer, ON_ONE_PAGE[0], f"later-{number}")
    run_in_turns([slow], [])
    assert not isinstance(results[0], Success)


def test_lost_page_is_told_from_a_newer_head_and_can_be_written_again() -> None:
    store = FakeStore()
    manifests = StoredManifests(store)
    manifest = apply_one(store, manifests, ON_ONE_PAGE[0], "one")
    del store.stored_by_key[f"{KEY_PAGE_PREFIX}3"]

    async def heal() -> None:
        newcomer = StoredManifests(store)
        read = (await newcomer.get()).unwrap()
        assert (read.manifest, read.manifest_revision) == (None, 1)
        assert (await newcomer.write(manifest, read.key_revision)).unwrap().written
        assert (await StoredManifests(store).get()).unwrap().manifest == manifest

    run_in_turns([heal()], [])
    assert store.stored_by_key[KEY_MANIFEST].revision > 1
