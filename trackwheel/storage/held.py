"""Store of held requests under a single key of the platform's key-value service."""

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

ExpiryByFingerprint = dict[str, float]
"""Expiry of each held request (Unix milliseconds) by its fingerprint in hexadecimal."""


class KeyValueHeldStore:
    """Update the value with compare-and-swap; the caller retries after a conflicting write."""

    era: Final = 0
    """Constant, since the key-value service never loses a value that it has stored."""

    def __init__(self, client: KeyValueClient) -> None:
        self._client = client

    async def read(self) -> Result[list[HeldRequest], TrackwheelError]:
        """Return the held requests."""
        return (await self._client.get(KEY)).map(_to_held_requests)

    async def put(self, held: HeldRequest) -> Result[None, TrackwheelError]:
        """Write that a request is held."""
        expires_at_ms = time.time() * MILLISECONDS + held.left_ms
        return await self._update(held.fingerprint, expires_at_ms)

    async def delete(self, fingerprint: bytes) -> Result[None, TrackwheelError]:
        """Remove what is written of a request."""
        return await self._update(fingerprint, 0.0)

    async def _update(
        self, fingerprint: bytes, expires_at_ms: float
    ) -> Result[None, TrackwheelError]:
        match await self._client.get(KEY):
            case Success(stored):
                updated = {**_decode(stored), fingerprint.hex(): expires_at_ms}
                now_ms = time.time() * MILLISECONDS
                unexpired = {
                    fingerprint_hex: expires_at
                    for fingerprint_hex, expires_at in updated.items()
                    if expires_at > now_ms
                }
                value = msgspec.json.encode(unexpired)
                written = await self._client.compare_and_swap(KEY, value, stored.revision)
                return written.bind(
                    lambda reply: (
                        Success(None)
                        if reply.written
                        else Failure(
                            platform_error("held", KEY, "written concurrently by another box")
                        )
                    )
                )
            case failure:
                return failure.map(lambda _: None)


def _to_held_requests(stored: StoredValue) -> list[HeldRequest]:
    now_ms = time.time() * MILLISECONDS
    return [
        HeldRequest(bytes.fromhex(fingerprint_hex), expires_at_ms - now_ms)
        for fingerprint_hex, expires_at_ms in _decode(stored).items()
    ]


def _decode(stored: StoredValue) -> ExpiryByFingerprint:
    """Return the decoded value; an invalid one is treated as empty."""
    try:
        expiry_by_fingerprint = msgspec.json.decode(stored.value or b"{}", type=ExpiryByFingerprint)
        for fingerprint_hex in expiry_by_fingerprint:
            bytes.fromhex(fingerprint_hex)
    except (msgspec.DecodeError, ValueError):
        return {}
    return expiry_by_fingerprint
