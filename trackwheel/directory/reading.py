"""The tasks that read the store while this box is to: a copy at the start, then two watches."""

from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

import anyio
from returns.result import Failure, Result, Success

from trackwheel.clock import steady_now
from trackwheel.directory.const import (
    LOOK_PERIOD_S,
    ORDERS_PATIENCE_S,
    ORDERS_REST_S,
    ORDERS_WAIT_S,
    RETRY_FIRST_S,
    RETRY_LONGEST_S,
    RETURN_REST_S,
    SLOW_ANSWER_S,
    STORE_TIMEOUT_S,
    TARGETS_REST_SHARE,
    TARGETS_WAIT_SHARE,
)
from trackwheel.directory.models import (
    DirectorySource,
    HistoryGoneError,
    OperatorStateRead,
    TargetsRead,
)
from trackwheel.directory.sync_status import WatchStatus
from trackwheel.directory.targets import TargetDirectory
from trackwheel.directory.watcher_election import WatcherElection
from trackwheel.errors import TrackwheelError
from trackwheel.telemetry.events import EventLog

T = TypeVar("T", OperatorStateRead, TargetsRead)


class StoreNews(Protocol):
    """Take what was read of the store."""

    def take_orders(self, read: OperatorStateRead) -> int | None:
        """Take a reading or a change; return the revision from which to watch on.

        None asks for everything once more.
        """

    def take_targets(self, read: TargetsRead) -> int:
        """Take a reading or changes; return the revision from which to watch on."""

    def take_copy(self, orders: OperatorStateRead, targets: TargetsRead) -> None:
        """Take what may be seconds old."""


class StoreReader:
    """Read the store as long as this box is to, and know whether its answers keep it in step."""

    def __init__(
        self,
        source: DirectorySource,
        targets: TargetDirectory,
        election: WatcherElection,
        news: StoreNews,
        log: EventLog,
        drain_s: float,
    ) -> None:
        self._source = source
        self._targets = targets
        self._election = election
        self._news = news
        self._log = log
        self.targets_rest_s = drain_s * TARGETS_REST_SHARE
        self._targets_wait_s = drain_s * TARGETS_WAIT_SHARE
        self._orders_flow = WatchStatus("orders", ORDERS_PATIENCE_S)
        patience_s = self.targets_rest_s + self._targets_wait_s + STORE_TIMEOUT_S
        self._targets_flow = WatchStatus("targets", patience_s)
        self.calls = 0

    def in_sync(self, now: float) -> bool:
        """Return whether the store has answered both watches of this box lately."""
        return self._orders_flow.in_sync(now) and self._targets_flow.in_sync(now)

    async def run(self) -> None:
        """Read until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._start_from_copy)
            tasks.start_soon(self._follow_orders)
            tasks.start_soon(self._follow_targets)

    async def _start_from_copy(self) -> None:
        """Serve by a copy of the store until a watcher is heard of, or this box reads itself."""
        if not self._election.is_starting(steady_now()):
            return
        self.calls += 2
        orders = await self._source.read_operator_state(copy=True)
        targets = await self._source.read_targets(copy=True)
        match orders, targets:
            case Success(orders_read), Success(targets_read):
                self._news.take_copy(orders_read, targets_read)
            case (Failure(error), _) | (_, Failure(error)):
                self._log.write("no_copy", reason=str(error))

    async def _follow_orders(self) -> None:
        await self._follow(
            self._source.read_operator_state,
            self._source.watch_operator_state,
            self._news.take_orders,
            self._orders_flow,
            ORDERS_WAIT_S,
            ORDERS_REST_S,
        )

    async def _follow_targets(self) -> None:
        await self._follow(
            self._source.read_targets,
            self._source.watch_targets,
            self._news.take_targets,
            self._targets_flow,
            self._targets_wait_s,
            self.targets_rest_s,
        )

    async def _follow(
        self,
        read: Callable[[], Awaitable[Result[T, TrackwheelError]]],
        watch: Callable[[int, float], Awaitable[Result[T, TrackwheelError]]],
        take: Callable[[T], int | None],
        flow: WatchStatus,
        wait_s: float,
        rest_s: float,
    ) -> None:
        """Read once, then follow the changes, as long as this box is to watch.

        After a failure all is read anew: to go through the changes since then took six seconds
        where heartbeats of 900 targets are among them.
        """
        after: int | None = None
        pause_s = RETRY_FIRST_S
        while True:
            if not self._reads_now(flow):
                after = None
                await anyio.sleep(LOOK_PERIOD_S)
                continue
            self.calls += 1
            asked_at = steady_now()
            result = await (read() if after is None else watch(after, wait_s))
            match result:
                case Success(found):
                    self._store_answered(flow, steady_now() - asked_at - wait_s)
                    after = take(found)
                    pause_s = RETRY_FIRST_S
                    await anyio.sleep(0.0 if found.more else self._rest_s(rest_s))
                case Failure(HistoryGoneError()):
                    after = None
                case Failure(error):
                    after = None
                    self._store_failed(flow, error)
                    await anyio.sleep(pause_s)
                    pause_s = min(RETRY_LONGEST_S, pause_s * 2)

    def _reads_now(self, flow: WatchStatus) -> bool:
        """Return whether a call on the store is due.

        While the store answers neither watch, the orders' one alone tries: one call tells as much
        as two.
        """
        if not self._election.should_watch(steady_now()):
            return False
        return flow is self._orders_flow or not (flow.failing and self._orders_flow.failing)

    def _rest_s(self, usual_s: float) -> float:
        """Return the pause between two watches, short while lapsed entries come back."""
        if self._targets.awaits_returns(steady_now()):
            return min(usual_s, RETURN_REST_S)
        return usual_s

    def _store_answered(self, flow: WatchStatus, late_s: float) -> None:
        """Take an answer; one that is late says that the store was away while it was awaited."""
        if late_s > SLOW_ANSWER_S:
            self._targets.store_lost()
        now = steady_now()
        self._targets.store_regained(now)
        if flow.record_answer(now):
            self._log.write("store_regained", watch=flow.name)

    def _store_failed(self, flow: WatchStatus, error: TrackwheelError) -> None:
        self._targets.store_lost()
        if flow.record_failure():
            self._log.write("store_lost", watch=flow.name, reason=str(error))
