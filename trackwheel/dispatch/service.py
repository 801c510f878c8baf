"""The dispatch task: receives work from gateways, sends it to targets and returns the answers."""

from collections.abc import Callable

import anyio
import anyio.abc

from trackwheel.clock import steady_now
from trackwheel.dispatch.const import MIN_RETRY_AFTER_S
from trackwheel.dispatch.events import (
    Event,
    ExchangeEnded,
    GatewayLost,
    GatewayMessage,
    HealthPageRead,
    InForceChanged,
    LeavingReported,
)
from trackwheel.dispatch.exchange import TargetExchanges
from trackwheel.dispatch.guard import SendGuard, execute_fingerprint, query_fingerprint
from trackwheel.dispatch.models import (
    AskPermit,
    CancelSend,
    CheckHealth,
    DispatchCommand,
    ExecuteAnswer,
    ExecuteAsk,
    OpenConnections,
    Outcome,
    PermitReply,
    PermitRequest,
    Ping,
    Pong,
    Refuse,
    ReportLeaving,
    ReturnPermit,
    RunOutcome,
    Scatter,
    SendExecute,
    SendQuery,
    SubAnswer,
    Withdraw,
    Work,
    WorkKey,
)
from trackwheel.dispatch.owner import Owner, TargetState
from trackwheel.files.models import InForce
from trackwheel.fleet.models import LeavingTarget
from trackwheel.inbox import Inbox
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.targets.models import TargetClient
from trackwheel.telemetry.events import EventLog
from trackwheel.telemetry.logs import Log
from trackwheel.units import MILLISECONDS

LOG = Log("dispatch")


