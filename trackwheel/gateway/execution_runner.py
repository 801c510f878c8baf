"""Runs at-most-once requests on the box that issued their ids."""

import itertools
import secrets
from typing import NamedTuple

import anyio
import msgspec
import xxhash

from trackwheel.clock import steady_now
from trackwheel.dispatch.const import EXECUTE_TIMEOUT_S
from trackwheel.dispatch.models import (
    ExecuteAnswer,
    ExecuteAsk,
    PermitReply,
    PermitRequest,
    RunOutcome,
    SubRequest,
    Withdraw,
)
from trackwheel.files.models import ServiceSpec
from trackwheel.gateway.admission import Admission
from trackwheel.gateway.errors import CallerError, Code, refusal
from trackwheel.gateway.execution import (
    CancelExecution,
    EnqueueExecution,
    Execution,
    ExecutionCommand,
    ExecutionPlan,
    SendPermitReply,
    Settled,
)
from trackwheel.gateway.ledger import Ledger, Verdict
from trackwheel.gateway.queries import OwnerLookup
from trackwheel.gateway.target_selector import TargetSelector
from trackwheel.inbox import Inbox
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.telemetry.explain import Trace, Traces

LATE_ANSWER_TIMEOUT_S = EXECUTE_TIMEOUT_S + 5.0
"""How long a settled attempt still accepts the answer of its target."""


class ExecutionRequest(NamedTuple):
    """An at-most-once request of a caller (deadline in seconds)."""

    request_id: str
    group: str
    service: ServiceSpec
    routing_key: str
    body: str
    deadline_s: float


class ExecutionResult(NamedTuple):
    """The known outcome of a request."""

    request_id: str
    outcome: RunOutcome
    reason: str
    body: bytes
    retry_after_s: float


class _OwnerLost(NamedTuple):
    """Event: an owner is unreachable."""

    owner: str


class _AttemptSettled(NamedTuple):
    """Event: a message has settled the attempt."""


class _Attempt:
    """An attempt that is in progress or still accepts a late answer."""

    def __init__(self, request: ExecutionRequest, execution: Execution, trace: Trace) -> None:
        self.request = request
        self.execution = execution
        self.trace = trace
        self.owner_by_nonce: dict[int, str] = {}
        self.inbox: Inbox[_OwnerLost | _AttemptSettled] = Inbox()
        self.settled: ExecutionResult | None = None
        self.changed = anyio.Event()


