"""Gives connections with much to read their turns, so that none keeps the others waiting."""

import asyncio
from collections.abc import Callable
from itertools import islice

from trackwheel.http1.const import READS_PER_TURN


class ReadTurns:
    """Resume reading of a few connections in each iteration of the event loop, in order.

    Others are read meanwhile: a connection that sends little need not wait for a turn.
    """

    def __init__(self) -> None:
        self._resume_by_connection: dict[object, Callable[[], None]] = {}
        self._scheduled = False

    def wait(self, connection: object, resume: Callable[[], None]) -> None:
        """Call `resume` when it is the connection's turn."""
        self._resume_by_connection[connection] = resume
        self._schedule()

    def leave(self, connection: object) -> None:
        """Give up the turn of a connection."""
        self._resume_by_connection.pop(connection, None)

    def _schedule(self) -> None:
        if not self._scheduled and self._resume_by_connection:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._give_turns)

    def _give_turns(self) -> None:
        self._scheduled = False
        for connection in tuple(islice(self._resume_by_connection, READS_PER_TURN)):
            self._resume_by_connection.pop(connection)()
        self._schedule()
