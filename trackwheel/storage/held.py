"""Held requests in the platform's key-value service, all in one value."""

import time
from typing import Final

import msgspec
from returns.result import Failure, Result, Success

from trackwheel.errors import TrackwheelError
from trackwheel.quarantine.models import HeldRequest
from trackwheel.storage.errors import platform_error
from trackwheel.storage.models import KeyValueClient, StoredValue
from trackwheel.units import MILLISECONDS

KEY: Final = "trackwheel/held"

OverByRequest = dict[str, float]
"""When each request is over (Unix milliseconds), by its fingerprint in hexadecimal."""


class KeyValueHeldStore:
    """Read the value, change it, write it back if nobody else has; who was too late tries again."""

    era: Final = 0
    """This service loses nothing that it has taken."""

    def __init__(self, client: KeyValueClient) -> None:
        self._client = client

    async def read(self) -> Result[list[HeldRequest], TrackwheelError]:
        """Return the requests that are held."""
        return (await self._client.get(KEY)).map(_held_requests)

    async def keep(self, held: HeldRequest) -> Result[None, TrackwheelError]:
        """Write that a request is held."""
        over_ms = time.time() * MILLISECONDS + held.left_ms
        return await self._change(held.fingerprint, over_ms)

    async def forget(self, fingerprint: bytes) -> Result[None, TrackwheelError]:
        """Remove what is written of a request."""
        return await self._change(fingerprint, 0.0)

    async def _change(self, fingerprint: bytes, over_ms: float) -> Result[None, TrackwheelError]:
        match await self._client.get(KEY):
            case Success(stored):
                changed = {**_decode(stored), fingerprint.hex(): over_ms}
                now_ms = time.time() * MILLISECONDS
                kept = {name: over for name, over in changed.items() if over > now_ms}
                value = msgspec.json.encode(kept)
                written = await self._client.compare_and_swap(KEY, value, stored.revision)
                return written.bind(
                    lambda reply: (
                        Success(None)
                        if reply.written
                        else Failure(platform_error("held", KEY, "another box wrote meanwhile"))
                    )
                )
            case failure:
                return failure.map(lambda _: None)


def _held_requests(stored: StoredValue) -> list[HeldRequest]:
    now_ms = time.time() * MILLISECONDS
    return [
        HeldRequest(bytes.fromhex(name), over_ms - now_ms)
        for name, over_ms in _decode(stored).items()
    ]


def _decode(stored: StoredValue) -> OverByRequest:
    """Return what a value says; one that nobody can read says nothing."""
    try:
        over_by_request = msgspec.json.decode(stored.value or b"{}", type=OverByRequest)
        for name in over_by_request:
            bytes.fromhex(name)
    except (msgspec.DecodeError, ValueError):
        return {}
    return over_by_request
