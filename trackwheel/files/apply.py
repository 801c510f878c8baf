"""The decisions of one apply: one compare-and-swap on the manifest, and what its result means.

A write whose reply was lost may have taken effect, or may still do so: it is never called
failed, but read back and tried again, under an apply id that tells one's own write.
"""

from enum import StrEnum
from typing import NamedTuple

from trackwheel.files.const import MAX_RECENT_APPLIES
from trackwheel.files.keeper import is_newer
from trackwheel.files.models import Manifest, ManifestEntry
from trackwheel.storage.models import WriteResult


class ApplyOutcome(StrEnum):
    """Say how an apply ended."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    CONFLICT = "conflict"
    UNCERTAIN = "uncertain"
    NOT_APPLIED = "not_applied"


class Wish(NamedTuple):
    """Say what an operator wants in force; `expected` is the version it was based on."""

    name: str
    digest: str
    apply_id: str
    applied_by: str
    applied_at: str
    expected: int | None


class ReadManifest(NamedTuple):
    """Command: read the manifest from the store."""


class BringForward(NamedTuple):
    """Command: write the manifest in force over an older one in the store."""

    manifest: Manifest
    older: Manifest
    revision: int


class CheckJoined(NamedTuple):
    """Command: check the wished file against the others in the manifest, then go on."""

    manifest: Manifest


class WriteManifest(NamedTuple):
    """Command: write this manifest if the key still has the revision."""

    manifest: Manifest
    revision: int


class ApplyEnded(NamedTuple):
    """Command: tell the operator; `winner` is the entry that is in force instead."""

    outcome: ApplyOutcome
    manifest: Manifest
    winner: ManifestEntry | None


ApplyCommand = ReadManifest | BringForward | CheckJoined | WriteManifest | ApplyEnded


class Apply:
    """Decide, from what the store answers, how one apply goes on."""

    def __init__(self, wish: Wish, in_force: Manifest) -> None:
        self._wish = wish
        self._in_force = in_force
        self._expected = wish.expected
        self._attempted = False
        self._manifest: Manifest | None = None
        self._revision = 0

    def start(self) -> ApplyCommand:
        """Begin."""
        return ReadManifest()

    def manifest_read(self, manifest: Manifest, revision: int) -> ApplyCommand:
        """Take the manifest that the store holds now, at the key's revision."""
        wish = self._wish
        entry = manifest.entry_by_name.get(wish.name)
        if wish.apply_id in manifest.recent_apply_ids:
            return ApplyEnded(ApplyOutcome.ACCEPTED, manifest, None)
        if is_newer(self._in_force, manifest):
            return BringForward(self._in_force, manifest, revision)
        version = entry.version if entry is not None else 0
        if self._expected is None:
            self._expected = version
        if version != self._expected:
            return ApplyEnded(ApplyOutcome.CONFLICT, manifest, entry)
        if entry is not None and entry.digest == wish.digest and not self._attempted:
            return ApplyEnded(ApplyOutcome.UNCHANGED, manifest, None)
        self._manifest = self._with_wish(manifest)
        self._revision = revision
        return CheckJoined(self._manifest)

    def checked(self) -> ApplyCommand:
        """Take that the wished file fits the others."""
        assert self._manifest is not None, "a manifest was read"
        self._attempted = True
        return WriteManifest(self._manifest, self._revision)

    def written(self, written: WriteResult) -> ApplyCommand:
        """Take the store's answer to the write."""
        assert self._manifest is not None, "a manifest was read"
        if written.written:
            return ApplyEnded(ApplyOutcome.ACCEPTED, self._manifest, None)
        return ReadManifest()

    def uncertain(self) -> ApplyCommand:
        """Take that the store did not answer: read back until it does."""
        return ReadManifest()

    def out_of_time(self) -> ApplyEnded:
        """End while the store does not answer."""
        outcome = ApplyOutcome.UNCERTAIN if self._attempted else ApplyOutcome.NOT_APPLIED
        return ApplyEnded(outcome, self._in_force, None)

    def _with_wish(self, manifest: Manifest) -> Manifest:
        wish = self._wish
        revision = manifest.revision + 1
        recent = (*manifest.recent_apply_ids, wish.apply_id)
        new = ManifestEntry(
            version=revision,
            digest=wish.digest,
            apply_id=wish.apply_id,
            applied_by=wish.applied_by,
            applied_at=wish.applied_at,
        )
        entries = {**manifest.entry_by_name, wish.name: new}
        return Manifest(revision, entries, recent[-MAX_RECENT_APPLIES:])
