"""The client of the platform's store."""

import asyncio
from typing import Any

import anyio
import pytest
from returns.result import Failure, Success

from standins.endless_server import FORM_BY_NAME, EndlessServer
from standins.metadata_store import MetadataStore
from trackwheel.directory.models import HistoryGoneError
from trackwheel.directory.revisions import era_of, store_revision_of
from trackwheel.platform.store import StoreClient

EVENTS = b'{"events": [], "as_of": 7}'
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(EVENTS), EVENTS)


class NoLog:
    """Write nothing."""

    def write(self, kind: str, **fields: object) -> None:
        pass


def test_silent_connection_is_met_only_once() -> None:
    """Guards against a connection pool, in which each call may pick another silent connection."""

    connections = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal connections
        connections += 1
        silent = connections == 2
        while await reader.read(4096):
            if not silent:
                writer.write(ANSWER)

    async def scenario() -> list[type[Any]]:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = StoreClient(f"127.0.0.1:{port}", 0.2, NoLog())  # type: ignore[arg-type]
        with anyio.fail_after(5.0):
            ends = [type(await client.watch_targets(7, 0.0)) for _ in range(3)]
        server.close()
        return ends

    assert anyio.run(scenario) == [Success, Failure, Success]
    assert connections == 3


ENTRY = b'{"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","slots":2,"state":'
ENTRY += b'"ready","warmup_left_ms":0,"sequence":4}'


def test_reassigned_revisions_are_later() -> None:
    """The store is restored from a copy two changes old, then written past its old revision."""

    async def scenario() -> None:
        store = MetadataStore()
        running = await store.start("127.0.0.1:0")
        client = StoreClient(running.address, 1.0, NoLog())  # type: ignore[arg-type]
        store.put("servers/a", ENTRY)
        earlier = store.copy()
        store.put("servers/a", ENTRY)
        store.put("servers/b", ENTRY)
        before = (await client.read_targets()).unwrap()
        store.come_back_from(earlier)
        assert client.era == 1
        for _ in range(3):
            store.put("servers/c", ENTRY)
        match await client.watch_targets(before.as_of, 0.0):
            case Failure(HistoryGoneError()):
                assert client.era == 2
            case _:
                pytest.fail("changes under reassigned revisions are lost")
        after = (await client.read_targets()).unwrap()
        assert (era_of(after.as_of), store_revision_of(after.as_of)) == (2, 4)
        assert after.as_of > before.as_of
        revision_by_instance = {entry.instance: entry.revision for entry in after.entries}
        assert set(revision_by_instance) == {"a", "c"}
        assert min(revision_by_instance.values()) > before.as_of
        changes = (await client.watch_targets(after.as_of - 1, 0.0)).unwrap()
        assert [entry.instance for entry in changes.entries] == ["c"]
        await running.stop()

    anyio.run(scenario)


def test_pages_of_two_eras_are_rejected() -> None:
    async def scenario() -> None:
        store = MetadataStore()
        running = await store.start("127.0.0.1:0")
        client = StoreClient(running.address, 1.0, NoLog())  # type: ignore[arg-type]
        for number in range(60):
            store.put(f"servers/t-{number:02}", ENTRY)
        store.after_first_page = lambda: store.come_back_from(store.copy())
        match await client.read_targets():
            case Failure(HistoryGoneError()):
                pass
            case _:
                pytest.fail("pages from before and after a restore were combined")
        assert len((await client.read_targets()).unwrap().entries) == 60
        await running.stop()

    anyio.run(scenario)


@pytest.mark.parametrize("form", ["headers", "interim-answers", "chunked-body", "body-until-close"])
def test_answer_of_the_store_without_end_is_a_failure(form: str) -> None:
    """A watcher received such an answer until its time-out, and it took the memory of the box."""

    async def scenario() -> None:
        async with EndlessServer(FORM_BY_NAME[form]) as server:
            client = StoreClient(f"127.0.0.1:{server.port}", 5.0, NoLog())  # type: ignore[arg-type]
            with anyio.fail_after(2.0):
                result = await client.watch_targets(7, 1.0)
        assert isinstance(result, Failure)
        assert "bytes" in str(result.failure()) or "headers" in str(result.failure())
        assert client.oversized_answers == 1

    anyio.run(scenario)


def test_page_with_the_largest_values_is_read() -> None:
    """The largest value is 1 MiB by the settings; the store sends some in one answer."""

    async def scenario() -> None:
        store = MetadataStore()
        running = await store.start("127.0.0.1:0")
        client = StoreClient(running.address, 5.0, NoLog())  # type: ignore[arg-type]
        for number in range(5):
            store.put(f"held/{number}", b"v" * 1_048_576)
        items = (await client.read_items("held/")).unwrap()
        assert [len(value) for value in items.values()] == [1_048_576] * 5
        await running.stop()

    anyio.run(scenario)
