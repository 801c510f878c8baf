"""Forwards at-most-once requests to the box that issued their ids."""

import itertools
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

import anyio
import anyio.abc

from trackwheel.gateway.const import FORWARD_TIMEOUT_S
from trackwheel.gateway.ledger import parse_id
from trackwheel.gateway.models import Forward, Forwarded
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity


class ForwardReply(NamedTuple):
    """The response of the issuer, to be returned to the caller."""

    status: int
    payload: bytes
    retry_after_s: float


class BootDirectory(Protocol):
    """Look up the boxes of boots."""

    def boot_address(self, boot: str) -> str | None:
        """Return the address of the box with a boot, None if unknown."""


ForwardHandler = Callable[[Forward], Awaitable[ForwardReply]]


class _PendingForward:
    """A forwarded request that awaits the response of its issuer."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reply: ForwardReply | None = None
        self.ended = anyio.Event()


class Forwarder:
    """Forward requests to their issuers and serve those of other boxes.

    Without a response of the issuer the outcome of a request is unknown.
    """

    def __init__(self, hub: Hub, directory: BootDirectory) -> None:
        self._hub = hub
        self._directory = directory
        self._numbers = itertools.count(1)
        self._pending_by_id: dict[str, _PendingForward] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._handler: ForwardHandler | None = None
        hub.register(Forward, self._handle_forward)
        hub.register(Forwarded, self._handle_forwarded)
        hub.on_link_lost(self._link_lost)

    @property
    def waiting(self) -> int:
        """Return the number of forwarded requests that await a response."""
        return len(self._pending_by_id)

    def issued_elsewhere(self, request_id: str) -> bool:
        """Return whether an id was issued by another boot than that of this box."""
        parsed = parse_id(request_id)
        return parsed is not None and parsed.boot != self._hub.identity.boot

    async def run(self, handler: ForwardHandler) -> None:
        """Serve forwarded requests of other boxes until cancelled."""
        self._handler = handler
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await anyio.sleep_forever()

    async def forward_to_issuer(self, forward: Forward) -> ForwardReply | None:
        """Return the response of the issuer, None if it is gone or does not respond in time."""
        address = self._directory.boot_address(forward.issuer_boot)
        if address is None:
            return None
        exchange_id = f"{self._hub.identity.boot}-f{next(self._numbers)}"
        pending = self._pending_by_id[exchange_id] = _PendingForward(address)
        try:
            if not self._hub.send(address, forward._replace(exchange_id=exchange_id)):
                return None
            wait_s = min(FORWARD_TIMEOUT_S, forward.deadline_ms / 1000 + 0.25)
            with anyio.move_on_after(wait_s):
                await pending.ended.wait()
            return pending.reply
        finally:
            del self._pending_by_id[exchange_id]

    def stop(self) -> None:
        """Await no more responses of issuers, because this box stops."""
        for pending in self._pending_by_id.values():
            pending.ended.set()

    def _handle_forward(self, sender: PeerIdentity, forward: Forward) -> None:
        if self._tasks is not None and forward.issuer_boot == self._hub.identity.boot:
            self._tasks.start_soon(self._answer, sender.address, forward)

    async def _answer(self, address: str, forward: Forward) -> None:
        assert self._handler is not None, "the forwarder is running"
        reply = await self._handler(forward)
        retry_ms = reply.retry_after_s * 1000
        message = Forwarded(forward.exchange_id, reply.status, reply.payload, retry_ms)
        self._hub.send(address, message)

    def _handle_forwarded(self, sender: PeerIdentity, message: Forwarded) -> None:
        pending = self._pending_by_id.get(message.exchange_id)
        if pending is None or pending.address != sender.address:
            return
        retry_s = message.retry_after_ms / 1000
        pending.reply = ForwardReply(message.status, message.payload, retry_s)
        pending.ended.set()

    def _link_lost(self, address: str) -> None:
        for pending in self._pending_by_id.values():
            if pending.address == address:
                pending.ended.set()
