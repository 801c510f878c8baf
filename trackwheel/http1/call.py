"""One exchange on a connection of its own."""

import asyncio

from trackwheel.http1.client import ClientConnection
from trackwheel.http1.models import ExchangeOutcome, ExchangeResult, Request, Response


async def call_once(
    host: str, port: int, request: Request, connect_timeout_s: float, timeout_s: float
) -> ExchangeResult:
    """Open a connection, exchange one request and its answer, and close it.

    Times are seconds; one that is over, or an error of the network, ends the exchange as broken or
    as not sent.
    """
    connection = ClientConnection(lambda _: None)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(connect_timeout_s):
            await loop.create_connection(lambda: connection, host, port)
    except (OSError, TimeoutError) as error:
        return ExchangeResult(ExchangeOutcome.NOT_SENT, None, f"no connection: {error!r}")
    if not connection.open:
        return ExchangeResult(ExchangeOutcome.NOT_SENT, None, "closed as soon as it was open")
    ended: asyncio.Future[ExchangeResult] = loop.create_future()
    connection.send(request, _any_answer, ended.set_result)
    try:
        async with asyncio.timeout(timeout_s):
            return await ended
    except TimeoutError:
        return ExchangeResult(ExchangeOutcome.BROKEN, None, f"no answer within {timeout_s:.1f} s")
    finally:
        connection.abandon()


def _any_answer(answer: Response) -> str:
    """Take whatever comes: one exchange a connection has no answer to take for another."""
    return ""
