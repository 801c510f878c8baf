"""The decisions of one box over the files in force: it only ever moves to a newer manifest."""

import hashlib
from collections.abc import Iterable
from functools import lru_cache
from typing import Final

import msgspec

from trackwheel.files.joined import Joined
from trackwheel.files.models import (
    EMPTY_MANIFEST,
    Contents,
    FetchContents,
    FilesCommand,
    Manifest,
    ManifestEntry,
    OperatorsFile,
    Pull,
    Push,
    PutInForce,
    ReadContents,
    SendTo,
)
from trackwheel.files.parse import parse_file
from trackwheel.ini import InvalidIniError

ENTRY_DIGESTS_KEPT: Final = 20_000

Source = str | None
"""The address of the box from which a manifest came, None for the platform's store."""


def digest_of(content: bytes) -> str:
    """Return the name under which content is stored."""
    return hashlib.sha256(content).hexdigest()


def manifest_digest(manifest: Manifest) -> str:
    """Return a digest by which two manifests of one revision are told apart.

    It is the exclusive or of the entries' digests, each of which is worked out once.
    """
    digest = manifest.revision
    for name, entry in manifest.entry_by_name.items():
        digest ^= _entry_digest(name, entry)
    return f"{digest:064x}"


@lru_cache(maxsize=ENTRY_DIGESTS_KEPT)
def _entry_digest(name: str, entry: ManifestEntry) -> int:
    content = msgspec.json.encode([name, entry])
    return int.from_bytes(hashlib.sha256(content).digest())


def encode_manifest(manifest: Manifest) -> bytes:
    """Return the manifest as the store keeps it."""
    return msgspec.json.encode(manifest, order="sorted")


def decode_manifest(value: bytes) -> Manifest:
    """Return the manifest that the store keeps; raise `msgspec.DecodeError`."""
    return msgspec.json.decode(value, type=Manifest) if value else EMPTY_MANIFEST


def is_newer(new: Manifest, old: Manifest) -> bool:
    """Return whether a manifest goes before another one.

    Two manifests of one revision exist only when a store was set back and written to at
    once; every box then takes the same one of them.
    """
    if new.revision != old.revision:
        return new.revision > old.revision
    return manifest_digest(new) > manifest_digest(old)


class Keeper:
    """Hold the manifest and contents in force, and the newer one that is being fetched."""

    def __init__(self) -> None:
        self.manifest = EMPTY_MANIFEST
        self.refused_revision = 0
        self._content_by_digest: dict[str, bytes] = {}
        self._parsed_by_digest: dict[str, OperatorsFile] = {}
        self._joined = Joined()
        self._wanted: Manifest | None = None
        self._neighbours: tuple[str, ...] = ()

    @property
    def revision(self) -> int:
        """Return the revision in force."""
        return self.manifest.revision

    def contents(self) -> dict[str, bytes]:
        """Return all contents in force by digest."""
        digests = self._digests(self.manifest)
        return {digest: self._content_by_digest[digest] for digest in digests}

    def files(self) -> dict[str, OperatorsFile]:
        """Return the parsed files in force by name."""
        return {
            name: self._parse(entry)
            for name, entry in self.manifest.entry_by_name.items()
            if entry.digest
        }

    def set_neighbours(self, addresses: Iterable[str]) -> None:
        """Take the boxes to which news are pushed."""
        self._neighbours = tuple(addresses)

    def offer(self, manifest: Manifest, source: Source) -> list[FilesCommand]:
        """Take a whole manifest; an older one is passed over."""
        if not is_newer(manifest, self.manifest):
            return []
        if self._wanted is not None and not is_newer(manifest, self._wanted):
            return self._fetch(source)
        self._wanted = manifest
        return self._fetch(source)

    def add_contents(self, content_by_digest: dict[str, bytes]) -> list[FilesCommand]:
        """Take contents; each one must have the digest under which it comes."""
        for digest, content in content_by_digest.items():
            if digest_of(content) == digest:
                self._content_by_digest[digest] = content
        return self._complete()

    def take_push(self, sender: str, push: Push) -> list[FilesCommand]:
        """Take changed entries; ask for more when some before them are missing."""
        if push.revision < self.revision:
            return []
        if push.base_revision > self.revision:
            return [SendTo(sender, Pull(self.revision))]
        entries = {**self.manifest.entry_by_name, **push.entry_by_name}
        manifest = Manifest(push.revision, entries)
        if manifest_digest(manifest) == push.digest:
            return self.offer(manifest, sender)
        if push.base_revision == 0:
            # The sender's whole manifest does not have the digest that it states.
            return []
        return [SendTo(sender, Pull(0))]

    def take_pull(self, sender: str, pull: Pull) -> list[FilesCommand]:
        """Give a box the entries that it lacks."""
        return [SendTo(sender, self._push_since(pull.have_revision))]

    def take_fetch(self, sender: str, fetch: FetchContents) -> list[FilesCommand]:
        """Give a box the contents that it lacks."""
        held = self._content_by_digest
        found = {digest: held[digest] for digest in fetch.digests if digest in held}
        return [SendTo(sender, Contents(found))]

    def peer_revision(self, address: str, revision: int) -> list[FilesCommand]:
        """Take which revision a peer has in force: pull from one ahead, push to one behind."""
        if revision > self.revision:
            return [SendTo(address, Pull(self.revision))]
        if revision < self.revision:
            return [SendTo(address, self._push_since(revision))]
        return []

    def _push_since(self, revision: int) -> Push:
        entries = {
            name: entry
            for name, entry in self.manifest.entry_by_name.items()
            if entry.version > revision
        }
        digest = manifest_digest(self.manifest)
        return Push(revision, self.revision, digest, entries)

    def _fetch(self, source: Source) -> list[FilesCommand]:
        """Ask the source for contents that are missing, or finish when none is."""
        assert self._wanted is not None, "a manifest is wanted"
        missing = self._missing(self._wanted)
        if not missing:
            return self._complete()
        if source is None:
            return [ReadContents(missing)]
        return [SendTo(source, FetchContents(list(missing)))]

    def _missing(self, manifest: Manifest) -> tuple[str, ...]:
        digests = self._digests(manifest)
        return tuple(sorted(digest for digest in digests if digest not in self._content_by_digest))

    def _digests(self, manifest: Manifest) -> set[str]:
        return {entry.digest for entry in manifest.entry_by_name.values() if entry.digest}

    def _complete(self) -> list[FilesCommand]:
        """Put the wanted manifest in force once all of its contents are here."""
        wanted = self._wanted
        if wanted is None or self._missing(wanted):
            return []
        self._wanted = None
        before, self.manifest = self.manifest, wanted
        try:
            in_force = self._joined.replace(self.files(), wanted.revision)
        except InvalidIniError:
            # Whoever applied it checked it; a box that cannot read it keeps what it has.
            self.manifest = before
            self.refused_revision = wanted.revision
            return []
        self._drop_old_contents()
        push = self._push_since(before.revision)
        pushes = [SendTo(address, push) for address in self._neighbours]
        return [PutInForce(in_force), *pushes]

    def _parse(self, entry: ManifestEntry) -> OperatorsFile:
        parsed = self._parsed_by_digest.get(entry.digest)
        if parsed is None:
            content = self._content_by_digest[entry.digest]
            parsed = self._parsed_by_digest[entry.digest] = parse_file("in force", content)
        return parsed

    def _drop_old_contents(self) -> None:
        kept = self._digests(self.manifest)
        self._content_by_digest = {d: c for d, c in self._content_by_digest.items() if d in kept}
        self._parsed_by_digest = {d: p for d, p in self._parsed_by_digest.items() if d in kept}