class DispatchService:
    """Connect the owner to the gateways and the targets."""

    def __init__(
        self,
        hub: Hub,
        client: TargetClient,
        report_leaving: Callable[[LeavingTarget], None],
        guard: SendGuard,
        log: EventLog,
    ) -> None:
        self._hub = hub
        self._guard = guard
        self._log = log
        self._report_leaving = report_leaving
        self._owner = Owner()
        self._inbox: Inbox[Event] = Inbox()
        self._exchanges = TargetExchanges(hub, client, guard, self._inbox.put)
        self.refused_by_outcome: dict[str, int] = {}
        for message_type in (Scatter, ExecuteAsk, Withdraw, PermitReply):
            hub.register(message_type, self._enqueue_message)
        hub.register(Ping, self._answer_ping)
        hub.on_link_lost(lambda address: self._inbox.put(GatewayLost(address)))

    @property
    def sent_by_outcome(self) -> dict[str, int]:
        """Return the number of sub-requests by outcome."""
        return self._exchanges.sent_by_outcome

    @property
    def busy(self) -> bool:
        """Return whether any work is queued or running."""
        return self._owner.busy()

    def states(self) -> list[TargetState]:
        """Return the state of every target in use."""
        return self._owner.states(steady_now())

    def set_in_force(self, in_force: InForce) -> None:
        """Apply the active configuration."""
        self._inbox.put(InForceChanged(in_force))

    def apply_leaving_report(self, reports: tuple[LeavingTarget, ...]) -> None:
        """Apply reports of other boxes that targets are leaving."""
        self._inbox.put(LeavingReported(reports))

    async def run(self) -> None:
        """Process events until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                events = await self._inbox.take(self._owner.next_wake())
                commands = self._decide(events)
                self._perform(commands, tasks)

    def _answer_ping(self, sender: PeerIdentity, ping: Ping) -> None:
        self._hub.send(sender.address, Pong(ping.sequence))

    def _enqueue_message(
        self, sender: PeerIdentity, message: Scatter | ExecuteAsk | Withdraw | PermitReply
    ) -> None:
        self._inbox.put(GatewayMessage(sender.address, message))

    def _decide(self, events: list[Event]) -> list[DispatchCommand]:
        now = steady_now()
        commands: list[DispatchCommand] = []
        # All events are handled before any command is performed. Otherwise a box that resumes
        # after a freeze would send work that its gateway has withdrawn in the meantime.
        for event in events:
            commands += self._handle(event, now)
        return commands + self._owner.tick(now)

    def _handle(self, event: Event, now: float) -> list[DispatchCommand]:
        match event:
            case GatewayMessage(gateway, message):
                return self._handle_message(gateway, message, now)
            case ExchangeEnded():
                commands = self._owner.ended(event.ended, now)
                self._answer(event, now)
                return commands
            case HealthPageRead():
                return self._owner.apply_health_page(*event, now)
            case GatewayLost(gateway):
                return self._owner.gateway_lost(gateway, now)
            case InForceChanged(in_force):
                return self._owner.set_in_force(in_force)
            case LeavingReported(reports):
                return self._owner.apply_leaving_report(reports)

    def _handle_message(
        self,
        gateway: str,
        message: Scatter | ExecuteAsk | Withdraw | PermitReply,
        now: float,
    ) -> list[DispatchCommand]:
        match message:
            case Scatter():
                if self._refuse_held_query(gateway, message):
                    return []
                return self._owner.scatter(gateway, message, now)
            case ExecuteAsk():
                if self._refuse_held_execute(gateway, message):
                    return []
                return self._owner.execute(gateway, message, now)
            case Withdraw():
                return self._owner.withdraw(gateway, message, now)
            case PermitReply():
                key = WorkKey(gateway, message.query_id, message.nonce, message.target)
                return self._owner.permit(key, message.granted, now)

    def _refuse_held_query(self, gateway: str, message: Scatter) -> bool:
        """Answer a query that the quarantine holds; return whether it is held."""
        wait_s = self._guard.retry_after_s(query_fingerprint(message.service, message.query))
        if wait_s <= 0.0:
            return False
        for sub_request in message.sub_requests:
            answer = SubAnswer(
                message.query_id, sub_request.nonce, Outcome.HELD, b"", [], 0.0, 0.0, wait_s * 1000
            )
            self._hub.send(gateway, answer)
        return True

    def _refuse_held_execute(self, gateway: str, message: ExecuteAsk) -> bool:
        """Answer a held request that may run only once, before a permit is requested for it."""
        wait_s = self._guard.retry_after_s(execute_fingerprint(message.service, message.body))
        if wait_s <= 0.0:
            return False
        answer = ExecuteAnswer(
            message.query_id,
            message.nonce,
            RunOutcome.NOT_RUN,
            Outcome.HELD,
            b"",
            wait_s * 1000,
        )
        self._hub.send(gateway, answer)
        return True

    def _perform(self, commands: list[DispatchCommand], tasks: anyio.abc.TaskGroup) -> None:
        for command in commands:
            match command:
                case SendQuery(work):
                    self._exchanges.start_query(work, tasks)
                case SendExecute(work):
                    tasks.start_soon(self._exchanges.execute, work)
                case AskPermit(work):
                    self._ask_permit(work)
                case CancelSend(key):
                    self._exchanges.cancel(key)
                case Refuse():
                    self._refuse(command)
                case ReturnPermit(key):
                    self._return_permit(key)
                case CheckHealth(target):
                    tasks.start_soon(self._exchanges.check_health, target)
                case OpenConnections(target, connections):
                    for _ in range(connections):
                        tasks.start_soon(self._exchanges.open_connection, target)
                case ReportLeaving(target, boot):
                    LOG.info(f"Target {target} is leaving; no new work is sent to it")
                    self._report_leaving(LeavingTarget(target, boot))

    def _ask_permit(self, work: Work) -> None:
        key = work.key
        request = PermitRequest(
            key.query_id, key.nonce, key.target, work.request_id, work.gateway_boot
        )
        self._hub.send(key.gateway, request)

    def _return_permit(self, key: WorkKey) -> None:
        reason, retry_ms = "permit_late", MIN_RETRY_AFTER_S * 1000
        answer = ExecuteAnswer(key.query_id, key.nonce, RunOutcome.NOT_RUN, reason, b"", retry_ms)
        self._hub.send(key.gateway, answer)

    def _refuse(self, command: Refuse) -> None:
        work = command.work
        outcome = command.outcome
        self.refused_by_outcome[outcome] = self.refused_by_outcome.get(outcome, 0) + 1
        self._log_refusal(command)
        retry_ms = command.retry_after_s * 1000
        query_id, nonce = work.key.query_id, work.key.nonce
        answer: ExecuteAnswer | SubAnswer
        if work.once:
            answer = ExecuteAnswer(query_id, nonce, RunOutcome.NOT_RUN, outcome, b"", retry_ms)
        else:
            delay_ms = command.delay_s * 1000
            answer = SubAnswer(query_id, nonce, outcome, b"", [], delay_ms, 0.0, retry_ms)
        self._hub.send(work.key.gateway, answer)

    def _log_refusal(self, command: Refuse) -> None:
        work = command.work
        estimate = self._owner.estimate(work.target)
        if estimate is None:
            return
        now = steady_now()
        self._log.write(
            "subrequest_refused",
            id=work.key.query_id,
            target=work.target,
            outcome=command.outcome,
            left_ms=round((work.deadline - now) * MILLISECONDS, 1),
            delay_ms=round(command.delay_s * MILLISECONDS, 1),
            mean_ms=round(estimate.mean_s * MILLISECONDS, 1),
            likely_ms=round(estimate.likely_s * MILLISECONDS, 1),
            learnt_age_s=_age_s(estimate.learnt_at, now),
            running=estimate.running,
            waiting=estimate.waiting,
            limit=estimate.limit,
        )

    def _answer(self, event: ExchangeEnded, now: float) -> None:
        """Send the outcome of a sub-request to its gateway."""
        work = event.work
        if work.once:
            return
        answer = SubAnswer(
            query_id=work.key.query_id,
            nonce=work.key.nonce,
            outcome=event.ended.outcome,
            body=event.body,
            holds=event.holds,
            delay_ms=self._owner.delay(work, now) * 1000,
            service_ms=event.ended.service_s * 1000,
            retry_after_ms=event.retry_after_s * 1000,
        )
        self._hub.send(work.key.gateway, answer)


def _age_s(learnt_at: float, now: float) -> float | None:
    """Return the age of the last measurement (seconds), None if there is none."""
    return round(now - learnt_at, 3) if learnt_at > 0.0 else None
