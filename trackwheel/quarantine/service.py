"""Quarantine service: feeds the crash tracker, runs its commands and syncs the store."""

from collections.abc import Awaitable, Iterable

import anyio
from returns.result import Failure, Result, Success

from trackwheel.clock import steady_now
from trackwheel.errors import TrackwheelError
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.quarantine.const import NEVER, REBROADCAST_INTERVAL_S
from trackwheel.quarantine.crash_tracker import CrashTracker
from trackwheel.quarantine.models import (
    Broadcast,
    CrashReport,
    EventWriter,
    HeldRequest,
    HeldStore,
    HoldCleared,
    HoldStarted,
    Message,
    RequestsAnswered,
    RequestsHeld,
    TrialStarted,
)
from trackwheel.relay.models import Incarnation, SendPermission
from trackwheel.relay.timer import Timer


class RequestGate:
    """Send gate of one request.

    With `for_peer`, the box that forwards the request has already tried a single target; the
    message that this target has answered may arrive after the request.
    """

    def __init__(self, tracker: CrashTracker, request: bytes, for_peer: bool) -> None:
        self._tracker = tracker
        self._request = request
        self._for_peer = for_peer

    def permission(self, now: float) -> SendPermission:
        """Return whether the request may be sent at a given time (monotonic seconds)."""
        permission = self._tracker.permission(self._request, now)
        if self._for_peer and permission is SendPermission.ONE:
            return SendPermission.OPEN
        return permission


