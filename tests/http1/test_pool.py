"""Exchanges that wait for a connection to one target."""

import asyncio

from trackwheel.http1.models import ExchangeOutcome, ExchangeResult, Request
from trackwheel.http1.pool import Job, TargetPool

REQUEST = Request(b"GET", b"/", (), b"", 0.0)


def test_nothing_that_waits_is_sent_to_a_target_that_gets_no_new_work() -> None:
    """All connections are taken; the first exchange that ends takes the second one back."""
    ended: list[tuple[str, ExchangeResult]] = []

    async def scenario() -> None:
        pool = TargetPool("127.0.0.1", 1, limit=0)

        def job(name: str, takes_back: str = "") -> Job:
            def end(result: ExchangeResult) -> None:
                ended.append((name, result))
                if takes_back:
                    pool.cancel(takes_back)

            return Job(name, name, lambda: REQUEST, lambda answer: "", False, end)

        for waiting in (job("first", takes_back="second"), job("second"), job("third")):
            pool.submit(waiting)
        pool.refuse_waiting()
        assert pool.unused

    asyncio.run(scenario())
    assert [(name, result.kind) for name, result in ended] == [
        ("first", ExchangeOutcome.NOT_SENT),
        ("third", ExchangeOutcome.NOT_SENT),
    ]
