"""Passing requests that may run only once to the box that issued their ids."""

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
    """Hold the issuer's answer as the caller is to see it."""

    status: int
    payload: bytes
    retry_after_s: float


class BootDirectory(Protocol):
    """Find the box that runs a boot."""

    def boot_address(self, boot: str) -> str | None:
        """Return the address, None when no such boot is known."""


ForwardHandler = Callable[[Forward], Awaitable[ForwardReply]]


class _PendingForward:
    """Hold one exchange with an issuer."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reply: ForwardReply | None = None
        self.ended = anyio.Event()


class Forwarder:
    """Exchange requests with their issuers; no answer from one means that nothing is known."""

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

    def issued_elsewhere(self, request_id: str) -> bool:
        """Return whether an id names another boot than this box's."""
        parsed = parse_id(request_id)
        return parsed is not None and parsed.boot != self._hub.identity.boot

    async def run(self, handler: ForwardHandler) -> None:
        """Serve other boxes' forwards until cancelled."""
        self._handler = handler
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await anyio.sleep_forever()

    async def forward_to_issuer(self, forward: Forward) -> ForwardReply | None:
        """Return the issuer's answer, None when it is gone or does not answer."""
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