class Quarantine:
    """Hold requests that crash targets, in agreement with the other boxes."""

    def __init__(self, hub: Hub, store: HeldStore, log: EventWriter) -> None:
        self._hub = hub
        self._store = store
        self._log = log
        self._tracker = CrashTracker()
        self._timer = Timer(self._run_due)
        self._near: tuple[str, ...] = ()
        self._far: tuple[str, ...] = ()
        self._rebroadcasts = False
        self._has_loaded = False
        self._stored: set[bytes] = set()
        self._stored_in_era = 0
        self.store_calls = 0
        hub.register(CrashReport, self._handle_crash_report)
        hub.register(RequestsAnswered, self._handle_requests_answered)
        hub.register(RequestsHeld, self._handle_requests_held)

    @property
    def held_count(self) -> int:
        """Return how many requests are held."""
        return self._tracker.held_count

    def set_boxes(self, near: Iterable[str], far: Iterable[str], rebroadcasts: bool) -> None:
        """Set the boxes that receive broadcasts.

        `near` are the other boxes of this failure domain. `far` are boxes of other domains, which
        forward messages to their own domain. With `rebroadcasts`, this box is one of the few that
        repeat the held requests, in case messages were lost, and write them to the store.
        """
        self._near, self._far = tuple(near), tuple(far)
        self._rebroadcasts = rebroadcasts

    def gate(self, request: bytes, for_peer: bool = False) -> RequestGate:
        """Return the send gate of a request; `for_peer` marks one forwarded by another box."""
        return RequestGate(self._tracker, request, for_peer)

    def is_held(self, request: bytes) -> bool:
        """Return whether a request may currently go to no target."""
        return self._tracker.permission(request, steady_now()) is SendPermission.SHUT

    def start_trial(self, request: bytes) -> bool:
        """Start a trial at a single target if the request needs one; return whether it does."""
        now = steady_now()
        if self._tracker.permission(request, now) is not SendPermission.ONE:
            return False
        self._tracker.start_trial(request, now)
        return True

    def retry_after_s(self, request: bytes) -> float:
        """Return the seconds until a request may be sent again, 0 if it may be sent now."""
        return self._tracker.retry_after_s(request, steady_now())

    def connection_closed(self, request: bytes, incarnation: Incarnation) -> None:
        """Record that a target closed the connection of a request without an answer."""
        self._tracker.connection_closed(request, incarnation, steady_now())
        self._schedule()

    def request_answered(self, request: bytes) -> None:
        """Record that a target answered a request successfully."""
        self._tracker.request_answered(request, steady_now())
        self._schedule()

    def connection_refused(self, incarnation: Incarnation) -> None:
        """Record that a target refused a connection."""
        self._tracker.connection_refused(incarnation, steady_now())
        self._schedule()

    def request_withdrawn(self, request: bytes, incarnation: Incarnation) -> None:
        """Record that a request was withdrawn from a target that has not answered it."""
        self._tracker.request_withdrawn(request, incarnation, steady_now())

    def send_held_requests(self, address: str) -> None:
        """Send the held requests to one box."""
        self._hub.send(address, self._tracker.held_requests(steady_now()))

    async def run(self) -> None:
        """Rebroadcast held requests, sync the store and evict expired state, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._rebroadcast_held)
            tasks.start_soon(self._sync_store)

    async def _rebroadcast_held(self) -> None:
        while True:
            await anyio.sleep(REBROADCAST_INTERVAL_S)
            now = steady_now()
            self._tracker.evict_expired(now)
            self._run_due()
            if self._rebroadcasts and self.held_count:
                self._broadcast(self._tracker.held_requests(now))

    async def _sync_store(self) -> None:
        """Load the held requests once; then write changes if this box is one that rebroadcasts."""
        await self._load_store()
        while True:
            await anyio.sleep(REBROADCAST_INTERVAL_S)
            if not self._rebroadcasts:
                continue
            if not self._has_loaded:
                await self._load_store()
            if self._has_loaded and self._store.era > self._stored_in_era:
                await self._resync_restored_store()
            await self._write_store()

    async def _load_store(self) -> None:
        rows = await self._read_rows()
        if rows is None:
            return
        self._has_loaded = True
        self._stored_in_era = self._store.era
        self._stored = {row.fingerprint for row in rows}
        self._tracker.handle_requests_held(RequestsHeld(rows), steady_now())
        self._schedule()

    async def _read_rows(self) -> list[HeldRequest] | None:
        """Return the stored requests, or None if the store cannot be read."""
        self.store_calls += 1
        match await self._store.read():
            case Success(rows):
                return list(rows)
            case Failure(error):
                self._log.write("held_unread", reason=str(error))
        return None

    async def _resync_restored_store(self) -> None:
        """Bring a store that was restored from a copy up to date.

        Held requests are written again; entries that are no longer held are deleted.
        """
        era = self._store.era
        rows = await self._read_rows()
        if rows is None:
            return
        held = self._tracker.held_requests(steady_now()).rows
        listed = {row.fingerprint for row in rows}
        self._stored = listed - {row.fingerprint for row in held}
        self._stored_in_era = era

    async def _write_store(self) -> None:
        """Store held requests that are not stored yet, and delete those that were cleared.

        An entry that another box has written costs one redundant call. Expired entries need none:
        the store drops them.
        """
        rows = self._tracker.held_requests(steady_now()).rows
        for row in rows:
            if row.fingerprint not in self._stored and await self._succeeded(self._store.put(row)):
                self._stored.add(row.fingerprint)
        for request in self._stored - {row.fingerprint for row in rows}:
            if await self._succeeded(self._store.delete(request)):
                self._stored.discard(request)

    async def _succeeded(self, call: Awaitable[Result[None, TrackwheelError]]) -> bool:
        """Await a write to the store; log a failure and return whether it succeeded."""
        self.store_calls += 1
        match await call:
            case Failure(error):
                self._log.write("held_unwritten", reason=str(error))
                return False
        return True

    def _schedule(self) -> None:
        """Run pending commands now, or set the timer for the next due time."""
        due_at = self._tracker.next_due_at()
        if due_at == 0.0:
            # Announce an answer before sending the requests that it releases.
            self._run_due()
        elif due_at < NEVER:
            self._timer.set(due_at)

    def _run_due(self) -> None:
        for command in self._tracker.tick(steady_now()):
            match command:
                case Broadcast(message):
                    self._broadcast(message)
                case HoldStarted(request, crash_count, duration_s):
                    self._log.write(
                        "request_held",
                        fingerprint=request.hex(),
                        ends=crash_count,
                        for_s=round(duration_s, 1),
                    )
                case TrialStarted(request, crash_count):
                    self._log.write("request_on_trial", fingerprint=request.hex(), ends=crash_count)
                case HoldCleared(request):
                    self._log.write("request_cleared", fingerprint=request.hex())
        self._schedule()

    def _broadcast(self, message: Message) -> None:
        for address in self._near + self._far:
            self._hub.send(address, message)

    def _forward_to_domain(self, sender: PeerIdentity, message: Message) -> None:
        """Forward a message from another failure domain to the boxes of this one."""
        if sender.failure_domain != self._hub.identity.failure_domain:
            for address in self._near:
                self._hub.send(address, message)

    def _handle_crash_report(self, sender: PeerIdentity, report: CrashReport) -> None:
        self._tracker.handle_crash_report(report, steady_now())
        self._forward_to_domain(sender, report)
        self._schedule()

    def _handle_requests_answered(self, sender: PeerIdentity, message: RequestsAnswered) -> None:
        self._tracker.handle_requests_answered(message, steady_now())
        self._forward_to_domain(sender, message)
        self._schedule()

    def _handle_requests_held(self, sender: PeerIdentity, message: RequestsHeld) -> None:
        self._tracker.handle_requests_held(message, steady_now())
        self._forward_to_domain(sender, message)
        self._schedule()
