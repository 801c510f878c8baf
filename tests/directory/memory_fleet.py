"""Directory services of several boxes in one process, with an in-memory store and delays."""

import asyncio
import random
from typing import Any

import anyio
import anyio.abc
from returns.result import Failure, Result, Success

from trackwheel.clock import steady_now
from trackwheel.directory.const import STORE_TIMEOUT_S
from trackwheel.directory.models import (
    Evacuation,
    OperatorStateRead,
    TargetEntry,
    TargetsRead,
)
from trackwheel.directory.service import DirectoryService
from trackwheel.directory.targets import TargetDirectory
from trackwheel.directory.watcher_election import WatcherElection
from trackwheel.errors import Problem, TrackwheelError
from trackwheel.peers.models import PeerIdentity
from trackwheel.platform.decode import decode_routes
from trackwheel.relay.models import Target
from trackwheel.routing.models import RouteTable

ONE_WAY_DELAY_S = 0.008
"""Delay of a message between two boxes, as between the regions of the users' fleets."""
DOMAINS = ("a", "b", "c", "d", "e", "f")
CONTENT = b'{"version":1,"routes":[],"services":[],"limits":{"max_header_bytes":1,'
CONTENT += b'"max_body_bytes":1,"header_timeout_ms":1,"idle_timeout_ms":1}}'
ENTRIES = [
    TargetEntry(f"t-{domain}", "s", "10.0.0.9:1", domain, 2, False, 0.0, 1) for domain in DOMAINS
]
UNREACHABLE = TrackwheelError(Problem("store_unavailable", "watch", "store", "turned away"))


class MemoryStore:
    """Hold targets and the operator's evacuations; some boxes may be unable to reach it.

    Calls of boxes in `rejected` fail at once, calls of those in `silent` when they time out.
    """

    def __init__(self) -> None:
        self.revision = 2
        self.rejected: set[str] = set()
        self.silent: set[str] = set()
        self.entry_by_instance = {entry.instance: entry for entry in ENTRIES}
        self.evacuated: dict[str, int] = {}
        self._updates: list[Evacuation] = []
        self._changed = asyncio.Event()

    def evacuate(self, domain: str, active: bool = True) -> None:
        """Request or cancel an evacuation."""
        self.revision += 1
        self._updates.append(Evacuation(domain, active, self.revision))
        if active:
            self.evacuated[domain] = self.revision
        else:
            del self.evacuated[domain]
        self._changed.set()
        self._changed = asyncio.Event()

    def start_leaving(self, instance: str) -> None:
        """Write that a target is leaving."""
        self.revision += 1
        entry = self.entry_by_instance[instance]
        self.entry_by_instance[instance] = entry._replace(leaving=True, revision=self.revision)
        self._changed.set()
        self._changed = asyncio.Event()

    def entries_after(self, revision: int) -> list[TargetEntry]:
        """Return the entries written after a revision."""
        return [entry for entry in self.entry_by_instance.values() if entry.revision > revision]

    def updates_after(self, revision: int) -> tuple[Evacuation, ...]:
        """Return the changes after a revision."""
        return tuple(update for update in self._updates if update.revision > revision)

    async def wait(self, seconds: float) -> None:
        """Wait for a change, at most for the given time."""
        try:
            await asyncio.wait_for(self._changed.wait(), seconds)
        except TimeoutError:
            return


class MemorySource:
    """Read the store on behalf of one box."""

    def __init__(self, store: MemoryStore, address: str) -> None:
        self._store = store
        self._address = address

    async def _is_answered(self) -> bool:
        """Return whether the store answers a call that it has received."""
        if self._address in self._store.silent:
            await anyio.sleep(STORE_TIMEOUT_S)
            return False
        return self._address not in self._store.rejected

    async def read_operator_state(
        self, copy: bool = False
    ) -> Result[OperatorStateRead, TrackwheelError]:
        if not await self._is_answered():
            return Failure(UNREACHABLE)
        updates = tuple(
            Evacuation(domain, True, revision) for domain, revision in self._store.evacuated.items()
        )
        table = decode_routes(CONTENT).unwrap()
        return Success(
            OperatorStateRead(table, CONTENT, self._store.revision, False, updates, True)
        )

    async def watch_operator_state(
        self, after: int, wait_s: float
    ) -> Result[OperatorStateRead, TrackwheelError]:
        if not self._store.updates_after(after):
            await self._store.wait(wait_s)
        if not await self._is_answered():
            return Failure(UNREACHABLE)
        updates = self._store.updates_after(after)
        return Success(OperatorStateRead(None, b"", self._store.revision, False, updates))

    async def read_targets(self, copy: bool = False) -> Result[TargetsRead, TrackwheelError]:
        if not await self._is_answered():
            return Failure(UNREACHABLE)
        return Success(TargetsRead(None, self._store.entries_after(0), [], self._store.revision))

    async def watch_targets(
        self, after: int, wait_s: float
    ) -> Result[TargetsRead, TrackwheelError]:
        if not self._store.entries_after(after):
            await self._store.wait(wait_s)
        if not await self._is_answered():
            return Failure(UNREACHABLE)
        entries = self._store.entries_after(after)
        return Success(TargetsRead(after, entries, [], self._store.revision))

    def decode_routes(self, content: bytes) -> Result[RouteTable, TrackwheelError]:
        return decode_routes(content)


