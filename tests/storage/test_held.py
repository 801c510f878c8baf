"""The store of held requests, with concurrent writers and invalid stored values."""

import asyncio
import time

import pytest
from returns.result import Failure, Result, Success

from trackwheel.quarantine.models import HeldRequest
from trackwheel.storage.errors import PlatformError, platform_error
from trackwheel.storage.held import KeyValueHeldStore
from trackwheel.storage.models import StoredValue, WriteResult

ONE, OTHER = b"\x01", b"\x02"


class Store:
    """An in-memory key; `conflicts` is the number of writes that another writer precedes."""

    def __init__(self, value: bytes = b"", conflicts: int = 0) -> None:
        self.stored = StoredValue(value, 1 if value else 0)
        self.conflicts = conflicts
        self.down = False

    async def get(self, key: str) -> Result[StoredValue, PlatformError]:
        if self.down:
            return Failure(platform_error("get", key, "down"))
        return Success(self.stored)

    async def compare_and_swap(
        self, key: str, value: bytes, revision: int
    ) -> Result[WriteResult, PlatformError]:
        if self.conflicts:
            self.conflicts -= 1
            self.stored = self.stored._replace(revision=self.stored.revision + 1)
        if revision != self.stored.revision:
            return Success(WriteResult(False, self.stored.revision))
        self.stored = StoredValue(value, revision + 1)
        return Success(WriteResult(True, revision + 1))

    async def watch(self, key: str, after: int) -> Result[StoredValue, PlatformError]:
        raise NotImplementedError


def held(store: Store) -> dict[bytes, float]:
    rows = asyncio.run(KeyValueHeldStore(store).read()).unwrap()
    return {row.fingerprint: row.left_ms for row in rows}


def keep(store: Store, request: bytes, left_ms: float = 5_000.0) -> bool:
    return isinstance(
        asyncio.run(KeyValueHeldStore(store).put(HeldRequest(request, left_ms))), Success
    )


def test_held_requests_are_read_with_their_remaining_time() -> None:
    store = Store()
    assert keep(store, ONE)
    assert keep(store, OTHER)
    assert held(store).keys() == {ONE, OTHER}
    assert 4_000.0 < held(store)[ONE] <= 5_000.0
    asyncio.run(KeyValueHeldStore(store).delete(ONE))
    assert held(store).keys() == {OTHER}


def test_expired_request_is_removed_by_the_next_write() -> None:
    expired = b'{"01": %d}' % (time.time() * 1000 - 1)
    store = Store(expired)
    assert keep(store, OTHER)
    assert held(store).keys() == {OTHER}


def test_conflicting_write_fails_and_keeps_the_stored_requests() -> None:
    store = Store(b'{"02": 9e15}', conflicts=1)
    assert not keep(store, ONE)
    assert keep(store, ONE)
    assert held(store).keys() == {ONE, OTHER}


@pytest.mark.parametrize("value", [b"rubbish", b"[]", b'{"zz": 9e15}', b'{"01": "x"}'])
def test_invalid_value_is_empty_and_overwritten(value: bytes) -> None:
    store = Store(value)
    assert held(store) == {}
    assert keep(store, ONE)
    assert held(store).keys() == {ONE}


def test_unavailable_store_is_a_failure() -> None:
    store = Store()
    store.down = True
    assert not keep(store, ONE)
    assert isinstance(asyncio.run(KeyValueHeldStore(store).read()), Failure)
