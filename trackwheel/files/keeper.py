"""The decisions of one box over the files in force: it only ever moves to a newer manifest."""

import hashlib
import zlib
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from trackwheel.files.const import MAX_BATCH_BYTES, MAX_RECENT_APPLIES
from trackwheel.files.joined import Joined
from trackwheel.files.models import (
    EMPTY_MANIFEST,
    Contents,
    FetchContents,
    FilesCommand,
    InForce,
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

Source = str | None
"""The address of the box from which a manifest came, None for the platform's store."""


def digest_of(content: bytes) -> str:
    """Return the name under which content is stored."""
    return hashlib.sha256(content).hexdigest()


def manifest_digest(manifest: Manifest) -> str:
    """Return a digest by which two manifests of one revision are told apart.

    It is the exclusive or of the entries' digests, so that a change of entries changes it alone.
    """
    digest = 0
    for name, entry in manifest.entry_by_name.items():
        digest ^= _entry_digest(name, entry)
    return _digest_text(digest, manifest.revision)


def _digest_text(digest: int, revision: int) -> str:
    return f"{digest ^ revision:064x}"


def _entry_digest(name: str, entry: ManifestEntry) -> int:
    content = msgspec.json.encode([name, entry])
    return int.from_bytes(hashlib.sha256(content).digest())


def is_newer(new: Manifest, old: Manifest) -> bool:
    """Return whether a manifest goes before another one.

    Two manifests of one revision exist only when a store was set back and written to at
    once; every box then takes the same one of them.
    """
    if new.revision != old.revision:
        return new.revision > old.revision
    return manifest_digest(new) > manifest_digest(old)


class _Wanted(NamedTuple):
    """Hold the manifest that is being fetched and its entries that are not in force yet."""

    manifest: Manifest
    changed_by_name: dict[str, ManifestEntry]


class Keeper:
    """Hold the manifest and contents in force, and the newer one that is being fetched.

    A change costs what changed: the digest, the parsed files and their join are kept up to date
    entry by entry.
    """

    def __init__(self) -> None:
        self.manifest = EMPTY_MANIFEST
        self.refused_revision = 0
        self._entries_digest = 0
        self._packed_by_digest: dict[str, bytes] = {}
        self._arrived_by_digest: dict[str, bytes] = {}
        self._joined = Joined()
        self._wanted: _Wanted | None = None
        self._neighbours: tuple[str, ...] = ()

    @property
    def revision(self) -> int:
        """Return the revision in force."""
        return self.manifest.revision

    def contents(self) -> dict[str, bytes]:
        """Return all contents in force by digest."""
        return {d: zlib.decompress(packed) for d, packed in self._packed_by_digest.items()}

    def content(self, digest: str) -> bytes | None:
        """Return one content that is held, None when it is not."""
        arrived = self._arrived_by_digest.get(digest)
        if arrived is not None:
            return arrived
        packed = self._packed_by_digest.get(digest)
        return zlib.decompress(packed) if packed is not None else None

    def changed(self, manifest: Manifest) -> dict[str, ManifestEntry | None]:
        """Return what differs in a manifest from the one in force; None for what it lacks."""
        removed = self.manifest.entry_by_name.keys() - manifest.entry_by_name.keys()
        return {**dict.fromkeys(removed), **self._changed(manifest)}

    def check(self, changed_by_name: Mapping[str, OperatorsFile | None]) -> None:
        """Raise `InvalidIniError` if the files in force, so changed, contradict each other."""
        self._joined.check(changed_by_name)

    def set_neighbours(self, addresses: Iterable[str]) -> None:
        """Take the boxes to which news are pushed."""
        self._neighbours = tuple(addresses)

    def offer(self, manifest: Manifest, source: Source) -> list[FilesCommand]:
        """Take a whole manifest; an older one is passed over."""
        if not is_newer(manifest, self.manifest):
            return []
        if self._wanted is None or is_newer(manifest, self._wanted.manifest):
            self._wanted = _Wanted(manifest, self._changed(manifest))
        return self._fetch(self._wanted, source)

    def add_contents(self, content_by_digest: dict[str, bytes]) -> list[FilesCommand]:
        """Take contents; each one must have the digest under which it comes."""
        for digest, content in content_by_digest.items():
            if digest not in self._packed_by_digest and digest_of(content) == digest:
                self._arrived_by_digest[digest] = content
        return self._complete()

    def take_push(self, sender: str, push: Push) -> list[FilesCommand]:
        """Take changed entries; ask for more when some before them are missing."""
        if push.revision < self.revision:
            return []
        if push.base_revision > self.revision:
            return [SendTo(sender, Pull(self.revision))]
        if self._digest_after(push) == push.digest:
            entries = {**self.manifest.entry_by_name, **push.entry_by_name}
            recent = _ids_after(self.manifest, push)
            return self.offer(Manifest(push.revision, entries, recent), sender)
        if push.base_revision == 0:
            # The sender's whole manifest does not have the digest that it states.
            return []
        return [SendTo(sender, Pull(0))]

    def take_pull(self, sender: str, pull: Pull) -> list[FilesCommand]:
        """Give a box the entries that it lacks."""
        return [SendTo(sender, self._push_since(pull.have_revision))]

    def take_fetch(self, sender: str, fetch: FetchContents) -> list[FilesCommand]:
        """Give a box the contents that it lacks."""
        commands: list[FilesCommand] = []
        batch: dict[str, bytes] = {}
        for digest in fetch.digests:
            packed = self._packed_by_digest.get(digest)
            if packed is None:
                continue
            content = zlib.decompress(packed)
            if batch and sum(map(len, batch.values())) + len(content) > MAX_BATCH_BYTES:
                commands.append(SendTo(sender, Contents(batch)))
                batch = {}
            batch[digest] = content
        return [*commands, SendTo(sender, Contents(batch))]

    def peer_revision(self, address: str, revision: int) -> list[FilesCommand]:
        """Take which revision a peer has in force: pull from one ahead, push to one behind."""
        if revision > self.revision:
            return [SendTo(address, Pull(self.revision))]
        if revision < self.revision:
            return [SendTo(address, self._push_since(revision))]
        return []

    def _digest_after(self, push: Push) -> str:
        """Return the digest that this box's manifest would have with a push's entries."""
        digest = self._entries_digest
        for name, entry in push.entry_by_name.items():
            old = self.manifest.entry_by_name.get(name)
            if old is not None:
                digest ^= _entry_digest(name, old)
            digest ^= _entry_digest(name, entry)
        return _digest_text(digest, push.revision)

    def _push_since(self, revision: int) -> Push:
        manifest = self.manifest
        entries = {
            name: entry
            for name, entry in manifest.entry_by_name.items()
            if entry.version > revision
        }
        digest = _digest_text(self._entries_digest, manifest.revision)
        missed = max(0, min(manifest.revision - revision, len(manifest.recent_apply_ids)))
        ids = manifest.recent_apply_ids[len(manifest.recent_apply_ids) - missed :]
        return Push(revision, manifest.revision, digest, entries, ids)

    def _fetch(self, wanted: _Wanted, source: Source) -> list[FilesCommand]:
        """Ask the source for contents that are missing, or finish when none is."""
        missing = self._missing(wanted)
        if not missing:
            return self._complete()
        if source is None:
            return [ReadContents(missing)]
        return [SendTo(source, FetchContents(list(missing)))]

    def _missing(self, wanted: _Wanted) -> tuple[str, ...]:
        digests = {entry.digest for entry in wanted.changed_by_name.values() if entry.digest}
        return tuple(
            sorted(digests - self._packed_by_digest.keys() - self._arrived_by_digest.keys())
        )

    def _changed(self, manifest: Manifest) -> dict[str, ManifestEntry]:
        """Return the entries of a manifest that are not in force as they stand there."""
        held = self.manifest.entry_by_name
        entries = manifest.entry_by_name.items()
        return {name: entry for name, entry in entries if held.get(name) != entry}

    def _complete(self) -> list[FilesCommand]:
        """Put the wanted manifest in force once all of its contents are here."""
        wanted = self._wanted
        if wanted is None or self._missing(wanted):
            return []
        self._wanted = None
        before, (manifest, changed) = self.manifest, wanted
        removed = before.entry_by_name.keys() - manifest.entry_by_name.keys()
        try:
            in_force = self._join(changed, removed, manifest.revision)
        except InvalidIniError:
            # Whoever applied it checked it; a box that cannot read it keeps what it has.
            self.refused_revision = manifest.revision
            return []
        self._keep(manifest, changed, removed)
        push = self._push_since(before.revision)
        pushes = [SendTo(address, push) for address in self._neighbours]
        return [PutInForce(in_force), *pushes]

    def _join(
        self, changed: dict[str, ManifestEntry], removed: Iterable[str], revision: int
    ) -> InForce:
        """Return the joined view; raise `InvalidIniError` and change nothing."""
        files: dict[str, OperatorsFile | None] = dict.fromkeys(removed)
        for name, entry in changed.items():
            files[name] = self._parse(entry.digest) if entry.digest else None
        return self._joined.update(files, revision)

    def _parse(self, digest: str) -> OperatorsFile:
        content = self.content(digest)
        assert content is not None, "all contents of a manifest are here before it is parsed"
        return parse_file("in force", content)

    def _keep(
        self, wanted: Manifest, changed: dict[str, ManifestEntry], removed: Iterable[str]
    ) -> None:
        """Take a manifest as the one in force, with its contents and no others."""
        before, self.manifest = self.manifest, wanted
        self.refused_revision = 0
        arrived, self._arrived_by_digest = self._arrived_by_digest, {}
        new = {entry.digest for entry in changed.values() if entry.digest}
        for name, entry in changed.items():
            self._entries_digest ^= _entry_digest(name, entry)
        for name in (*changed, *removed):
            old = before.entry_by_name.get(name)
            if old is None:
                continue
            self._entries_digest ^= _entry_digest(name, old)
            if old.digest not in new:
                self._packed_by_digest.pop(old.digest, None)
        packed = {d: zlib.compress(arrived[d]) for d in new if d in arrived}
        self._packed_by_digest.update(packed)


def _ids_after(manifest: Manifest, push: Push) -> tuple[str, ...]:
    """Return the latest apply ids of a manifest after a push."""
    missed = push.revision - manifest.revision
    fresh = push.apply_ids[-missed:] if missed > 0 else push.apply_ids
    return (*manifest.recent_apply_ids, *fresh)[-MAX_RECENT_APPLIES:]
