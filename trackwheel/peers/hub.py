"""The links of one box: accepts links from peers and opens its own on demand."""

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

from trackwheel.addresses import split_address
from trackwheel.clock import steady_now
from trackwheel.http1.sockets import set_tcp_options
from trackwheel.peers.certificate import certificate_matches
from trackwheel.peers.codec import Codec, Message
from trackwheel.peers.const import (
    CLOSE_CODE_REFUSED,
    CLOSE_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    LINK_USER_TIMEOUT_MS,
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    RECONNECT_DELAY_S,
)
from trackwheel.peers.link import LOG, Outbox, run_link
from trackwheel.peers.models import Hello, PeerIdentity

Handler = Callable[[PeerIdentity, Any], None]


class Tls(Protocol):
    """Provide the SSL contexts for links; they may change between two links."""

    @property
    def server(self) -> ssl.SSLContext | None:
        """Return the context for accepted links, None without TLS."""

    @property
    def client(self) -> ssl.SSLContext | None:
        """Return the context for outgoing links, None without TLS."""


class Hub:
    """Send messages to boxes by address and dispatch received ones to registered handlers."""

    def __init__(self, identity: PeerIdentity, codec: Codec, tls: Tls) -> None:
        self.identity = identity
        self._codec = codec
        self._tls = tls
        self._handler_by_type: dict[type[Any], Handler] = {}
        self._outbox_by_address: dict[str, Outbox] = {}
        self._retry_at_by_address: dict[str, float] = {}
        self._link_count_by_address: dict[str, int] = {}
        self._boot_by_address: dict[str, str] = {}
        """The boot of the newest link to each linked peer."""
        self._on_link_lost: list[Callable[[str], None]] = []
        self._tasks: anyio.abc.TaskGroup | None = None
        self._closed_link_bytes = 0
        self.messages_sent = 0
        self.messages_dropped = 0

    @property
    def bytes_sent(self) -> int:
        """Return the number of bytes of all frames sent."""
        open_links = self._outbox_by_address.values()
        return self._closed_link_bytes + sum(outbox.bytes_sent for outbox in open_links)

    def register(self, message_type: type[Any], handler: Handler) -> None:
        """Register the handler for received messages of a type."""
        self._handler_by_type[message_type] = handler

    def on_link_lost(self, handler: Callable[[str], None]) -> None:
        """Call a handler with a peer's address when its work for this box is lost.

        Its last link was closed or cannot be opened, or the peer has restarted: after a loss of
        power, links to its earlier boot stay open for seconds.
        """
        self._on_link_lost.append(handler)

    def receive(self, sender: PeerIdentity, message: Message) -> None:
        """Pass a message to the handler of its type."""
        handler = self._handler_by_type.get(type(message))
        if handler is not None:
            handler(sender, message)

    def send(self, address: str, message: Message) -> bool:
        """Queue a message for a box; return False if it was dropped."""
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
        """Open a link to a box before the first message to it."""
        if address != self.identity.address:
            self._outbox(address)

    def is_linked(self, address: str) -> bool:
        """Return whether a link to a box is open, so that a message needs no handshake first."""
        return address in self._link_count_by_address

    def _outbox(self, address: str) -> Outbox | None:
        """Return the outbox of a box, opening a link if needed; None during the reconnect delay."""
        outbox = self._outbox_by_address.get(address)
        if outbox is not None:
            return outbox
        if self._retry_at_by_address.get(address, 0.0) > steady_now():
            return None
        outbox = self._outbox_by_address[address] = Outbox()
        assert self._tasks is not None, "the hub is not running"
        self._tasks.start_soon(self._connect, address, outbox)
        return outbox

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Accept links until cancelled."""
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
                peer = await self._handshake(socket)
        except (TimeoutError, ConnectionClosed, OSError):
            return
        if peer is None:
            await socket.close(CLOSE_CODE_REFUSED, "hello not understood")
            return
        outbox = self._outbox_by_address.setdefault(peer.address, Outbox())
        await self._serve_link(socket, peer, outbox)

    async def _connect(self, address: str, outbox: Outbox) -> None:
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
                peer = await self._handshake(socket)
        except (TimeoutError, OSError, ConnectionClosed, InvalidHandshake):
            self._drop_peer(address, outbox)
            return
        except (InvalidURI, ValueError) as error:
            # Addresses also come from peers' records: an invalid one must not stop this box.
            LOG.warning(f"Cannot open a link to {address!r}: {error}")
            self._drop_peer(address, outbox)
            return
        if peer is None or peer.address != address:
            await socket.close(CLOSE_CODE_REFUSED, "not the box that was meant")
            self._drop_peer(address, outbox)
            return
        await self._serve_link(socket, peer, outbox)
        await socket.close()

    async def _handshake(self, socket: Connection) -> PeerIdentity | None:
        """Exchange hellos; return the peer's identity, or None if it is not accepted."""
        await socket.send(cbor2.dumps(Hello(PROTOCOL_VERSION, self.identity)))
        raw = await socket.recv(decode=False)
        try:
            loaded = cbor2.loads(raw)
            if loaded[0] != PROTOCOL_VERSION:
                LOG.warning(f"Refused a peer with protocol version {loaded[0]!r}.")
                return None
            identity = msgspec.convert(loaded, Hello).identity
        except (ValueError, TypeError, LookupError, cbor2.CBORDecodeError, RecursionError):
            return None
        if self._tls.client is None:
            return identity
        if certificate_matches(identity, socket.transport.get_extra_info("peercert")):
            return identity
        LOG.warning(
            f"Refused a peer that claims to be {identity.box_id!r}: its certificate differs."
        )
        return None

    async def _serve_link(self, socket: Connection, peer: PeerIdentity, outbox: Outbox) -> None:
        address = peer.address
        set_tcp_options(socket.transport, LINK_USER_TIMEOUT_MS)
        self._link_count_by_address[address] = self._link_count_by_address.get(address, 0) + 1
        if self._boot_by_address.setdefault(address, peer.boot) != peer.boot:
            self._boot_by_address[address] = peer.boot
            self._notify_link_lost(address)
        try:
            await run_link(socket, peer, outbox, self._codec, self)
        finally:
            self._link_count_by_address[address] -= 1
            if self._link_count_by_address[address] == 0:
                del self._link_count_by_address[address]
                del self._boot_by_address[address]
                self._drop_peer(address, outbox)

    def _drop_peer(self, address: str, outbox: Outbox) -> None:
        """Drop the queued messages of a peer without links and call the link-lost handlers."""
        if self._link_count_by_address.get(address):
            return
        self.messages_dropped += outbox.clear()
        self._closed_link_bytes += outbox.bytes_sent
        outbox.bytes_sent = 0
        if self._outbox_by_address.get(address) is outbox:
            del self._outbox_by_address[address]
        self._retry_at_by_address[address] = steady_now() + RECONNECT_DELAY_S
        self._notify_link_lost(address)

    def _notify_link_lost(self, address: str) -> None:
        for handler in self._on_link_lost:
            handler(address)