class MemoryHub:
    """Deliver messages to the other boxes with a delay and with losses."""

    def __init__(self, fleet: "MemoryFleet", identity: PeerIdentity) -> None:
        self.identity = identity
        self.handler_by_type: dict[type[Any], Any] = {}
        self._fleet = fleet

    def register(self, message_type: type[Any], handler: Any) -> None:
        self.handler_by_type[message_type] = handler

    def send(self, address: str, message: Any) -> bool:
        if self._fleet.random.random() >= self._fleet.loss:
            asyncio.get_running_loop().call_later(
                ONE_WAY_DELAY_S, self._fleet.deliver, self.identity, address, message
            )
        return True


class NoLog:
    """Discard all events."""

    def write(self, kind: str, **fields: object) -> None:
        pass


class MemoryBox:
    """One box: its directory, and since when the targets of each domain have been excluded."""

    def __init__(self, fleet: "MemoryFleet", domain: str, place: int) -> None:
        self.domain, self.place = domain, place
        self.address = f"{domain}:{place}"
        self.excluded_since: dict[str, float] = {}
        self.hub = MemoryHub(
            fleet, PeerIdentity(self.address, self.address, self.address, "r", domain)
        )
        self.directory = DirectoryService(
            self.hub,  # type: ignore[arg-type]
            MemorySource(fleet.store, self.address),
            TargetDirectory(dict.fromkeys(DOMAINS, "r")),
            WatcherElection(steady_now(), self.address, first=place == 0),
            NoLog(),  # type: ignore[arg-type]
            3.0,
        )
        self.directory.on_targets(self._take_targets)

    @property
    def excluded(self) -> set[str]:
        """Return the domains whose targets are excluded at this box."""
        return set(self.excluded_since)

    def _take_targets(self, targets_by_service: dict[str, tuple[Target, ...]]) -> None:
        now = steady_now()
        excluded = {t.place.failure_domain for t in targets_by_service.get("s", ()) if t.excluded}
        self.excluded_since = {domain: self.excluded_since.get(domain, now) for domain in excluded}


class MemoryFleet:
    """Boxes of several failure domains that share one store.

    Boxes in `cut_off` reach those of their own failure domain only.
    """

    def __init__(self, boxes: int, loss: float = 0.0) -> None:
        self.store = MemoryStore()
        self.cut_off: set[str] = set()
        self.loss = loss
        self.random = random.Random(boxes)
        self.box_by_address: dict[str, MemoryBox] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        for number in range(boxes):
            self.add(DOMAINS[number % len(DOMAINS)], number // len(DOMAINS))

    def add(self, domain: str, place: int) -> MemoryBox:
        """Add a box, and start it if the others are running already."""
        box = MemoryBox(self, domain, place)
        self.box_by_address[box.address] = box
        for other in self.box_by_address.values():
            self._introduce(other)
        if self._tasks is not None:
            self._tasks.start_soon(box.directory.run)
        return box

    def _introduce(self, box: MemoryBox) -> None:
        others = [other for other in self.box_by_address.values() if other is not box]
        near = [other for other in others if other.domain == box.domain]
        box.directory.set_peers(
            [other.address for other in near if other.place < box.place],
            [other.address for other in near],
            [other.address for other in others if other.domain != box.domain and other.place < 2],
        )

    def deliver(self, sender: PeerIdentity, address: str, message: Any) -> None:
        """Deliver a message to its box, if there is one."""
        box = self.box_by_address.get(address)
        is_cut = {sender.address, address} & self.cut_off
        if box is not None and not (is_cut and box.domain != sender.failure_domain):
            box.hub.handler_by_type[type(message)](sender, message)

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start all boxes and wait until they know their targets."""
        self._tasks = tasks
        for box in self.box_by_address.values():
            tasks.start_soon(box.directory.run)
        while not all(box.directory.ready for box in self.box_by_address.values()):
            await anyio.sleep(0.01)

    async def until_excluded(self, domains: set[str], limit_s: float) -> float:
        """Wait until every box bars exactly these domains; return how long that took (seconds)."""
        began = steady_now()
        with anyio.fail_after(limit_s):
            while any(box.excluded != domains for box in self.box_by_address.values()):
                await anyio.sleep(0.005)
        return steady_now() - began
