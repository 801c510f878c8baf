"""Bodies of callers, and the limit on the memory of all of them."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Final

import pytest

from trackwheel.gateway.bodies import BodyReader, QueryBody
from trackwheel.gateway.const import MAX_REQUEST_BYTES, MEMORY_RETRY_AFTER_S
from trackwheel.gateway.errors import CallerError, Code
from trackwheel.http1.const import REQUEST_SHARE_OF_MEMORY

PART: Final = b" " * 50_000
COMPLETE: Final = b'{"service": "s"}'


class FakeState:
    """The state of a request."""


class FakeRequest:
    """A request whose body arrives in parts; an unfinished one never ends."""

    def __init__(self, parts: list[bytes], finished: bool) -> None:
        self.state = FakeState()
        self._parts = parts
        self._finished = finished

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the parts."""
        for part in self._parts:
            yield part
            await asyncio.sleep(0)
        if not self._finished:
            await asyncio.sleep(60)


def run_with(
    memory_bytes: int, test: Callable[[BodyReader, Callable[..., Any]], Awaitable[None]]
) -> BodyReader:
    reader = BodyReader(memory_bytes)

    async def read(*parts: bytes, finished: bool = True) -> tuple[Any, QueryBody]:
        request: Any = FakeRequest(list(parts), finished)
        return request, await reader.read(request, QueryBody)

    async def main() -> None:
        async with asyncio.timeout(10):
            await test(reader, read)

    asyncio.run(main())
    return reader


def test_unfinished_bodies_are_bounded_together_and_the_largest_is_refused_first() -> None:
    """Each body was within its limit, and all together took the memory of a box."""
    memory_bytes = int(1_000_000 / REQUEST_SHARE_OF_MEMORY)

    async def test(reader: BodyReader, read: Callable[..., Any]) -> None:
        unfinished = [asyncio.ensure_future(read(*[PART] * 4, finished=False)) for _ in range(5)]
        for _ in range(20):
            await asyncio.sleep(0)
            assert reader.held_bytes <= 1_000_000
        refused = [task for task in unfinished if task.done()]
        assert refused
        for task in refused:
            error = task.exception()
            assert isinstance(error, CallerError)
            assert error.problem.code == Code.OVERLOADED
            assert error.retry_after_s == MEMORY_RETRY_AFTER_S
        request, body = await read(COMPLETE)
        assert body.service == "s"
        reader.release(request)
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*unfinished, return_exceptions=True)
        assert reader.held_bytes == 0

    run_with(memory_bytes, test)


def test_requests_in_progress_leave_memory_for_small_ones() -> None:
    async def test(reader: BodyReader, read: Callable[..., Any]) -> None:
        refused = 0
        for _ in range(30):
            try:
                await read(COMPLETE, *[PART] * 4)
            except CallerError as error:
                assert error.problem.code == Code.OVERLOADED
                refused += 1
        assert refused
        await read(COMPLETE)

    run_with(int(4_000_000 / REQUEST_SHARE_OF_MEMORY), test)


@pytest.mark.parametrize("part_bytes", [10, 1_000, MAX_REQUEST_BYTES])
def test_largest_body_is_read_in_calm_on_a_small_machine(part_bytes: int) -> None:
    content = COMPLETE.ljust(MAX_REQUEST_BYTES)

    async def test(reader: BodyReader, read: Callable[..., Any]) -> None:
        parts = [content[at : at + part_bytes] for at in range(0, len(content), part_bytes)]
        request, _ = await read(*parts)
        assert reader.held_bytes > len(content)
        reader.release(request)
        assert reader.held_bytes == 0

    run_with(100_000_000, test)
