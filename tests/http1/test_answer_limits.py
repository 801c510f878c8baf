"""Answers without end, and the limits on the memory of all unfinished answers."""

import asyncio
import time
import tracemalloc
from collections.abc import Awaitable, Callable

import pytest

from standins.endless_server import FORM_BY_NAME, EndlessServer
from tests.http1.conftest import Run
from tests.http1.test_client import Target, exchange, respond_with
from trackwheel.http1.answer_limits import AnswerLimits
from trackwheel.http1.call import call_once
from trackwheel.http1.const import (
    BODY_SHARE_OF_MEMORY,
    DEFAULT_MEMORY_BYTES,
    MAX_HEADERS,
    MIN_BODY_LIMIT_BYTES,
    RECEIVE_SHARE_OF_MEMORY,
)
from trackwheel.http1.models import ExchangeOutcome, ExchangeResult, Request
from trackwheel.http1.pool import TargetPool

REQUEST = Request(b"GET", b"/a", ((b"host", b"h"),), b"", 0.0)
ENDED_WITHIN_S = 2.0
"""Less than the deadline of most requests, on a busy machine."""
BODY_FORMS = {"chunked-body", "one-chunk", "body-until-close"}
"""Forms that are ended by the limit on the body; the others have little or no body."""
SOCKET_BUFFERS_BYTES = 16_000_000
HEAD_MEMORY_BYTES = 4_000_000
BODY_MEMORY_BYTES = DEFAULT_MEMORY_BYTES * BODY_SHARE_OF_MEMORY * 2 + HEAD_MEMORY_BYTES


async def through_a_pool(port: int) -> ExchangeResult:
    pool = TargetPool("127.0.0.1", port, 2)
    try:
        return await exchange(pool)
    finally:
        pool.close()


async def through_a_single_call(port: int) -> ExchangeResult:
    return await call_once("127.0.0.1", port, REQUEST, 1.0, 5.0, AnswerLimits())


@pytest.mark.parametrize("call", [through_a_pool, through_a_single_call])
@pytest.mark.parametrize("form", FORM_BY_NAME)
def test_answer_without_end_is_ended_at_once(
    run: Run, form: str, call: Callable[[int], Awaitable[ExchangeResult]]
) -> None:
    """Such an answer was received until the deadline, and took the memory of its box."""
    most_bytes = BODY_MEMORY_BYTES if form in BODY_FORMS else HEAD_MEMORY_BYTES

    async def scenario() -> None:
        async with EndlessServer(FORM_BY_NAME[form]) as server:
            began = time.monotonic()
            result = await call(server.port)
            took_s = time.monotonic() - began
        assert result.outcome is ExchangeOutcome.OVERSIZED, result
        assert took_s < ENDED_WITHIN_S
        assert server.sent_bytes < most_bytes + SOCKET_BUFFERS_BYTES

    tracemalloc.start()
    try:
        run(scenario())
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < most_bytes


LARGE = b"r" * MIN_BODY_LIMIT_BYTES


@pytest.mark.parametrize(
    "answer",
    [
        pytest.param(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(LARGE), LARGE), id="declared"
        ),
        pytest.param(b"HTTP/1.1 200 OK\r\n\r\n" + LARGE, id="until-close"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"10\r\n%s\r\n" % LARGE[:16] * (len(LARGE) // 16)
            + b"0\r\n\r\n",
            id="short-chunks",
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\n"
            + b"".join(b"X-%d: %s\r\n" % (number, b"v" * 200) for number in range(MAX_HEADERS - 1))
            + b"Content-Length: %d\r\n\r\n%s" % (len(LARGE), LARGE),
            id="many-headers",
        ),
    ],
)
def test_large_answer_is_received(run: Run, answer: bytes) -> None:
    async def scenario() -> None:
        async with Target(respond_with(answer, then="end")) as target:
            result = await through_a_pool(target.port)
        assert result.answer is not None, result.detail
        assert result.answer.body == LARGE

    run(scenario())


@pytest.mark.parametrize(
    "headers",
    [
        pytest.param(b"a: b\r\n" * (MAX_HEADERS + 1), id="many"),
        pytest.param(b"a: %s\r\n" % (b"v" * 70_000), id="long"),
    ],
)
def test_whole_answer_with_too_large_a_head_is_refused(run: Run, headers: bytes) -> None:
    """Whether it passed depended on how many bytes arrived at once."""

    async def scenario() -> None:
        answer = b"HTTP/1.1 200 OK\r\n" + headers + b"Content-Length: 2\r\n\r\nok"
        async with Target(respond_with(answer)) as target:
            result = await through_a_pool(target.port)
        assert result.outcome is ExchangeOutcome.OVERSIZED

    run(scenario())


def test_many_endless_answers_share_their_memory(run: Run) -> None:
    """Answers below the limit of one exhausted the memory of a box together."""
    limits = AnswerLimits()
    most_bytes = DEFAULT_MEMORY_BYTES * RECEIVE_SHARE_OF_MEMORY
    held: list[int] = []

    async def scenario() -> None:
        # Each of them stays below the limit of one body, and ends no answer.
        form = FORM_BY_NAME["body-until-close"]
        server = EndlessServer(form, most=int(0.9 * limits.body_bytes), pause_s=0.001)
        async with server, Target(respond_with(b"HTTP/1.1 200 OK\r\n\r\nok", then="end")) as sound:
            pool = TargetPool("127.0.0.1", server.port, 24, limits)
            endless = [asyncio.ensure_future(exchange(pool)) for _ in range(24)]
            while not any(task.done() for task in endless):
                held.append(limits.held_bytes)
                await asyncio.sleep(0.01)
            answered = await exchange(TargetPool("127.0.0.1", sound.port, 2, limits))
            assert answered.outcome is ExchangeOutcome.ANSWERED
            outcomes = {(await task).outcome for task in endless}
            assert ExchangeOutcome.OVERSIZED in outcomes
        assert max(held) <= most_bytes

    run(scenario())
    assert limits.held_bytes == 0


def test_withdrawn_exchange_releases_its_memory(run: Run) -> None:
    """An answer that trickles below all limits holds memory up to its request's deadline."""
    limits = AnswerLimits()

    async def scenario() -> None:
        form = FORM_BY_NAME["body-until-close"]
        async with EndlessServer(form, pause_s=0.01, write_bytes=100) as server:
            pool = TargetPool("127.0.0.1", server.port, 2, limits)
            task = asyncio.ensure_future(exchange(pool))
            while limits.held_bytes < 500:
                await asyncio.sleep(0.01)
            (token,) = pool._connection_by_token
            pool.cancel(token)
            assert limits.held_bytes == 0
            task.cancel()

    run(scenario())


class _Receiver:
    def __init__(self) -> None:
        self.ended = 0

    def end_oversized(self, detail: str) -> None:
        self.ended += 1


def test_largest_answer_is_ended_when_all_together_exceed_the_memory() -> None:
    limits = AnswerLimits(memory_bytes=100_000_000)
    receivers = [_Receiver() for _ in range(4)]
    for receiver, size in zip(receivers, (7_000_000, 8_000_000, 6_000_000, 2_000_000), strict=True):
        limits.hold(receiver, size)
    assert not any(receiver.ended for receiver in receivers)
    limits.hold(receivers[3], 5_000_000)
    assert [receiver.ended for receiver in receivers] == [0, 1, 0, 0]
    assert limits.held_bytes == 18_000_000
