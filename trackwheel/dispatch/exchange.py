"""Exchanges with targets: send requests and report their outcomes to the dispatch task."""

from collections.abc import Callable

import anyio
import anyio.abc
import msgspec

from trackwheel.clock import steady_now
from trackwheel.dispatch.const import EXECUTE_TIMEOUT_S, MIN_RETRY_AFTER_S
from trackwheel.dispatch.events import Event, ExchangeEnded, HealthPageRead
from trackwheel.dispatch.guard import SendGuard
from trackwheel.dispatch.models import (
    ExecuteAnswer,
    Outcome,
    RequestEnded,
    RunOutcome,
    Work,
    WorkKey,
)
from trackwheel.dispatch.reply_classifier import (
    classify_execute_reply,
    classify_query_reply,
    outcome_of_run,
)
from trackwheel.peers.hub import Hub
from trackwheel.targets.const import HEALTH_TIMEOUT_S, PATH_EXECUTE, PATH_HEALTH, PATH_QUERY
from trackwheel.targets.errors import (
    TargetBrokenError,
    TargetOversizedError,
    TargetUnreachableError,
)
from trackwheel.targets.models import HealthPage, TargetClient, TargetReply


class TargetExchanges:
    """Send work to targets, with one task per request."""

    def __init__(
        self, hub: Hub, client: TargetClient, guard: SendGuard, put: Callable[[Event], None]
    ) -> None:
        self._hub = hub
        self._client = client
        self._guard = guard
        self._put = put
        self._scope_by_key: dict[WorkKey, anyio.CancelScope] = {}
        self.sent_by_outcome: dict[str, int] = {}

    def start_query(self, work: Work, tasks: anyio.abc.TaskGroup) -> None:
        """Send a sub-request, which times out at its deadline."""
        scope = anyio.CancelScope(deadline=work.deadline)
        self._scope_by_key[work.key] = scope
        tasks.start_soon(self._query, work, scope)

    def cancel(self, key: WorkKey) -> None:
        """Cancel a sub-request and close its connection."""
        running = self._scope_by_key.pop(key, None)
        if running is not None:
            running.cancel()

    async def _query(self, work: Work, scope: anyio.CancelScope) -> None:
        """Send one sub-request and report its outcome."""
        if scope.cancel_called:
            return
        started = steady_now()
        body = msgspec.json.encode(
            {
                "nonce": work.key.wire_nonce(),
                "service": work.service,
                "group": work.group,
                "version": work.version,
                "query": work.text,
            }
        )
        reply: TargetReply | None = None
        outcome = Outcome.LATE
        holds: list[int] = []
        with scope:
            left_ms = (work.deadline - started) * 1000
            try:
                reply = await self._client.post(work.target, PATH_QUERY, body, left_ms)
                outcome, holds = classify_query_reply(work, reply)
                self._guard.record_reply(work, outcome, reply)
            except (TargetUnreachableError, TargetBrokenError) as error:
                oversized = isinstance(error, TargetOversizedError)
                outcome = Outcome.OVERSIZED if oversized else Outcome.FAILED
                self._guard.record_failure(work, error)
        if self._scope_by_key.pop(work.key, None) is None:
            return
        self.sent_by_outcome[outcome] = self.sent_by_outcome.get(outcome, 0) + 1
        service_s = steady_now() - started
        self._put(_exchange_ended(work, outcome, service_s, reply, holds))

    async def execute(self, work: Work) -> None:
        """Execute permitted work once; if the outcome is uncertain, report it as unknown."""
        started = steady_now()
        body = msgspec.json.encode(
            {
                "nonce": work.key.wire_nonce(),
                "id": work.request_id,
                "service": work.service,
                "group": work.group,
                "body": work.text,
            }
        )
        run, reason, reply = RunOutcome.UNKNOWN, "no_answer", None
        with anyio.move_on_after(EXECUTE_TIMEOUT_S):
            try:
                left_ms = EXECUTE_TIMEOUT_S * 1000
                reply = await self._client.post(work.target, PATH_EXECUTE, body, left_ms)
                run, reason = classify_execute_reply(work, reply)
                self._guard.record_reply(work, outcome_of_run(run, reply), reply)
            except TargetUnreachableError as error:
                run, reason = RunOutcome.NOT_RUN, Outcome.FAILED
                self._guard.record_failure(work, error)
            except TargetBrokenError as error:
                oversized = isinstance(error, TargetOversizedError)
                reason = "oversized_answer" if oversized else "connection_broke"
                run = RunOutcome.UNKNOWN
                self._guard.record_failure(work, error)
        outcome = outcome_of_run(run, reply)
        service_s = steady_now() - started
        self._put(_exchange_ended(work, outcome, service_s, reply, []))
        retry_ms = 1000 * max(MIN_RETRY_AFTER_S, reply.retry_after_s if reply else 0.0)
        done = reply.body if reply is not None and run is RunOutcome.DONE else b""
        answer = ExecuteAnswer(work.key.query_id, work.key.nonce, run, reason, done, retry_ms)
        self._hub.send(work.key.gateway, answer)

    async def check_health(self, target: str) -> None:
        """Read a target's health page."""
        read = HealthPageRead(target, False, "", False)
        with anyio.move_on_after(HEALTH_TIMEOUT_S):
            try:
                reply = await self._client.get(target, PATH_HEALTH)
                page = msgspec.json.decode(reply.body, type=HealthPage)
                leaving = page.draining or reply.draining
                read = HealthPageRead(target, True, page.boot or reply.boot, leaving)
                self._guard.record_boot(target, read.boot)
            except (TargetUnreachableError, TargetBrokenError, msgspec.DecodeError):
                pass
        self._put(read)

    async def open_connection(self, target: str) -> None:
        """Open one connection in advance by reading the health page over it."""
        with anyio.move_on_after(HEALTH_TIMEOUT_S):
            try:
                await self._client.get(target, PATH_HEALTH)
            except (TargetUnreachableError, TargetBrokenError):
                return


def _exchange_ended(
    work: Work, outcome: Outcome, service_s: float, reply: TargetReply | None, holds: list[int]
) -> ExchangeEnded:
    boot = reply.boot if reply is not None else ""
    leaving = reply is not None and reply.draining
    ended = RequestEnded(work.key, outcome, service_s, boot, leaving)
    body = reply.body if reply is not None and outcome is Outcome.OK else b""
    retry_s = max(MIN_RETRY_AFTER_S, reply.retry_after_s if reply is not None else 0.0)
    return ExchangeEnded(ended, work, body, holds, retry_s)
