"""Waiting exchanges of the connection pool."""

import asyncio

from trackwheel.http1.models import ExchangeOutcome, ExchangeResult, Request
from trackwheel.http1.pool import Job, TargetPool

REQUEST = Request(b"GET", b"/", (), b"", 0.0)


def test_refusing_waiting_exchanges_sends_none_of_them() -> None:
    """No connection is free; the callback of the first exchange cancels the second one."""
    ended: list[tuple[str, ExchangeResult]] = []

    async def scenario() -> None:
        pool = TargetPool("127.0.0.1", 1, limit=0)

        def job(name: str, cancels: str = "") -> Job:
            def end(result: ExchangeResult) -> None:
                ended.append((name, result))
                if cancels:
                    pool.cancel(cancels)

            return Job(name, name, lambda: REQUEST, lambda answer: "", False, end)

        for queued in (job("first", cancels="second"), job("second"), job("third")):
            pool.submit(queued)
        pool.refuse_waiting()
        assert pool.unused

    asyncio.run(scenario())
    assert [(name, result.outcome) for name, result in ended] == [
        ("first", ExchangeOutcome.NOT_SENT),
        ("third", ExchangeOutcome.NOT_SENT),
    ]
