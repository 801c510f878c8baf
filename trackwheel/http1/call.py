"""A single exchange on a connection of its own."""

import asyncio

from trackwheel.http1.answer_limits import AnswerLimits
from trackwheel.http1.client import ClientConnection
from trackwheel.http1.models import ExchangeOutcome, ExchangeResult, Request, Response


async def call_once(
    host: str,
    port: int,
    request: Request,
    connect_timeout_s: float,
    timeout_s: float,
    answer_limits: AnswerLimits,
) -> ExchangeResult:
    """Open a connection, send one request, receive its answer and close the connection.

    A time-out or a network error gives a result that is broken, or not sent if it came first.
    """
    connection = ClientConnection(lambda _: None, answer_limits)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(connect_timeout_s):
            await loop.create_connection(lambda: connection, host, port)
    except (OSError, TimeoutError) as error:
        return ExchangeResult(ExchangeOutcome.NOT_SENT, None, f"cannot connect: {error!r}")
    if not connection.open:
        return ExchangeResult(
            ExchangeOutcome.NOT_SENT, None, "connection closed before the request was sent"
        )
    result: asyncio.Future[ExchangeResult] = loop.create_future()
    connection.send(request, _accept_any_answer, result.set_result)
    try:
        async with asyncio.timeout(timeout_s):
            return await result
    except TimeoutError:
        return ExchangeResult(ExchangeOutcome.BROKEN, None, f"no answer within {timeout_s:.1f} s")
    finally:
        connection.abandon()


def _accept_any_answer(answer: Response) -> str:
    """Accept every answer: on a connection with one exchange it cannot belong to another."""
    return ""