class ExecutionRunner:
    """Issue ids, run each request at most once and record its outcome."""

    def __init__(
        self, hub: Hub, owners: OwnerLookup, selector: TargetSelector, traces: Traces
    ) -> None:
        self._hub = hub
        self._owners = owners
        self._selector = selector
        self._traces = traces
        self._ledger = Ledger(hub.identity.boot, secrets.token_bytes(32))
        self._admission = Admission(seed=2)
        self._numbers = itertools.count(1)
        self._attempt_by_query_id: dict[str, _Attempt] = {}
        self._attempt_by_request_id: dict[str, _Attempt] = {}
        self._late_until_by_query_id: dict[str, float] = {}
        self.count_by_outcome: dict[str, int] = {}
        hub.register(PermitRequest, self._handle_permit_request)
        hub.register(ExecuteAnswer, self._handle_answer)
        hub.on_link_lost(self._link_lost)

    @property
    def running(self) -> int:
        """Return the number of attempts in progress."""
        return len(self._attempt_by_request_id)

    def issue(self, group: str, count: int) -> list[str]:
        """Return new ids for a group."""
        return self._ledger.issue(group, count, steady_now())

    def stop(self) -> None:
        """Settle all attempts as at their deadline, because this box stops."""
        for attempt in list(self._attempt_by_request_id.values()):
            self._apply(attempt, attempt.execution.expire())

    async def run(self, request: ExecutionRequest) -> ExecutionResult:
        """Run or join a request with an id of this box; raise `CallerError` if it is refused."""
        content = msgspec.json.encode([request.service.name, request.routing_key, request.body])
        now = steady_now()
        decision = self._ledger.begin(request.request_id, request.group, content, now)
        match decision.verdict:
            case Verdict.START:
                attempt = self._start_attempt(request, decision.attempt, now)
                return await self._drive(attempt)
            case Verdict.JOIN:
                joined = self._attempt_by_request_id.get(request.request_id)
                if joined is not None:
                    return await self._join(joined, request)
            case Verdict.FINAL:
                outcome, body = decision.outcome, decision.body
                return ExecutionResult(request.request_id, outcome, "repeated", body, 0.0)
        return _result_for_verdict(decision.verdict, request.request_id)

    def _start_attempt(self, request: ExecutionRequest, number: int, now: float) -> _Attempt:
        query_id = f"{self._hub.identity.boot}-x{next(self._numbers)}"
        instances = request.service.targets_by_instance
        instance_index = xxhash.xxh64_intdigest(request.routing_key.encode()) % len(instances)
        targets = tuple(target.address for target in instances[instance_index])
        deadline = now + request.deadline_s
        plan = ExecutionPlan(query_id, request.request_id, number, targets, deadline)
        trace = self._traces.open(request.request_id, request.service.name, request.group)
        attempt = _Attempt(request, Execution(plan, self._ledger, self._selector), trace)
        self._evict_late(now)
        self._attempt_by_query_id[query_id] = attempt
        self._attempt_by_request_id[request.request_id] = attempt
        return attempt

    async def _drive(self, attempt: _Attempt) -> ExecutionResult:
        """Drive an attempt until it is settled, even if the caller disconnects."""
        with anyio.CancelScope(shield=True):
            self._apply(attempt, attempt.execution.start(steady_now()))
            while attempt.settled is None:
                events = await attempt.inbox.take(attempt.execution.plan.deadline)
                for event in events:
                    if isinstance(event, _OwnerLost):
                        self._handle_lost_owner(attempt, event.owner)
                if not events:
                    self._apply(attempt, attempt.execution.expire())
        assert attempt.settled is not None, "the loop ends only when the attempt is settled"
        return attempt.settled

    async def _join(self, attempt: _Attempt, request: ExecutionRequest) -> ExecutionResult:
        """Wait for an attempt that another call with the same id drives."""
        with anyio.move_on_after(request.deadline_s):
            while attempt.settled is None:
                await attempt.changed.wait()
        if attempt.settled is not None:
            return attempt.settled
        return ExecutionResult(request.request_id, RunOutcome.UNKNOWN, "under_way", b"", 0.1)

    def _apply(self, attempt: _Attempt, commands: list[ExecutionCommand]) -> None:
        execution = attempt.execution
        query_id = execution.plan.query_id
        for command in commands:
            match command:
                case EnqueueExecution(nonce, target):
                    self._enqueue(attempt, nonce, target)
                case CancelExecution(nonce, target):
                    owner = attempt.owner_by_nonce.get(nonce, "")
                    if owner:
                        self._hub.send(
                            owner, Withdraw(query_id, [SubRequest(nonce, target, False)])
                        )
                case SendPermitReply(nonce, target, granted):
                    owner = attempt.owner_by_nonce.get(nonce, "")
                    attempt.trace.note("permit", -1, target, owner, str(granted))
                    if owner:
                        self._hub.send(owner, PermitReply(query_id, nonce, target, granted))
                case Settled():
                    self._settle(attempt, command)

    def _enqueue(self, attempt: _Attempt, nonce: int, target: str) -> None:
        request, plan = attempt.request, attempt.execution.plan
        member = self._owners.owner(request.service, target)
        owner = member.address if member is not None else ""
        attempt.owner_by_nonce[nonce] = owner
        attempt.trace.note("ask", -1, target, owner)
        message = ExecuteAsk(
            query_id=plan.query_id,
            nonce=nonce,
            request_id=request.request_id,
            gateway_boot=self._hub.identity.boot,
            service=request.service.name,
            group=request.group,
            target=target,
            deadline_ms=(plan.deadline - steady_now()) * 1000,
            body=request.body,
        )
        if not owner or not self._hub.send(owner, message):
            attempt.inbox.put(_OwnerLost(owner))

    def _settle(self, attempt: _Attempt, settled: Settled) -> None:
        request = attempt.request
        outcome = settled.outcome
        self.count_by_outcome[outcome] = self.count_by_outcome.get(outcome, 0) + 1
        attempt.trace.end(f"{outcome} {settled.reason}")
        retry_s = 0.0
        if outcome is RunOutcome.NOT_RUN:
            retry_s = self._admission.retry_after(settled.retry_after_s)
        attempt.settled = ExecutionResult(
            request.request_id, outcome, settled.reason, settled.body, retry_s
        )
        del self._attempt_by_request_id[request.request_id]
        query_id = attempt.execution.plan.query_id
        self._late_until_by_query_id[query_id] = steady_now() + LATE_ANSWER_TIMEOUT_S
        attempt.changed.set()
        attempt.inbox.put(_AttemptSettled())

    def _evict_late(self, now: float) -> None:
        """Drop settled attempts that no longer accept late answers, oldest first."""
        while self._late_until_by_query_id:
            query_id, until = next(iter(self._late_until_by_query_id.items()))
            if until > now:
                return
            del self._late_until_by_query_id[query_id]
            self._attempt_by_query_id.pop(query_id, None)

    def _handle_permit_request(self, sender: PeerIdentity, request: PermitRequest) -> None:
        """Reply to an owner; deny requests for another boot or for unknown sub-requests."""
        attempt = self._attempt_by_query_id.get(request.query_id)
        owner = attempt.owner_by_nonce.get(request.nonce) if attempt is not None else None
        foreign = request.gateway_boot != self._hub.identity.boot or owner != sender.address
        if attempt is None or foreign:
            denied = PermitReply(request.query_id, request.nonce, request.target, False)
            self._hub.send(sender.address, denied)
            return
        self._apply(attempt, attempt.execution.handle_permit_request(request))

    def _handle_answer(self, sender: PeerIdentity, answer: ExecuteAnswer) -> None:
        attempt = self._attempt_by_query_id.get(answer.query_id)
        if attempt is None or attempt.owner_by_nonce.get(answer.nonce) != sender.address:
            return
        attempt.trace.note("end", -1, "", sender.address, f"{answer.outcome} {answer.reason}")
        self._apply(attempt, attempt.execution.handle_answer(answer, steady_now()))

    def _link_lost(self, address: str) -> None:
        for attempt in self._attempt_by_request_id.values():
            attempt.inbox.put(_OwnerLost(address))

    def _handle_lost_owner(self, attempt: _Attempt, owner: str) -> None:
        execution = attempt.execution
        nonces = attempt.owner_by_nonce
        current = nonces[max(nonces)] if nonces else ""
        if attempt.settled is None and owner == current:
            self._apply(attempt, execution.handle_owner_lost(steady_now()))


