"""The shell of the quarantine: what ends at this box goes in, what is decided goes to all boxes."""

from collections.abc import Awaitable, Iterable

import anyio
from returns.result import Failure, Result, Success

from trackwheel.clock import steady_now
from trackwheel.errors import TrackwheelError
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.quarantine.const import NEVER, TELL_AGAIN_S
from trackwheel.quarantine.models import (
    Cleared,
    CrashReport,
    EventWriter,
    Held,
    HeldRequest,
    HeldStore,
    Message,
    OnTrial,
    RequestsAnswered,
    RequestsHeld,
    TellAll,
)
from trackwheel.quarantine.suspects import Suspects
from trackwheel.relay.models import Life, Passage
from trackwheel.relay.timer import Timer


class RequestGate:
    """Know whether one request may go to targets.

    With `for_peer`, the box that hands it over has seen to it that one target was tried first; the
    news that this one has answered may come after the request.
    """

    def __init__(self, suspects: Suspects, request: bytes, for_peer: bool) -> None:
        self._suspects = suspects
        self._request = request
        self._for_peer = for_peer

    def passage(self, now: float) -> Passage:
        """Return whether it may be sent at a time (monotonic seconds)."""
        passage = self._suspects.passage(self._request, now)
        if self._for_peer and passage is Passage.ONE:
            return Passage.OPEN
        return passage


