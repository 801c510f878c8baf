"""Held requests in the platform's store, so that they outlast all boxes."""

import time

from returns.result import Result

from trackwheel.errors import TrackwheelError
from trackwheel.platform.names import PREFIX_HELD
from trackwheel.platform.store import StoreClient
from trackwheel.quarantine.models import HeldRequest
from trackwheel.units import MILLISECONDS


class PlatformHeldStore:
    """Keep an item for each held request; its value is when it is over (Unix milliseconds)."""

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    @property
    def era(self) -> int:
        """Return how often the store has come back from a copy, as far as is known."""
        return self._store.era

    async def read(self) -> Result[list[HeldRequest], TrackwheelError]:
        """Return the requests that are held, as they stood some seconds ago."""
        items = await self._store.read_items(PREFIX_HELD)
        return items.map(_held_requests)

    async def put(self, held: HeldRequest) -> Result[None, TrackwheelError]:
        """Write that a request is held, unless another box has; it is forgotten in time."""
        over_ms = time.time() * MILLISECONDS + held.left_ms
        key = f"{PREFIX_HELD}{held.fingerprint.hex()}"
        value = b"%d" % over_ms
        return await self._store.put_once(key, value, held.left_ms / MILLISECONDS)

    async def delete(self, fingerprint: bytes) -> Result[None, TrackwheelError]:
        """Remove what is written of a request."""
        return await self._store.remove_item(f"{PREFIX_HELD}{fingerprint.hex()}")


def _held_requests(value_by_name: dict[str, bytes]) -> list[HeldRequest]:
    """Return what items say; those that another writer left and nobody can read are passed over."""
    now_ms = time.time() * MILLISECONDS
    rows: list[HeldRequest] = []
    for name, value in value_by_name.items():
        try:
            rows.append(HeldRequest(bytes.fromhex(name), int(value) - now_ms))
        except ValueError:
            continue
    return rows