def _result_for_verdict(verdict: Verdict, request_id: str) -> ExecutionResult:
    """Return the result, or raise the error, for a request that is not started."""
    remedy = "Get a new id with POST /v1/ids and use it for this request only"
    if verdict is Verdict.INVALID:
        raise refusal(Code.ID_INVALID, "begin", "the id was not issued to this group", remedy)
    if verdict is Verdict.REUSED:
        detail = "the id has been used for another request"
        raise refusal(Code.ID_REUSED, "begin", detail, remedy)
    if verdict is Verdict.FULL:
        detail = "the ledger has no room for another request"
        raise refusal(Code.OVERLOADED, "begin", detail, "Retry later", 5.0)
    return ExecutionResult(request_id, RunOutcome.UNKNOWN, verdict, b"", 0.0)


def execution_error(result: ExecutionResult) -> CallerError:
    """Return the error for an outcome other than done."""
    if result.outcome is RunOutcome.NOT_RUN:
        detail = f"the request was not run: {result.reason}"
        remedy = "Retry with the same id"
        return refusal(Code.NOT_RUN, "execute", detail, remedy, result.retry_after_s)
    detail = f"it is not known whether the request ran: {result.reason}"
    remedy = "Retry with the same id; the request is not run twice"
    return refusal(Code.OUTCOME_UNKNOWN, "execute", detail, remedy, result.retry_after_s)