class Quarantine:
    """Keep requests that end targets from them, together with the other boxes."""

    def __init__(self, hub: Hub, store: HeldStore, log: EventWriter) -> None:
        self._hub = hub
        self._store = store
        self._log = log
        self._suspects = Suspects()
        self._timer = Timer(self._act)
        self._near: tuple[str, ...] = ()
        self._far: tuple[str, ...] = ()
        self._tells_again = False
        self._has_read = False
        self._stored: set[bytes] = set()
        self._stored_in_era = 0
        self.store_calls = 0
        hub.register(CrashReport, self._take_report)
        hub.register(RequestsAnswered, self._take_answered)
        hub.register(RequestsHeld, self._take_held)

    @property
    def held_count(self) -> int:
        """Return how many requests are held."""
        return self._suspects.held

    def set_boxes(self, near: Iterable[str], far: Iterable[str], rebroadcasts: bool) -> None:
        """Take the boxes of the own failure domain, those of others that pass news on to theirs.

        `rebroadcasts` says that this box is one of the few that make up for lost news.
        """
        self._near, self._far = tuple(near), tuple(far)
        self._tells_again = rebroadcasts

    def gate(self, request: bytes, for_peer: bool = False) -> RequestGate:
        """Return what knows whether a request, or a peer's, may go to targets."""
        return RequestGate(self._suspects, request, for_peer)

    def is_held(self, request: bytes) -> bool:
        """Return whether a request may go to no target for the time being."""
        return self._suspects.passage(request, steady_now()) is Passage.SHUT

    def start_trial(self, request: bytes) -> bool:
        """Return whether a request goes to one target now, and to others only if that answers."""
        now = steady_now()
        if self._suspects.passage(request, now) is not Passage.ONE:
            return False
        self._suspects.begin_trial(request, now)
        return True

    def retry_after_s(self, request: bytes) -> float:
        """Return in how many seconds a request may be tried again, 0 for now."""
        return self._suspects.waits_s(request, steady_now())

    def connection_closed(self, request: bytes, life: Life) -> None:
        """Take that a target ended the connection under a request, without an answer."""
        self._suspects.closed(request, life, steady_now())
        self._wake()

    def request_answered(self, request: bytes) -> None:
        """Take that a target answered a request with success."""
        self._suspects.answered(request, steady_now())
        self._wake()

    def connection_refused(self, life: Life) -> None:
        """Take that a target takes no connections."""
        self._suspects.refused(life, steady_now())
        self._wake()

    def request_withdrawn(self, request: bytes, life: Life) -> None:
        """Take that a request was taken back from a target that has not answered it."""
        self._suspects.taken_back(request, life, steady_now())

    def send_held_requests(self, address: str) -> None:
        """Tell one box which requests are held."""
        self._hub.send(address, self._suspects.held_requests(steady_now()))

    async def run(self) -> None:
        """Make up for lost news, keep the store in step, forget what is over, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._tell_again)
            tasks.start_soon(self._follow_store)

    async def _tell_again(self) -> None:
        while True:
            await anyio.sleep(TELL_AGAIN_S)
            now = steady_now()
            self._suspects.forget_old(now)
            self._act()
            if self._tells_again and self.held_count:
                self._tell_all(self._suspects.held_requests(now))

    async def _follow_store(self) -> None:
        """Read once what is held, then write what changes, where this box does that for others."""
        await self._read_store()
        while True:
            await anyio.sleep(TELL_AGAIN_S)
            if not self._tells_again:
                continue
            if not self._has_read:
                await self._read_store()
            if self._has_read and self._store.era > self._stored_in_era:
                await self._catch_up()
            await self._write_store()

    async def _read_store(self) -> None:
        rows = await self._stored_rows()
        if rows is None:
            return
        self._has_read = True
        self._stored_in_era = self._store.era
        self._stored = {row.fingerprint for row in rows}
        self._suspects.take_held(RequestsHeld(rows), steady_now())
        self._wake()

    async def _stored_rows(self) -> list[HeldRequest] | None:
        """Return what the store lists, None where it cannot be read."""
        self.store_calls += 1
        match await self._store.read():
            case Success(rows):
                return list(rows)
            case Failure(error):
                self._log.write("held_unread", reason=str(error))
        return None

    async def _catch_up(self) -> None:
        """Take that the store came back from a copy: what is held is written anew.

        What that copy lists and nobody holds any more is removed again.
        """
        era = self._store.era
        rows = await self._stored_rows()
        if rows is None:
            return
        held = self._suspects.held_requests(steady_now()).rows
        listed = {row.fingerprint for row in rows}
        self._stored = listed - {row.fingerprint for row in held}
        self._stored_in_era = era

    async def _write_store(self) -> None:
        """Write which requests are held and not in the store yet; remove those that were cleared.

        What another box has written costs one call too many; what is over goes by itself.
        """
        rows = self._suspects.held_requests(steady_now()).rows
        for row in rows:
            if row.fingerprint not in self._stored and await self._done(self._store.put(row)):
                self._stored.add(row.fingerprint)
        for request in self._stored - {row.fingerprint for row in rows}:
            if await self._done(self._store.delete(request)):
                self._stored.discard(request)

    async def _done(self, call: Awaitable[Result[None, TrackwheelError]]) -> bool:
        """Make a call that changes the store; return whether it has worked."""
        self.store_calls += 1
        match await call:
            case Failure(error):
                self._log.write("held_unwritten", reason=str(error))
                return False
        return True

    def _wake(self) -> None:
        """Act when something is due; mostly nothing is."""
        wake_at = self._suspects.next_wake()
        if wake_at == 0.0:
            # News of an answer go out before what the answer lets go out.
            self._act()
        elif wake_at < NEVER:
            self._timer.set(wake_at)

    def _act(self) -> None:
        for command in self._suspects.tick(steady_now()):
            match command:
                case TellAll(message):
                    self._tell_all(message)
                case Held(request, ends, for_s):
                    self._log.write(
                        "request_held",
                        fingerprint=request.hex(),
                        ends=ends,
                        for_s=round(for_s, 1),
                    )
                case OnTrial(request, ends):
                    self._log.write("request_on_trial", fingerprint=request.hex(), ends=ends)
                case Cleared(request):
                    self._log.write("request_cleared", fingerprint=request.hex())
        self._wake()

    def _tell_all(self, message: Message) -> None:
        for address in self._near + self._far:
            self._hub.send(address, message)

    def _pass_on(self, sender: PeerIdentity, message: Message) -> None:
        """Pass news from another failure domain on to the boxes of the own one."""
        if sender.failure_domain != self._hub.identity.failure_domain:
            for address in self._near:
                self._hub.send(address, message)

    def _take_report(self, sender: PeerIdentity, report: CrashReport) -> None:
        self._suspects.take_report(report, steady_now())
        self._pass_on(sender, report)
        self._wake()

    def _take_answered(self, sender: PeerIdentity, news: RequestsAnswered) -> None:
        self._suspects.take_answered(news, steady_now())
        self._pass_on(sender, news)
        self._wake()

    def _take_held(self, sender: PeerIdentity, news: RequestsHeld) -> None:
        self._suspects.take_held(news, steady_now())
        self._pass_on(sender, news)
        self._wake()
