"""Held requests in a store that is restored from an older copy and loses recent writes."""

import anyio
import pytest
from returns.result import Result, Success

from tests.directory.test_service import FakeHub, FakeLog
from trackwheel.errors import TrackwheelError
from trackwheel.peers.models import PeerIdentity
from trackwheel.quarantine.const import REBROADCAST_INTERVAL_S
from trackwheel.quarantine.models import HeldRequest, RequestsHeld
from trackwheel.quarantine.service import Quarantine

PEER = PeerIdentity("box-2", "boot", "10.0.0.2:1", "here", "here-a")
KEPT, CLEARED = b"k" * 16, b"c" * 16


class MemoryHeldStore:
    """In-memory store whose rows the test replaces to simulate a restore."""

    def __init__(self) -> None:
        self.era = 1
        self.rows: dict[bytes, HeldRequest] = {}

    async def read(self) -> Result[list[HeldRequest], TrackwheelError]:
        return Success(list(self.rows.values()))

    async def put(self, held: HeldRequest) -> Result[None, TrackwheelError]:
        self.rows[held.fingerprint] = held
        return Success(None)

    async def delete(self, fingerprint: bytes) -> Result[None, TrackwheelError]:
        self.rows.pop(fingerprint, None)
        return Success(None)


@pytest.mark.parametrize(
    "found",
    [pytest.param([], id="lost"), pytest.param([CLEARED], id="lost-and-a-cleared-one-restored")],
)
def test_restored_store_receives_the_held_requests(found: list[bytes]) -> None:
    store = MemoryHeldStore()

    async def scenario() -> None:
        quarantine = Quarantine(FakeHub(), store, FakeLog())  # type: ignore[arg-type]
        quarantine.set_boxes([], [], rebroadcasts=True)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(quarantine.run)
            await anyio.sleep(0.05)
            quarantine._handle_requests_held(PEER, RequestsHeld([HeldRequest(KEPT, 60_000.0)]))
            await anyio.sleep(REBROADCAST_INTERVAL_S + 0.1)
            assert set(store.rows) == {KEPT}
            store.rows = {name: HeldRequest(name, 60_000.0) for name in found}
            store.era += 1
            await anyio.sleep(REBROADCAST_INTERVAL_S + 0.1)
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
    assert set(store.rows) == {KEPT}
