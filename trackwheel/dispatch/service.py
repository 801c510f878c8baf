"""The task that owns the dispatch decisions: it takes work from gateways and answers them."""

from collections.abc import Callable

import anyio
import anyio.abc

from trackwheel.clock import steady_now
from trackwheel.dispatch.const import LEAST_RETRY_AFTER_S
from trackwheel.dispatch.events import (
    Event,
    Exchanged,
    FromGateway,
    GatewayLost,
    HealthRead,
    InForceChanged,
    NotesLearnt,
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
    Outcome,
    PermitReply,
    PermitRequest,
    PermitUnused,
    Ping,
    Pong,
    Refuse,
    ReportLeaving,
    RunOutcome,
    Scatter,
    SendExecute,
    SendQuery,
    SubAnswer,
    Warm,
    Withdraw,
    Work,
    WorkKey,
)
from trackwheel.dispatch.owner import LineState, Owner
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
    """Run the owner's decisions against real targets."""

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
            hub.register(message_type, self._from_gateway)
        hub.register(Ping, self._answer_ping)
        hub.on_link_lost(lambda address: self._inbox.put(GatewayLost(address)))

    @property
    def sent_by_outcome(self) -> dict[str, int]:
        """Return how many sub-requests to targets ended in which way."""
        return self._exchanges.sent_by_outcome

    @property
    def busy(self) -> bool:
        """Return whether any work waits or runs."""
        return self._owner.busy()

    def states(self) -> list[LineState]:
        """Return the state of every target that is in use."""
        return self._owner.states(steady_now())

    def set_in_force(self, in_force: InForce) -> None:
        """Take the files in force."""
        self._inbox.put(InForceChanged(in_force))

    def apply_leaving_report(self, notes: tuple[LeavingTarget, ...]) -> None:
        """Take reports of other boxes that targets are leaving."""
        self._inbox.put(NotesLearnt(notes))

    async def run(self) -> None:
        """Decide and act until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                events = await self._inbox.take(self._owner.next_wake())
                commands = self._decide(events)
                self._perform(commands, tasks)

    def _answer_ping(self, sender: PeerIdentity, ping: Ping) -> None:
        self._hub.send(sender.address, Pong(ping.sequence))

    def _from_gateway(
        self, sender: PeerIdentity, message: Scatter | ExecuteAsk | Withdraw | PermitReply
    ) -> None:
        self._inbox.put(FromGateway(sender.address, message))

    def _decide(self, events: list[Event]) -> list[DispatchCommand]:
        now = steady_now()
        commands: list[DispatchCommand] = []
        # All events are handled before any command is performed, so that a box that wakes
        # from a freeze does not send what its gateway took back meanwhile.
        for event in events:
            commands += self._handle(event, now)
        return commands + self._owner.tick(now)

    def _handle(self, event: Event, now: float) -> list[DispatchCommand]:
        match event:
            case FromGateway(gateway, message):
                return self._handle_gateway(gateway, message, now)
            case Exchanged():
                commands = self._owner.ended(event.ended, now)
                self._answer(event, now)
                return commands
            case HealthRead():
                return self._owner.health(*event, now)
            case GatewayLost(gateway):
                return self._owner.gateway_lost(gateway, now)
            case InForceChanged(in_force):
                return self._owner.set_in_force(in_force)
            case NotesLearnt(notes):
                return self._owner.apply_leaving_report(notes)

    def _handle_gateway(
        self,
        gateway: str,
        message: Scatter | ExecuteAsk | Withdraw | PermitReply,
        now: float,
    ) -> list[DispatchCommand]:
        match message:
            case Scatter():
                if self._refuse_held_scatter(gateway, message):
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

    def _refuse_held_scatter(self, gateway: str, message: Scatter) -> bool:
        """Answer a query at once that is kept from targets; return whether it is."""
        wait_s = self._guard.retry_after_s(query_fingerprint(message.service, message.query))
        if wait_s <= 0.0:
            return False
        for ask in message.asks:
            answer = SubAnswer(
                message.query_id, ask.nonce, Outcome.HELD, b"", [], 0.0, 0.0, wait_s * 1000
            )
            self._hub.send(gateway, answer)
        return True

    def _refuse_held_execute(self, gateway: str, message: ExecuteAsk) -> bool:
        """The same for a request that may run only once, before it asks for its permit."""
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
                case PermitUnused(key):
                    self._return_permit(key)
                case CheckHealth(target):
                    tasks.start_soon(self._exchanges.check_health, target)
                case Warm(target, connections):
                    for _ in range(connections):
                        tasks.start_soon(self._exchanges.warm, target)
                case ReportLeaving(target, boot):
                    LOG.info(f"Target {target} is leaving and gets no new work.")
                    self._report_leaving(LeavingTarget(target, boot))

    def _ask_permit(self, work: Work) -> None:
        key = work.key
        request = PermitRequest(
            key.query_id, key.nonce, key.target, work.request_id, work.gateway_boot
        )
        self._hub.send(key.gateway, request)

    def _return_permit(self, key: WorkKey) -> None:
        reason, retry_ms = "permit_late", LEAST_RETRY_AFTER_S * 1000
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

    def _answer(self, event: Exchanged, now: float) -> None:
        """Send the end of a sub-request to its gateway."""
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
    """Return the age of what was learnt (seconds), None when nothing was."""
    return round(now - learnt_at, 3) if learnt_at > 0.0 else None
