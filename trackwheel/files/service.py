"""The task that owns the files in force, the watch on the store, and operators' applies."""

import random
import time
from collections.abc import Callable
from typing import NamedTuple

import anyio
import msgspec
from returns.result import Failure, Success

from trackwheel.files.applier import Applier, ApplyReport
from trackwheel.files.const import (
    FORWARD_SPREAD_S,
    KEY_CONTENT_PREFIX,
    NOT_WATCHING_PAUSE_S,
    WATCH_PAUSE_FIRST_S,
    WATCH_PAUSE_LAST_S,
)
from trackwheel.files.keeper import Keeper, Source
from trackwheel.files.models import (
    EMPTY_MANIFEST,
    NOTHING_IN_FORCE,
    Contents,
    FetchContents,
    FilesCommand,
    InForce,
    Manifest,
    Pull,
    Push,
    PutInForce,
    ReadContents,
    SendTo,
)
from trackwheel.files.stored import Read, StoredManifests
from trackwheel.inbox import Inbox
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.storage.models import KeyValueClient
from trackwheel.telemetry.logs import Log

LOG = Log("files")


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


class FilesService:
    """Run the keeper's decisions against the store and the peers."""

    def __init__(self, hub: Hub, store: KeyValueClient) -> None:
        self._hub = hub
        self._store = store
        self._keeper = Keeper()
        self._manifests = StoredManifests(store)
        self._applier = Applier(store, self._manifests, self._keeper, self._take_accepted)
        self._inbox: Inbox[_Event] = Inbox()
        self._watching = False
        self._on_in_force: list[Callable[[InForce], None]] = []
        self._store_revision = 0
        self._store_reachable: bool | None = None
        self._random = random.Random(hub.identity.boot)
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

    async def apply(self, content: bytes, applied_by: str, expected: int | None) -> ApplyReport:
        """Put a file in force; raise `InvalidIniError` or `ApplyError` before any write."""
        return await self._applier.apply(content, applied_by, expected)

    def _take_accepted(self, content_by_digest: dict[str, bytes], manifest: Manifest) -> None:
        self._inbox.put(_ContentsRead(content_by_digest))
        self._inbox.put(_Offered(manifest, None))

    def content(self, name: str) -> bytes | None:
        """Return the content in force of one named file."""
        entry = self._keeper.manifest.entry_by_name.get(name)
        return self._keeper.content(entry.digest) if entry is not None else None

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
            try:
                result = await self._manifests.watch(self._store_revision)
                match result:
                    case Success(read):
                        pause_s = WATCH_PAUSE_FIRST_S
                        await self._take_read(read)
                    case Failure(error):
                        self._note_store(False, str(error))
                        await anyio.sleep(pause_s)
                        pause_s = min(WATCH_PAUSE_LAST_S, pause_s * 2)
            except msgspec.DecodeError as error:
                LOG.error(f"The manifest in the store cannot be read. {error}")
                await anyio.sleep(WATCH_PAUSE_LAST_S)

    async def _take_read(self, read: Read) -> None:
        self._note_store(True, "")
        self.heard.set()
        self._store_revision = read.key_revision
        if self._is_behind(read):
            await self._bring_forward()
        elif read.manifest is not None:
            self._inbox.put(_Offered(read.manifest, None))
        else:
            LOG.error(f"A page of revision {read.manifest_revision} is lost from the store.")
            await anyio.sleep(WATCH_PAUSE_LAST_S)

    def _is_behind(self, read: Read) -> bool:
        """Return whether this box has in force what the store lacks."""
        ahead = self._keeper.revision - read.manifest_revision
        return ahead > 0 or (ahead == 0 and read.manifest is None)

    async def _bring_forward(self) -> None:
        """Write what is in force over an older state, unless another watcher has done so."""
        await anyio.sleep(self._random.uniform(0.0, FORWARD_SPREAD_S))
        result = await self._manifests.get()
        if not isinstance(result, Success) or not self._is_behind(result.unwrap()):
            return
        read = result.unwrap()
        keeper = self._keeper
        LOG.warning(
            f"The store is back at revision {read.manifest_revision}. "
            f"Bringing it forward to {keeper.revision}."
        )
        older = read.manifest or EMPTY_MANIFEST
        await self._applier.bring_forward(keeper.manifest, older, read.key_revision)

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
