"""Asking boxes which revision they have in force, for operators who wait for it."""

import itertools
from collections.abc import Callable

import anyio

from trackwheel.clock import steady_now
from trackwheel.files.const import ASK_PERIOD_S, ASK_WAIT_S, CONFIRM_WAIT_S
from trackwheel.files.models import AskRevision, TellRevision
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity


class Confirmations:
    """Collect the boxes' revisions."""

    def __init__(
        self, hub: Hub, addresses: Callable[[], list[str]], revision: Callable[[], int]
    ) -> None:
        self._hub = hub
        self._addresses = addresses
        self._revision = revision
        self._numbers = itertools.count(1)
        self._revision_by_address_by_exchange: dict[str, dict[str, int]] = {}
        hub.register(AskRevision, self._answer)
        hub.register(TellRevision, self._take)

    async def ask(self) -> dict[str, int]:
        """Return the revision of each box that answers within a moment."""
        return await self._collect(0, ASK_WAIT_S)

    async def wait(self, revision: int) -> tuple[str, ...]:
        """Return the boxes that did not confirm a revision within seconds."""
        found = await self._collect(revision, CONFIRM_WAIT_S)
        return tuple(a for a in self._addresses() if found.get(a, 0) < revision)

    async def _collect(self, revision: int, wait_s: float) -> dict[str, int]:
        exchange_id = f"{self._hub.identity.boot}-r{next(self._numbers)}"
        found = self._revision_by_address_by_exchange[exchange_id] = {}
        end = steady_now() + wait_s
        try:
            while steady_now() < end:
                missing = [a for a in self._addresses() if found.get(a, -1) < revision]
                if not missing:
                    break
                for address in missing:
                    self._hub.send(address, AskRevision(exchange_id))
                await anyio.sleep(ASK_PERIOD_S)
        finally:
            del self._revision_by_address_by_exchange[exchange_id]
        return found

    def _answer(self, sender: PeerIdentity, message: AskRevision) -> None:
        answer = TellRevision(message.exchange_id, self._revision())
        self._hub.send(sender.address, answer)

    def _take(self, sender: PeerIdentity, message: TellRevision) -> None:
        found = self._revision_by_address_by_exchange.get(message.exchange_id)
        if found is not None:
            found[sender.address] = message.revision
