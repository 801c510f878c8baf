"""The manifest as the platform's store keeps it: a small head and pages of entries.

One value could not hold the manifest of some thousand files, and each change would move all of
it. The head names each page by its digest and is the only commit point. A page's key holds the
generation that the head names and those of writers that may still commit: a writer that wrote
against an older head can no longer commit, so its generation is dropped by the next writer.
"""

import hashlib
from collections import defaultdict
from typing import NamedTuple

import msgspec
import xxhash
from returns.result import Failure, Result, Success

from trackwheel.files.const import (
    KEY_MANIFEST,
    KEY_PAGE_PREFIX,
    MANIFEST_PAGES,
    PAGE_DIGEST_DIGITS,
)
from trackwheel.files.models import Manifest, ManifestEntry
from trackwheel.storage.errors import PlatformError, platform_error
from trackwheel.storage.models import KeyValueClient, StoredValue, WriteResult

EntryByName = dict[str, ManifestEntry]


class Head(NamedTuple):
    """Hold what commits a manifest: its revision and the digest of each page."""

    revision: int
    recent_apply_ids: tuple[str, ...]
    digest_by_page: dict[int, str]


class Generation(NamedTuple):
    """Hold a page's entries; `base` is the head's key revision that its writer had read."""

    base: int
    digest: str
    entry_by_name: EntryByName


class Page(NamedTuple):
    """Hold the generations under one page's key."""

    generations: tuple[Generation, ...]


class Read(NamedTuple):
    """Hold a manifest, or only its revision when a page is missing, and the key's revision."""

    manifest: Manifest | None
    manifest_revision: int
    key_revision: int


EMPTY_HEAD = Head(0, (), {})


def page_of(name: str) -> int:
    """Return the number of the page that lists a file."""
    return int(xxhash.xxh64_intdigest(name.encode())) % MANIFEST_PAGES


def page_digest(entry_by_name: EntryByName) -> str:
    """Return the digest by which a head names a page."""
    content = msgspec.json.encode(sorted(entry_by_name.items()))
    return hashlib.sha256(content).hexdigest()[:PAGE_DIGEST_DIGITS]


def split_pages(manifest: Manifest) -> dict[int, EntryByName]:
    """Return a manifest's entries by page."""
    pages: defaultdict[int, EntryByName] = defaultdict(dict)
    for name, entry in manifest.entry_by_name.items():
        pages[page_of(name)][name] = entry
    return pages


def next_page(page: Page, committed: str | None, new: Generation) -> Page:
    """Return a page with a new generation and without those that nobody can commit any more.

    What was committed after the writer had read the head has a base at least as new.
    """
    kept = tuple(
        generation
        for generation in page.generations
        if generation.digest != new.digest
        and (generation.digest == committed or generation.base >= new.base)
    )
    return Page((*kept, new))


def decode_head(value: bytes) -> Head:
    """Return the head that the store keeps; raise `msgspec.DecodeError`."""
    return msgspec.json.decode(value, type=Head) if value else EMPTY_HEAD


def decode_page(value: bytes) -> Page:
    """Return the page that the store keeps; raise `msgspec.DecodeError`."""
    return msgspec.json.decode(value, type=Page) if value else Page(())


class StoredManifests:
    """Read and write manifests; pages that have been read are not read again."""

    def __init__(self, store: KeyValueClient) -> None:
        self._store = store
        self._head = EMPTY_HEAD
        self._head_key_revision = 0
        self._entries_by_digest: dict[str, EntryByName] = {}

    async def get(self) -> Result[Read, PlatformError]:
        """Return the manifest as it stands; raise `msgspec.DecodeError`."""
        result = await self._store.get(KEY_MANIFEST)
        return await self._assembled(result)

    async def watch(self, after: int) -> Result[Read, PlatformError]:
        """Return the manifest when its key's revision is another one, or after some seconds."""
        result = await self._store.watch(KEY_MANIFEST, after)
        return await self._assembled(result)

    async def write(self, manifest: Manifest, revision: int) -> Result[WriteResult, PlatformError]:
        """Write a manifest if the head's key has the revision that was read last."""
        if revision != self._head_key_revision:
            return Success(WriteResult(False, self._head_key_revision))
        head, entries_by_page = self._head, split_pages(manifest)
        digest_by_page = {page: page_digest(entries) for page, entries in entries_by_page.items()}
        for number, digest in sorted(digest_by_page.items()):
            committed = head.digest_by_page.get(number)
            if digest == committed and digest in self._entries_by_digest:
                continue
            generation = Generation(revision, digest, entries_by_page[number])
            result = await self._write_page(number, committed, generation)
            if not isinstance(result, Success) or not result.unwrap().written:
                return result
        value = msgspec.json.encode(
            Head(manifest.revision, manifest.recent_apply_ids, digest_by_page)
        )
        return await self._store.compare_and_swap(KEY_MANIFEST, value, revision)

    async def _write_page(
        self, number: int, committed: str | None, new: Generation
    ) -> Result[WriteResult, PlatformError]:
        key = f"{KEY_PAGE_PREFIX}{number}"
        result = await self._store.get(key)
        if not isinstance(result, Success):
            return Failure(result.failure())
        stored = result.unwrap()
        page = next_page(decode_page(stored.value), committed, new)
        value = msgspec.json.encode(page)
        return await self._store.compare_and_swap(key, value, stored.revision)

    async def _assembled(
        self, result: Result[StoredValue, PlatformError]
    ) -> Result[Read, PlatformError]:
        if not isinstance(result, Success):
            return Failure(result.failure())
        stored = result.unwrap()
        head = decode_head(stored.value)
        named = set(head.digest_by_page.values())
        found = {d: entries for d, entries in self._entries_by_digest.items() if d in named}
        for number, digest in head.digest_by_page.items():
            if digest in found:
                continue
            page = await self._read_page(number)
            if not isinstance(page, Success):
                return Failure(page.failure())
            for generation in page.unwrap().generations:
                found[generation.digest] = generation.entry_by_name
        if not named <= found.keys():
            return await self._without_page(head, stored.revision)
        return Success(self._take(head, stored.revision, found))

    async def _read_page(self, number: int) -> Result[Page, PlatformError]:
        result = await self._store.get(f"{KEY_PAGE_PREFIX}{number}")
        if not isinstance(result, Success):
            return Failure(result.failure())
        return Success(decode_page(result.unwrap().value))

    async def _without_page(self, head: Head, revision: int) -> Result[Read, PlatformError]:
        """Tell a page that is lost from one that a newer head no longer names."""
        again = await self._store.get(KEY_MANIFEST)
        if isinstance(again, Success) and again.unwrap().revision == revision:
            self._head, self._head_key_revision = head, revision
            return Success(Read(None, head.revision, revision))
        return Failure(platform_error("read", KEY_PAGE_PREFIX, "the manifest moved on"))

    def _take(self, head: Head, revision: int, found: dict[str, EntryByName]) -> Read:
        self._head, self._head_key_revision = head, revision
        named = head.digest_by_page.values()
        self._entries_by_digest = {digest: found[digest] for digest in named}
        entries: EntryByName = {}
        for page in self._entries_by_digest.values():
            entries.update(page)
        manifest = Manifest(head.revision, entries, head.recent_apply_ids)
        return Read(manifest, head.revision, revision)
