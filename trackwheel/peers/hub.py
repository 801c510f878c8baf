"""All links of one box: it takes links from peers and opens its own when there is work."""

import ssl
from collections.abc import Callable
from typing import Any, Protocol

import anyio
import anyio.abc
import cbor2
import msgspec
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed, InvalidHandshake, InvalidURI

from trackwheel.clock import steady_now
from trackwheel.http1.sockets import watch_for_silence
from trackwheel.peers.certificate import is_certified
from trackwheel.peers.codec import Codec, Message
from trackwheel.peers.const import (
    CLOSE_CODE_REFUSED,
    CLOSE_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    LINK_UNACKNOWLEDGED_MS,
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    RECONNECT_DELAY_S,
)
from trackwheel.peers.link import LOG, Outbox, run_link
from trackwheel.peers.models import Hello, PeerIdentity
from trackwheel.settings import split_address

Handler = Callable[[PeerIdentity, Any], None]


class Tls(Protocol):
    """Give the contexts for links; they may be other ones from one link to the next."""

    @property
    def server(self) -> ssl.SSLContext | None:
        """Return the context for links that are taken, None without TLS."""

    @property
    def client(self) -> ssl.SSLContext | None:
        """Return the context for links that are opened, None without TLS."""


class Hub:
    """Send messages to boxes by address and hand arriving ones to the duties."""

    def __init__(self, identity: PeerIdentity, codec: Codec, tls: Tls) -> None:
        self.identity = identity
        self._codec = codec
        self._tls = tls
        self._handler_by_type: dict[type[Any], Handler] = {}
        self._outbox_by_address: dict[str, Outbox] = {}
        self._closed_until_by_address: dict[str, float] = {}
        self._link_count_by_address: dict[str, int] = {}
        self._on_link_lost: list[Callable[[str], None]] = []
        self._tasks: anyio.abc.TaskGroup | None = None
        self._bytes_of_closed_links = 0
        self.messages_sent = 0
        self.messages_dropped = 0

    @property
    def bytes_sent(self) -> int:
        """Return how many bytes of frames went out."""
        open_links = self._outbox_by_address.values()
        return self._bytes_of_closed_links + sum(outbox.bytes_sent for outbox in open_links)

    def register(self, message_type: type[Any], handler: Handler) -> None:
        """Hand every arriving message of a type to a handler."""
        self._handler_by_type[message_type] = handler

    def on_link_lost(self, handler: Callable[[str], None]) -> None:
        """Call a handler with a peer's address when the last link to it is gone."""
        self._on_link_lost.append(handler)

    def receive(self, sender: PeerIdentity, message: Message) -> None:
        """Hand one message to its duty."""
        handler = self._handler_by_type.get(type(message))
        if handler is not None:
            handler(sender, message)

    def send(self, address: str, message: Message) -> bool:
        """Queue a message for a box; return False when it certainly does not go out."""
        if address == self.identity.address:
            self.receive(self.identity, message)
            return True
        outbox = self._outbox(address)
        if outbox is None:
            self.messages_dropped += 1
            return False
        self.messages_sent += 1
        if outbox.put(message):
            return True
        self.messages_dropped += 1
        return False

    def open(self, address: str) -> None:
        """Open a link to a box before there is work for it."""
        if address != self.identity.address:
            self._outbox(address)

    def is_linked(self, address: str) -> bool:
        """Return whether a link to a box stands, so that a message needs one way and no more."""
        return address in self._link_count_by_address

    def _outbox(self, address: str) -> Outbox | None:
        """Return what carries messages to a box; None shortly after a link could not be opened."""
        outbox = self._outbox_by_address.get(address)
        if outbox is not None:
            return outbox
        if self._closed_until_by_address.get(address, 0.0) > steady_now():
            return None
        outbox = self._outbox_by_address[address] = Outbox()
        assert self._tasks is not None, "the hub is not running"
        self._tasks.start_soon(self._dial, address, outbox)
        return outbox

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Take links until cancelled."""
        host, port = split_address(self.identity.address)
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            async with serve(
                self._accept,
                host,
                port,
                ssl=self._tls.server,
                compression=None,
                max_size=MAX_FRAME_BYTES,
                ping_interval=None,
                close_timeout=CLOSE_TIMEOUT_S,
            ):
                task_status.started()
                await anyio.sleep_forever()

    async def _accept(self, socket: ServerConnection) -> None:
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                peer = await self._greet(socket)
        except (TimeoutError, ConnectionClosed, OSError):
            return
        if peer is None:
            await socket.close(CLOSE_CODE_REFUSED, "hello not understood")
            return
        outbox = self._outbox_by_address.setdefault(peer.address, Outbox())
        await self._carry(socket, peer, outbox)

    async def _dial(self, address: str, outbox: Outbox) -> None:
        scheme = "wss" if self._tls.client else "ws"
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                socket = await connect(
                    f"{scheme}://{address}/",
                    ssl=self._tls.client,
                    compression=None,
                    max_size=MAX_FRAME_BYTES,
                    ping_interval=None,
                    close_timeout=CLOSE_TIMEOUT_S,
                    proxy=None,
                )
                peer = await self._greet(socket)
        except (TimeoutError, OSError, ConnectionClosed, InvalidHandshake):
            self._forget(address, outbox)
            return
        except (InvalidURI, ValueError) as error:
            # Addresses come from peers' records too: a bad one must not end this box.
            LOG.warning(f"Cannot open a link to {address!r}: {error}")
            self._forget(address, outbox)
            return
        if peer is None or peer.address != address:
            await socket.close(CLOSE_CODE_REFUSED, "not the box that was meant")
            self._forget(address, outbox)
            return
        await self._carry(socket, peer, outbox)
        await socket.close()

    async def _greet(self, socket: Connection) -> PeerIdentity | None:
        """Exchange hellos; return who is there, or None when it cannot be understood."""
        await socket.send(cbor2.dumps(Hello(PROTOCOL_VERSION, self.identity)))
        raw = await socket.recv(decode=False)
        try:
            loaded = cbor2.loads(raw)
            if loaded[0] != PROTOCOL_VERSION:
                LOG.warning(f"Refused a peer that speaks protocol {loaded[0]!r}.")
                return None
            identity = msgspec.convert(loaded, Hello).identity
        except (ValueError, TypeError, LookupError, cbor2.CBORDecodeError, RecursionError):
            return None
        if self._tls.client is None:
            return identity
        if is_certified(identity, socket.transport.get_extra_info("peercert")):
            return identity
        LOG.warning(
            f"Refused a peer that calls itself {identity.box_id!r}: its certificate differs."
        )
        return None

    async def _carry(self, socket: Connection, peer: PeerIdentity, outbox: Outbox) -> None:
        address = peer.address
        watch_for_silence(socket.transport, LINK_UNACKNOWLEDGED_MS)
        self._link_count_by_address[address] = self._link_count_by_address.get(address, 0) + 1
        try:
            await run_link(socket, peer, outbox, self._codec, self)
        finally:
            self._link_count_by_address[address] -= 1
            if self._link_count_by_address[address] == 0:
                del self._link_count_by_address[address]
                self._forget(address, outbox)

    def _forget(self, address: str, outbox: Outbox) -> None:
        """Drop what waits for a peer whose last link is gone, and tell the duties."""
        if self._link_count_by_address.get(address):
            return
        self.messages_dropped += outbox.clear()
        self._bytes_of_closed_links += outbox.bytes_sent
        outbox.bytes_sent = 0
        if self._outbox_by_address.get(address) is outbox:
            del self._outbox_by_address[address]
        self._closed_until_by_address[address] = steady_now() + RECONNECT_DELAY_S
        for handler in self._on_link_lost:
            handler(address)
