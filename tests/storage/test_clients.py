"""The clients of the platform's services, tested with stand-ins and injected failures."""

from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import anyio
import pytest
from aiohttp import web
from returns.result import Failure, Result, Success

from standins.box_list import StandinBoxList
from standins.endless_server import FORM_BY_NAME, EndlessServer
from standins.fleet import free_ports
from standins.http import listen
from standins.key_value import StandinKeyValue
from trackwheel.storage.clients import HttpBoxList, HttpKeyValue
from trackwheel.storage.const import MAX_ANSWER_BYTES
from trackwheel.storage.models import BoxList, StoredValue, WriteResult

Test = Callable[[HttpKeyValue, StandinKeyValue], Coroutine[Any, Any, None]]


def with_store(test: Test, timeout_s: float = 2.0) -> None:
    """Run a test with a key-value service of its own."""

    async def main() -> None:
        address = f"127.0.0.1:{free_ports(1)[0]}"
        store = StandinKeyValue()
        running = await store.start(address)
        client = HttpKeyValue(f"http://{address}", timeout_s)
        try:
            await test(client, store)
        finally:
            await client.close()
            await running.stop()

    anyio.run(main)


def test_key_without_a_value_has_revision_zero() -> None:
    async def test(client: HttpKeyValue, store: StandinKeyValue) -> None:
        assert await client.get("a/b") == Success(StoredValue(b"", 0))

    with_store(test)


def test_compare_and_swap_requires_the_current_revision() -> None:
    async def test(client: HttpKeyValue, store: StandinKeyValue) -> None:
        first = (await client.compare_and_swap("k", b"\x00one", 0)).unwrap()
        assert first.written
        assert await client.compare_and_swap("k", b"two", 0) == Success(
            WriteResult(False, first.revision)
        )
        assert await client.get("k") == Success(StoredValue(b"\x00one", first.revision))
        second = (await client.compare_and_swap("k", b"two", first.revision)).unwrap()
        assert second.written
        assert second.revision > first.revision

    with_store(test)


def test_write_with_a_lost_reply_fails_but_takes_effect() -> None:
    async def test(client: HttpKeyValue, store: StandinKeyValue) -> None:
        store.faults.lose_replies = 1
        result = await client.compare_and_swap("k", b"one", 0)
        assert isinstance(result, Failure)
        assert result.failure().problem.step == "compare_and_swap"
        assert (await client.get("k")).unwrap().value == b"one"

    with_store(test)


def test_watch_returns_on_the_next_write() -> None:
    async def test(client: HttpKeyValue, store: StandinKeyValue) -> None:
        written = (await client.compare_and_swap("k", b"one", 0)).unwrap()
        seen: list[StoredValue] = []

        async def watch() -> None:
            seen.append((await client.watch("k", written.revision)).unwrap())

        with anyio.fail_after(5.0):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch)
                await anyio.sleep(0.1)
                assert seen == [], "nothing has changed yet"
                await client.compare_and_swap("k", b"two", written.revision)
        assert seen[0].value == b"two"

    with_store(test)


def test_watch_returns_at_once_if_the_revision_has_gone_back() -> None:
    async def test(client: HttpKeyValue, store: StandinKeyValue) -> None:
        written = (await client.compare_and_swap("k", b"one", 0)).unwrap()
        with anyio.fail_after(2.0):
            stored = (await client.watch("k", written.revision + 7)).unwrap()
        assert stored == StoredValue(b"one", written.revision)

    with_store(test)


CALLS = [
    pytest.param(lambda client: client.get("k"), id="get"),
    pytest.param(lambda client: client.watch("k", 0), id="watch"),
    pytest.param(lambda client: client.compare_and_swap("k", b"v", 0), id="compare-and-swap"),
]
Call = Callable[[HttpKeyValue], Awaitable[Result[Any, Any]]]


@pytest.mark.parametrize("call", CALLS)
def test_outage_is_a_failure_that_names_the_service(call: Call) -> None:
    async def test(client: HttpKeyValue, store: StandinKeyValue) -> None:
        store.faults.down = True
        result = await call(client)
        assert isinstance(result, Failure)
        assert result.failure().problem.code == "platform_unavailable"
        assert result.failure().problem.peer.startswith("http://127.0.0.1:")

    with_store(test)


def test_slow_write_times_out() -> None:
    async def test(client: HttpKeyValue, store: StandinKeyValue) -> None:
        store.faults.slow_s = 5.0
        with anyio.fail_after(2.0):
            assert isinstance(await client.compare_and_swap("k", b"v", 0), Failure)

    with_store(test, timeout_s=0.2)


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize(
    "body", [b"", b"{", b"[]", b'{"value": "?", "revision": 1}', b'{"value": 3}'], ids=repr
)
def test_invalid_reply_is_a_failure(call: Call, body: bytes) -> None:
    async def main() -> None:
        address = f"127.0.0.1:{free_ports(1)[0]}"

        async def answer(request: web.Request) -> web.Response:
            return web.Response(body=body)

        running = await listen([web.route("*", "/{any:.*}", answer)], address)
        client = HttpKeyValue(f"http://{address}")
        try:
            assert isinstance(await call(client), Failure)
        finally:
            await client.close()
            await running.stop()

    anyio.run(main)


def test_box_list_is_read() -> None:
    async def main() -> None:
        address = f"127.0.0.1:{free_ports(1)[0]}"
        running = await StandinBoxList(["127.0.0.1:1"]).start(address)
        client = HttpBoxList(f"http://{address}")
        try:
            assert await client.read() == Success(BoxList(["127.0.0.1:1"], []))
            await running.stop()
            assert isinstance(await client.read(), Failure)
        finally:
            await client.close()

    anyio.run(main)


@pytest.mark.parametrize("pause_s", [0.0, 0.05], ids=["fast", "trickle"])
@pytest.mark.parametrize("form", FORM_BY_NAME)
def test_answer_without_end_is_a_failure(form: str, pause_s: float) -> None:
    """Bodies took half a gigabyte, and an answer that trickled in never ended."""

    async def main() -> None:
        write_bytes = 200 if pause_s else 65_536
        async with EndlessServer(FORM_BY_NAME[form], pause_s, write_bytes) as server:
            client = HttpKeyValue(f"http://127.0.0.1:{server.port}", timeout_s=0.5)
            with anyio.fail_after(3.0):
                assert isinstance(await client.compare_and_swap("k", b"v", 1), Failure)
            await client.close()
        assert server.sent_bytes < 3 * MAX_ANSWER_BYTES

    anyio.run(main)
