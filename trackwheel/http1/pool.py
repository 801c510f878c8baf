"""Connection pool for one target, with a limit on connections and on their idle time."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from trackwheel.clock import steady_now
from trackwheel.http1.answer_limits import AnswerLimits
from trackwheel.http1.client import Check, ClientConnection, OnResult
from trackwheel.http1.const import AT_MOST_ONCE_MAX_IDLE_S, CONNECT_TIMEOUT_S
from trackwheel.http1.models import ExchangeOutcome, ExchangeResult, Request


class Job(NamedTuple):
    """An exchange to be sent; `build` creates the request once a connection is available.

    A repeat of a request to the same target has the same `request_id` and another `token`.
    """

    token: object
    request_id: str
    build: Callable[[], Request]
    check: Check
    at_most_once: bool
    on_result: OnResult


class TargetPool:
    """Send requests to one target over a bounded number of connections."""

    def __init__(
        self, host: str, port: int, limit: int, answer_limits: AnswerLimits | None = None
    ) -> None:
        self._host = host
        self._port = port
        self._answer_limits = answer_limits or AnswerLimits()
        self.limit = limit
        self._idle: list[ClientConnection] = []
        self._connecting: set[asyncio.Task[None]] = set()
        # A list, since an empty deque takes 700 bytes and there is a pool for each target.
        self._waiting: list[Job] = []
        self._connection_by_token: dict[object, ClientConnection] = {}
        self._open: set[ClientConnection] = set()

    def submit(self, job: Job) -> None:
        """Send a request as soon as a connection is free; `on_result` is called later, once."""
        self._waiting.append(job)
        self._send_waiting()

    def is_waiting(self, token: object) -> bool:
        """Return whether an exchange still waits for a connection."""
        return any(job.token is token for job in self._waiting)

    def cancel(self, token: object) -> bool:
        """Cancel an exchange; return whether it was already sent and its connection was closed."""
        connection = self._connection_by_token.pop(token, None)
        if connection is not None:
            connection.abandon()
            return True
        self._waiting = [job for job in self._waiting if job.token is not token]
        return False

    def refuse_waiting(self) -> None:
        """End all exchanges that wait for a connection as not sent.

        Otherwise a target that must get no new work would still receive them as connections
        become free, until their deadlines: up to ten seconds, where at most five are allowed.
        """
        # One at a time, since a callback may cancel other exchanges.
        while self._waiting:
            job = self._waiting.pop(0)
            job.on_result(
                ExchangeResult(ExchangeOutcome.NOT_SENT, None, "target is not accepting new work")
            )

    def close(self) -> None:
        """Close idle connections and cancel connection attempts; running exchanges continue."""
        for task in tuple(self._connecting):
            task.cancel()
        self._close_idle()

    def _close_idle(self) -> None:
        """Close idle connections; after one has timed out, the others mostly would as well."""
        for connection in tuple(self._idle):
            connection.abandon()

    @property
    def unused(self) -> bool:
        """Return whether no exchange is running or waiting and no connection is being opened."""
        return not (self._connection_by_token or self._waiting or self._connecting)

    def _send_waiting(self) -> None:
        while self._waiting:
            connection = self._take_idle(self._waiting[0])
            if connection is None:
                break
            self._send(connection, self._waiting.pop(0))
        needed = len(self._waiting) - len(self._connecting)
        capacity = self.limit - len(self._open) - len(self._connecting)
        if needed > 0 and capacity <= 0 and self._idle:
            # No idle connection may be used for the next job: closing one makes room for a new one.
            self._idle[0].abandon()
            return
        for _ in range(min(needed, capacity)):
            task = asyncio.get_running_loop().create_task(self._connect())
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)

    def _take_idle(self, job: Job) -> ClientConnection | None:
        """Take the most recently used connection; close those that have been idle too long.

        A connection that has sent the same request before is not used: a late surplus answer to
        the earlier attempt has the same id and would be taken for the answer to this one.
        """
        now = steady_now()
        for connection in reversed(tuple(self._idle)):
            idle_s = now - connection.idle_since
            idle_limit_s = (
                min(connection.max_idle_s, AT_MOST_ONCE_MAX_IDLE_S)
                if job.at_most_once
                else connection.max_idle_s
            )
            if not connection.open or idle_s >= idle_limit_s:
                connection.abandon()
            elif job.request_id not in connection.recent_request_ids:
                self._idle.remove(connection)
                return connection
        return None

    def _send(self, connection: ClientConnection, job: Job) -> None:
        def finish(result: ExchangeResult) -> None:
            self._connection_by_token.pop(job.token, None)
            if connection.open:
                self._idle.append(connection)
            elif connection.timed_out:
                self._close_idle()
            job.on_result(result)
            self._send_waiting()

        self._connection_by_token[job.token] = connection
        connection.recent_request_ids.append(job.request_id)
        connection.send(job.build(), job.check, finish)

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        connection = ClientConnection(self._handle_closed, self._answer_limits)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: connection, self._host, self._port)
        except (OSError, TimeoutError) as error:
            self._connect_failed(error)
            return
        self._open.add(connection)
        connection.idle_since = steady_now()
        self._idle.append(connection)
        self._connecting.discard(_current_task())
        self._send_waiting()

    def _connect_failed(self, error: Exception) -> None:
        """End the exchange that has waited longest as not sent."""
        self._connecting.discard(_current_task())
        if not self._waiting:
            return
        job = self._waiting.pop(0)
        job.on_result(ExchangeResult(ExchangeOutcome.NOT_SENT, None, f"cannot connect: {error!r}"))
        self._send_waiting()

    def _handle_closed(self, connection: ClientConnection) -> None:
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._send_waiting)


def _current_task() -> asyncio.Task[None]:
    task = asyncio.current_task()
    assert task is not None
    return task
