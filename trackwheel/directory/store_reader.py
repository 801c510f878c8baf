"""The tasks of a watcher that read the store: a stale copy at the start, then two watches."""

from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

import anyio
from returns.result import Failure, Result, Success

from trackwheel.clock import steady_now
from trackwheel.directory.const import (
    OPERATOR_WATCH_PAUSE_S,
    OPERATOR_WATCH_TIMEOUT_S,
    OPERATOR_WATCH_WAIT_S,
    POLL_PERIOD_S,
    RETRY_MAX_PAUSE_S,
    RETRY_MIN_PAUSE_S,
    RETURN_WATCH_PAUSE_S,
    SLOW_ANSWER_S,
    STORE_TIMEOUT_S,
    TARGETS_WATCH_PAUSE_FRACTION,
    TARGETS_WATCH_WAIT_FRACTION,
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


class StoreListener(Protocol):
    """Receive what was read from the store."""

    def apply_operator_state(self, read: OperatorStateRead) -> int | None:
        """Apply a read or a change; return the revision from which to continue the watch.

        None requests a complete read.
        """

    def apply_targets(self, read: TargetsRead) -> int:
        """Apply a read or changes; return the revision from which to continue the watch."""

    def apply_copy(self, operator_state: OperatorStateRead, targets: TargetsRead) -> None:
        """Apply a copy that may be some seconds old."""


class StoreReader:
    """Read the store while this box is a watcher, and track whether it is in sync."""

    def __init__(
        self,
        source: DirectorySource,
        targets: TargetDirectory,
        election: WatcherElection,
        listener: StoreListener,
        log: EventLog,
        drain_s: float,
    ) -> None:
        self._source = source
        self._targets = targets
        self._election = election
        self._listener = listener
        self._log = log
        self.targets_pause_s = drain_s * TARGETS_WATCH_PAUSE_FRACTION
        self._targets_wait_s = drain_s * TARGETS_WATCH_WAIT_FRACTION
        self._operator_watch = WatchStatus("orders", OPERATOR_WATCH_TIMEOUT_S)
        timeout_s = self.targets_pause_s + self._targets_wait_s + STORE_TIMEOUT_S
        self._targets_watch = WatchStatus("targets", timeout_s)
        self.calls = 0

    def in_sync(self, now: float) -> bool:
        """Return whether the store has answered both watches of this box recently."""
        return self._operator_watch.in_sync(now) and self._targets_watch.in_sync(now)

    async def run(self) -> None:
        """Read until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._start_from_copy)
            tasks.start_soon(self._follow_operator_state)
            tasks.start_soon(self._follow_targets)

    async def _start_from_copy(self) -> None:
        """Serve from a stale copy until a beacon arrives or this box reads the store."""
        if not self._election.is_starting(steady_now()):
            return
        self.calls += 2
        operator_state = await self._source.read_operator_state(copy=True)
        targets = await self._source.read_targets(copy=True)
        match operator_state, targets:
            case Success(operator_state_read), Success(targets_read):
                self._listener.apply_copy(operator_state_read, targets_read)
            case (Failure(error), _) | (_, Failure(error)):
                self._log.write("no_copy", reason=str(error))

    async def _follow_operator_state(self) -> None:
        await self._follow(
            self._source.read_operator_state,
            self._source.watch_operator_state,
            self._listener.apply_operator_state,
            self._operator_watch,
            OPERATOR_WATCH_WAIT_S,
            OPERATOR_WATCH_PAUSE_S,
        )

    async def _follow_targets(self) -> None:
        await self._follow(
            self._source.read_targets,
            self._source.watch_targets,
            self._listener.apply_targets,
            self._targets_watch,
            self._targets_wait_s,
            self.targets_pause_s,
        )

    async def _follow(
        self,
        read: Callable[[], Awaitable[Result[T, TrackwheelError]]],
        watch: Callable[[int, float], Awaitable[Result[T, TrackwheelError]]],
        apply: Callable[[T], int | None],
        status: WatchStatus,
        wait_s: float,
        watch_pause_s: float,
    ) -> None:
        """Read once, then follow the changes, while this box is a watcher.

        After a failure everything is read again: following the changes since then took six seconds
        when heartbeats of 900 targets were among them.
        """
        after: int | None = None
        retry_pause_s = RETRY_MIN_PAUSE_S
        while True:
            if not self._call_is_due(status):
                after = None
                await anyio.sleep(POLL_PERIOD_S)
                continue
            self.calls += 1
            called_at = steady_now()
            result = await (read() if after is None else watch(after, wait_s))
            match result:
                case Success(found):
                    self._record_answer(status, steady_now() - called_at - wait_s)
                    after = apply(found)
                    retry_pause_s = RETRY_MIN_PAUSE_S
                    await anyio.sleep(0.0 if found.more else self._watch_pause_s(watch_pause_s))
                case Failure(HistoryGoneError()):
                    after = None
                case Failure(error):
                    after = None
                    self._record_failure(status, error)
                    await anyio.sleep(retry_pause_s)
                    retry_pause_s = min(RETRY_MAX_PAUSE_S, retry_pause_s * 2)

    def _call_is_due(self, status: WatchStatus) -> bool:
        """Return whether a call on the store is due.

        While the store answers neither watch, only that of the operator's keys retries: one call is
        enough to notice its return.
        """
        if not self._election.should_watch(steady_now()):
            return False
        return status is self._operator_watch or not (
            status.failing and self._operator_watch.failing
        )

    def _watch_pause_s(self, usual_s: float) -> float:
        """Return the pause between two watches, shorter while expired entries are written again."""
        if self._targets.awaits_returns(steady_now()):
            return min(usual_s, RETURN_WATCH_PAUSE_S)
        return usual_s

    def _record_answer(self, status: WatchStatus, late_s: float) -> None:
        """Record an answer; a late one means that the store was unavailable meanwhile."""
        if late_s > SLOW_ANSWER_S:
            self._targets.store_lost()
        now = steady_now()
        self._targets.store_regained(now)
        if status.record_answer(now):
            self._log.write("store_regained", watch=status.name)

    def _record_failure(self, status: WatchStatus, error: TrackwheelError) -> None:
        self._targets.store_lost()
        if status.record_failure():
            self._log.write("store_lost", watch=status.name, reason=str(error))
