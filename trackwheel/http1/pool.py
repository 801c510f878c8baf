"""Connections to one target: reused while fresh, opened on demand, never more than a limit."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from trackwheel.clock import steady_now
from trackwheel.http1.client import Check, ClientConnection, OnEnd
from trackwheel.http1.const import CONNECT_TIMEOUT_S, ONCE_REUSE_S
from trackwheel.http1.models import ExchangeOutcome, ExchangeResult, Request


class Job(NamedTuple):
    """One exchange that waits for a connection; `build` makes the request when it is sent.

    A request goes under its id, and may go to one target again.
    """

    token: object
    request_id: str
    build: Callable[[], Request]
    check: Check
    once: bool
    on_end: OnEnd


class TargetPool:
    """Send exchanges to one target over a bounded number of connections."""

    def __init__(self, host: str, port: int, limit: int) -> None:
        self._host = host
        self._port = port
        self.limit = limit
        self._idle: list[ClientConnection] = []
        self._connecting: set[asyncio.Task[None]] = set()
        self._waiting: deque[Job] = deque()
        self._connection_by_token: dict[object, ClientConnection] = {}
        self._open: set[ClientConnection] = set()

    def submit(self, job: Job) -> None:
        """Send a request as soon as a connection is free; `on_end` is called later, once."""
        self._waiting.append(job)
        self._pump()

    def cancel(self, token: object) -> bool:
        """Take an exchange back; return whether it was sent, so that its connection is closed."""
        connection = self._connection_by_token.pop(token, None)
        if connection is not None:
            connection.abandon()
            return True
        self._waiting = deque(job for job in self._waiting if job.token is not token)
        return False

    def refuse_waiting(self) -> None:
        """Tell the exchanges that wait for a connection that nothing is sent any more.

        A target that gets no new work would otherwise get them when a connection comes free, up to
        their deadlines later: ten seconds, where the bounds are five and less.
        """
        # One at a time: the end of one may take others back.
        while self._waiting:
            job = self._waiting.popleft()
            job.on_end(
                ExchangeResult(ExchangeOutcome.NOT_SENT, None, "the target gets no new work")
            )

    def close(self) -> None:
        """Close idle connections and stop opening new ones; exchanges under way go on."""
        for task in tuple(self._connecting):
            task.cancel()
        self._drop_idle()

    def _drop_idle(self) -> None:
        """Close idle connections; where one has gone silent, older ones mostly have too."""
        for connection in tuple(self._idle):
            connection.abandon()

    @property
    def unused(self) -> bool:
        """Return whether nothing is under way or waits."""
        return not (self._connection_by_token or self._waiting or self._connecting)

    def _pump(self) -> None:
        while self._waiting:
            connection = self._take_idle(self._waiting[0])
            if connection is None:
                break
            self._send(connection, self._waiting.popleft())
        missing = len(self._waiting) - len(self._connecting)
        room = self.limit - len(self._open) - len(self._connecting)
        if missing > 0 and room <= 0 and self._idle:
            # None of these may be used for what waits; the next one takes its place.
            self._idle[0].abandon()
            return
        for _ in range(min(missing, room)):
            task = asyncio.get_running_loop().create_task(self._connect())
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)

    def _take_idle(self, job: Job) -> ClientConnection | None:
        """Take the connection that rested last; one that has rested too long is closed.

        A surplus answer may come late, and its id says only which request it belongs to. On a
        connection that has carried the same request before, it would be taken for the answer.
        """
        now = steady_now()
        for connection in reversed(tuple(self._idle)):
            rested = now - connection.idle_since
            bound = min(connection.reuse_s, ONCE_REUSE_S) if job.once else connection.reuse_s
            if not connection.open or rested >= bound:
                connection.abandon()
            elif job.request_id not in connection.carried:
                self._idle.remove(connection)
                return connection
        return None

    def _send(self, connection: ClientConnection, job: Job) -> None:
        def end(result: ExchangeResult) -> None:
            self._connection_by_token.pop(job.token, None)
            if connection.open:
                self._idle.append(connection)
            elif connection.silent:
                self._drop_idle()
            job.on_end(result)
            self._pump()

        self._connection_by_token[job.token] = connection
        connection.carried.append(job.request_id)
        connection.send(job.build(), job.check, end)

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        connection = ClientConnection(self._closed)
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
        self._pump()

    def _connect_failed(self, error: Exception) -> None:
        """Tell the exchange that has waited longest that nothing was sent."""
        self._connecting.discard(_current_task())
        if not self._waiting:
            return
        job = self._waiting.popleft()
        job.on_end(ExchangeResult(ExchangeOutcome.NOT_SENT, None, f"no connection: {error!r}"))
        self._pump()

    def _closed(self, connection: ClientConnection) -> None:
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._pump)


def _current_task() -> asyncio.Task[None]:
    task = asyncio.current_task()
    assert task is not None
    return task
