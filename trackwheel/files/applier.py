"""Putting an operator's file in force: the calls on the store that the decisions ask for."""

import os
from collections.abc import Callable
from datetime import UTC, datetime
from typing import NamedTuple

import anyio
import msgspec
from returns.result import Result, Success

from trackwheel.errors import Problem
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
from trackwheel.files.const import APPLY_PAUSE_S, APPLY_TIME_S, KEY_CONTENT_PREFIX, KEY_MANIFEST
from trackwheel.files.errors import ApplyError
from trackwheel.files.keeper import Keeper, digest_of
from trackwheel.files.models import EMPTY_MANIFEST, Manifest, ManifestEntry, OperatorsFile
from trackwheel.files.parse import parse_file
from trackwheel.files.stored import Read, StoredManifests
from trackwheel.storage.errors import PlatformError
from trackwheel.storage.models import KeyValueClient, StoredValue

OnAccepted = Callable[[dict[str, bytes], Manifest], None]


class ApplyReport(NamedTuple):
    """Tell an operator how an apply ended."""

    outcome: ApplyOutcome
    name: str
    apply_id: str
    revision: int
    winner: ManifestEntry | None


class Applier:
    """Write files and manifests to the store; `keeper` is only read."""

    def __init__(
        self,
        store: KeyValueClient,
        manifests: StoredManifests,
        keeper: Keeper,
        on_accepted: OnAccepted,
    ) -> None:
        self._store = store
        self._manifests = manifests
        self._keeper = keeper
        self._on_accepted = on_accepted

    async def write_content(self, content: bytes) -> bool:
        """Write content under its digest; it is there already when another one wrote it."""
        key = KEY_CONTENT_PREFIX + digest_of(content)
        result = await self._store.compare_and_swap(key, content, 0)
        return isinstance(result, Success)

    async def bring_forward(self, manifest: Manifest, older: Manifest, revision: int) -> bool:
        """Write what is in force over an older state of the store, as far as it differs."""
        held = {entry.digest for entry in older.entry_by_name.values()}
        for digest, content in self._keeper.contents().items():
            if digest not in held and not await self.write_content(content):
                return False
        result = await self._manifests.write(manifest, revision)
        return isinstance(result, Success)

    async def apply(self, content: bytes, applied_by: str, expected: int | None) -> ApplyReport:
        """Put a file in force; raise `InvalidIniError` or `ApplyError` before any write."""
        file = parse_file("file", content)
        wish = Wish(
            name=file.name,
            digest=digest_of(content),
            apply_id=os.urandom(8).hex(),
            applied_by=applied_by,
            applied_at=datetime.now(UTC).isoformat(timespec="milliseconds"),
            expected=expected,
        )
        decisions = Apply(wish, self._keeper.manifest)
        ended = await self._run_apply(decisions, content, file)
        if ended.outcome in (ApplyOutcome.ACCEPTED, ApplyOutcome.UNCHANGED):
            self._on_accepted({wish.digest: content}, ended.manifest)
        return ApplyReport(
            ended.outcome, file.name, wish.apply_id, ended.manifest.revision, ended.winner
        )

    async def _run_apply(self, decisions: Apply, content: bytes, file: OperatorsFile) -> ApplyEnded:
        command: ApplyCommand = decisions.start()
        ended: ApplyEnded | None = None
        content_written = False
        with anyio.move_on_after(APPLY_TIME_S):
            while ended is None:
                match command:
                    case ApplyEnded():
                        ended = command
                    case CheckJoined(manifest):
                        await self._check_joined(manifest, file)
                        if not content_written:
                            content_written = await self.write_content(content)
                        if content_written:
                            command = decisions.checked()
                        else:
                            await anyio.sleep(APPLY_PAUSE_S)
                    case _:
                        command = await self._step(decisions, command)
        return ended if ended is not None else decisions.out_of_time()

    async def _step(
        self, decisions: Apply, command: ReadManifest | BringForward | WriteManifest
    ) -> ApplyCommand:
        """Perform one call on the store and hand its result to the decisions."""
        match command:
            case ReadManifest():
                match await self._read_manifest():
                    case Success(read):
                        manifest = read.manifest or self._older_than(read)
                        return decisions.manifest_read(manifest, read.key_revision)
            case BringForward(manifest, older, revision):
                await self.bring_forward(manifest, older, revision)
            case WriteManifest(manifest, revision):
                match await self._manifests.write(manifest, revision):
                    case Success(written):
                        return decisions.written(written)
        await anyio.sleep(APPLY_PAUSE_S)
        return decisions.uncertain()

    async def _check_joined(self, manifest: Manifest, file: OperatorsFile) -> None:
        """Raise `InvalidIniError` unless the file fits all others in the manifest.

        Only files that are not in force here as they stand there are read and parsed.
        """
        changed: dict[str, OperatorsFile | None] = {}
        for name, entry in self._keeper.changed(manifest).items():
            if name == file.name:
                continue
            changed[name] = None
            if entry is not None and entry.digest:
                content = self._keeper.content(entry.digest)
                content = content or await self._read_content(entry.digest)
                changed[name] = parse_file(name, content)
        self._keeper.check({**changed, file.name: file})

    async def _read_content(self, digest: str) -> bytes:
        result = await self._store.get(KEY_CONTENT_PREFIX + digest)
        stored = result.value_or(StoredValue(b"", 0))
        if stored.revision:
            return stored.value
        detail = "the other files in force could not be read"
        remedy = "Nothing was applied. Try again later"
        raise ApplyError(_problem("store_unavailable", "check", detail, remedy))

    async def _read_manifest(self) -> Result[Read, PlatformError]:
        """Return the manifest; raise `ApplyError` when something else stands in its place."""
        try:
            return await self._manifests.get()
        except msgspec.DecodeError as error:
            detail = f"the manifest cannot be read: {error}"
            remedy = f"Nothing was applied. See who else writes the key {KEY_MANIFEST}"
            raise ApplyError(_problem("manifest_unreadable", "read", detail, remedy)) from error

    def _older_than(self, read: Read) -> Manifest:
        """Return a manifest to be brought forward, for one of which a page is lost."""
        if self._keeper.revision < read.manifest_revision:
            detail = f"a page of revision {read.manifest_revision} is lost from the store"
            remedy = "Nothing was applied. Apply at a box that has the revision in force"
            raise ApplyError(_problem("manifest_unreadable", "read", detail, remedy))
        return EMPTY_MANIFEST


def _problem(code: str, step: str, detail: str, remedy: str) -> Problem:
    return Problem(code, step, "key-value service", detail, remedy)
