"""The task that owns the files in force, the watch on the store, and operators' applies."""

import os
import time
from collections.abc import Callable
from datetime import UTC, datetime
from typing import NamedTuple

import anyio
import msgspec
from returns.result import Failure, Success

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
from trackwheel.files.const import KEY_CONTENT_PREFIX, KEY_MANIFEST
from trackwheel.files.errors import ApplyError
from trackwheel.files.keeper import (
    Keeper,
    Source,
    decode_manifest,
    digest_of,
    encode_manifest,
)
from trackwheel.files.models import (
    NOTHING_IN_FORCE,
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
from trackwheel.files.parse import join_files, parse_file
from trackwheel.inbox import Inbox
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.platform.models import KeyValueClient, Stored
from trackwheel.telemetry.logs import Log

LOG = Log("files")

APPLY_TIME_S = 10.0
APPLY_PAUSE_S = 0.1
WATCH_PAUSE_FIRST_S = 0.2
WATCH_PAUSE_LAST_S = 5.0
NOT_WATCHING_PAUSE_S = 0.5


class _FromPeer(NamedTuple):
    """Event: a box sent a message."""

    sender: str
    message: Push | Pull | FetchContents | Contents


class _Offered(NamedTuple):
    """Event: a manifest was read from the store or written to it."""

    manifest: Manifest
    source: Source


class _PeerRevision(NamedTuple):
    """Event: a peer says which revision it has in force."""

    address: str
    revision: int


class _ContentsRead(NamedTuple):
    """Event: contents were read from the store."""

    content_by_digest: dict[str, bytes]


_Event = _FromPeer | _Offered | _PeerRevision | _ContentsRead


class ApplyReport(NamedTuple):
    """Tell an operator how an apply ended."""

    outcome: ApplyOutcome
    name: str
    apply_id: str
    revision: int
    winner: ManifestEntry | None


class FilesService:
    """Run the keeper's decisions against the store and the peers."""

    def __init__(self, hub: Hub, store: KeyValueClient) -> None:
        self._hub = hub
        self._store = store
        self._keeper = Keeper()
        self._inbox: Inbox[_Event] = Inbox()
        self._watching = False
        self._on_in_force: list[Callable[[InForce], None]] = []
        self._store_revision = 0
        self._store_reachable: bool | None = None
        self.in_force = NOTHING_IN_FORCE
        self.in_force_since = time.time()
        self.heard = anyio.Event()
        self.last_store_contact = 0.0
        for message_type in (Push, Pull, FetchContents, Contents):
            hub.register(message_type, self._from_peer)

    @property
    def manifest(self) -> Manifest:
        """Return the manifest in force."""
        return self._keeper.manifest

    @property
    def refused_revision(self) -> int:
        """Return a revision that this box could not read, 0 when there is none."""
        return self._keeper.refused_revision

    def content(self, name: str) -> bytes | None:
        """Return the content in force of one named file."""
        entry = self._keeper.manifest.entry_by_name.get(name)
        return self._keeper.contents().get(entry.digest) if entry is not None else None

    def on_in_force(self, handler: Callable[[InForce], None]) -> None:
        """Call a handler whenever other files are in force."""
        self._on_in_force.append(handler)

    def set_watching(self, watching: bool) -> None:
        """Take whether this box is one of the few that watch the store."""
        self._watching = watching

    def set_neighbours(self, addresses: tuple[str, ...]) -> None:
        """Take the boxes to which news are pushed."""
        self._keeper.set_neighbours(addresses)

    def peer_revision(self, address: str, revision: int) -> None:
        """Take which revision a peer has in force."""
        self.heard.set()
        if revision != self._keeper.revision:
            self._inbox.put(_PeerRevision(address, revision))

    async def run(self) -> None:
        """Decide and act until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch)
            while True:
                for event in await self._inbox.take(float("inf")):
                    for command in self._handle(event):
                        match command:
                            case SendTo(address, message):
                                self._hub.send(address, message)
                            case PutInForce(in_force):
                                self._put_in_force(in_force)
                            case ReadContents(digests):
                                tasks.start_soon(self._read_contents, digests)

    def _handle(self, event: _Event) -> list[FilesCommand]:
        keeper = self._keeper
        match event:
            case _Offered(manifest, source):
                return keeper.offer(manifest, source)
            case _PeerRevision(address, revision):
                return keeper.peer_revision(address, revision)
            case _ContentsRead(content_by_digest):
                return keeper.add_contents(content_by_digest)
            case _FromPeer(sender, Push() as push):
                return keeper.take_push(sender, push)
            case _FromPeer(sender, Pull() as pull):
                return keeper.take_pull(sender, pull)
            case _FromPeer(sender, FetchContents() as fetch):
                return keeper.take_fetch(sender, fetch)
            case _FromPeer(_, Contents(content_by_digest)):
                return keeper.add_contents(content_by_digest)
        return []

    def _from_peer(
        self, sender: PeerIdentity, message: Push | Pull | FetchContents | Contents
    ) -> None:
        self._inbox.put(_FromPeer(sender.address, message))

    def _put_in_force(self, in_force: InForce) -> None:
        self.in_force = in_force
        self.in_force_since = time.time()
        LOG.info(f"Revision {in_force.revision} is in force.")
        for handler in self._on_in_force:
            handler(in_force)

    async def _watch(self) -> None:
        """Follow the manifest in the store while this box is one of those that watch."""
        pause_s = WATCH_PAUSE_FIRST_S
        while True:
            if not self._watching:
                await anyio.sleep(NOT_WATCHING_PAUSE_S)
                continue
            result = await self._store.watch(KEY_MANIFEST, self._store_revision)
            match result:
                case Success(stored):
                    pause_s = WATCH_PAUSE_FIRST_S
                    await self._take_stored(stored)
                case Failure(error):
                    self._note_store(False, str(error))
                    await anyio.sleep(pause_s)
                    pause_s = min(WATCH_PAUSE_LAST_S, pause_s * 2)

    async def _take_stored(self, stored: Stored) -> None:
        self._note_store(True, "")
        self.heard.set()
        self._store_revision = stored.revision
        try:
            manifest = decode_manifest(stored.value)
        except msgspec.DecodeError as error:
            LOG.error(f"The manifest in the store cannot be read. {error}")
            await anyio.sleep(WATCH_PAUSE_LAST_S)
            return
        if manifest.revision < self._keeper.revision:
            LOG.warning(
                f"The store is back at revision {manifest.revision}. "
                f"Bringing it forward to {self._keeper.revision}."
            )
            await self._bring_forward(self._keeper.manifest, stored.revision)
            return
        self._inbox.put(_Offered(manifest, None))

    def _note_store(self, reachable: bool, detail: str) -> None:
        if reachable:
            self.last_store_contact = time.time()
        if reachable == self._store_reachable:
            return
        if not reachable:
            LOG.warning(f"The store does not answer. {detail}")
        elif self._store_reachable is not None:
            LOG.info("The store answers again.")
        self._store_reachable = reachable

    async def _read_contents(self, digests: tuple[str, ...]) -> None:
        """Read contents from the store, and try again until it answers."""
        pause_s = WATCH_PAUSE_FIRST_S
        for digest in digests:
            while True:
                result = await self._store.get(KEY_CONTENT_PREFIX + digest)
                if isinstance(result, Success) and result.unwrap().revision:
                    self._inbox.put(_ContentsRead({digest: result.unwrap().value}))
                    break
                await anyio.sleep(pause_s)
                pause_s = min(WATCH_PAUSE_LAST_S, pause_s * 2)

    async def _write_content(self, content: bytes) -> bool:
        """Write content under its digest; it is there already when another one wrote it."""
        key = KEY_CONTENT_PREFIX + digest_of(content)
        result = await self._store.compare_and_swap(key, content, 0)
        return isinstance(result, Success)

    async def _bring_forward(self, manifest: Manifest, revision: int) -> bool:
        """Write what is in force over an older state of the store."""
        for content in self._keeper.contents().values():
            if not await self._write_content(content):
                return False
        value = encode_manifest(manifest)
        result = await self._store.compare_and_swap(KEY_MANIFEST, value, revision)
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
            self._inbox.put(_ContentsRead({wish.digest: content}))
            self._inbox.put(_Offered(ended.manifest, None))
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
                            content_written = await self._write_content(content)
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
                read = await self._store.get(KEY_MANIFEST)
                match read:
                    case Success(stored):
                        return decisions.manifest_read(
                            decode_manifest(stored.value), stored.revision
                        )
            case BringForward(manifest, revision):
                await self._bring_forward(manifest, revision)
            case WriteManifest(manifest, revision):
                value = encode_manifest(manifest)
                write = await self._store.compare_and_swap(KEY_MANIFEST, value, revision)
                match write:
                    case Success(written):
                        return decisions.written(written)
        await anyio.sleep(APPLY_PAUSE_S)
        return decisions.uncertain()

    async def _check_joined(self, manifest: Manifest, file: OperatorsFile) -> None:
        """Raise `InvalidIniError` unless the file fits all others in the manifest."""
        others = []
        contents = self._keeper.contents()
        for name, entry in manifest.entry_by_name.items():
            if name == file.name or not entry.digest:
                continue
            content = contents.get(entry.digest) or await self._read_content(entry.digest)
            others.append(parse_file(name, content))
        join_files([*others, file], manifest.revision)

    async def _read_content(self, digest: str) -> bytes:
        result = await self._store.get(KEY_CONTENT_PREFIX + digest)
        stored = result.value_or(Stored(b"", 0))
        if stored.revision:
            return stored.value
        problem = Problem(
            "store_unavailable",
            "check",
            "key-value service",
            "the other files in force could not be read",
            "Nothing was applied. Try again later",
        )
        raise ApplyError(problem)
