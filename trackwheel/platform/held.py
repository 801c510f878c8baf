"""Held requests in the platform's store, where they survive a restart of all boxes."""

import time

from returns.result import Result

from trackwheel.errors import TrackwheelError
from trackwheel.platform.names import PREFIX_HELD
from trackwheel.platform.store import StoreClient
from trackwheel.quarantine.models import HeldRequest
from trackwheel.units import MILLISECONDS


class PlatformHeldStore:
    """Store an item for each held request; its value is the expiry time (Unix milliseconds)."""

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    @property
    def era(self) -> int:
        """Return how often the store was restored from a copy, as far as its answers have shown."""
        return self._store.era

    async def read(self) -> Result[list[HeldRequest], TrackwheelError]:
        """Return the stored requests; the result may be some seconds old."""
        items = await self._store.read_items(PREFIX_HELD)
        return items.map(_held_requests)

    async def put(self, held: HeldRequest) -> Result[None, TrackwheelError]:
        """Store a held request unless another box has; the entry expires with the hold."""
        expires_at_ms = time.time() * MILLISECONDS + held.left_ms
        key = f"{PREFIX_HELD}{held.fingerprint.hex()}"
        value = b"%d" % expires_at_ms
        return await self._store.put_if_absent(key, value, held.left_ms / MILLISECONDS)

    async def delete(self, fingerprint: bytes) -> Result[None, TrackwheelError]:
        """Delete the entry of a request."""
        return await self._store.delete_item(f"{PREFIX_HELD}{fingerprint.hex()}")


def _held_requests(value_by_name: dict[str, bytes]) -> list[HeldRequest]:
    """Decode the items; unreadable ones, left by another writer, are skipped."""
    now_ms = time.time() * MILLISECONDS
    rows: list[HeldRequest] = []
    for name, value in value_by_name.items():
        try:
            rows.append(HeldRequest(bytes.fromhex(name), int(value) - now_ms))
        except ValueError:
            continue
    return rows
