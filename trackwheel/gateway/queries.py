"""Runs queries: sends the commands of each gather to the owners and feeds back their answers."""

import itertools
from collections import Counter, defaultdict
from typing import NamedTuple, Protocol

import anyio
import msgspec

from trackwheel.clock import steady_now
from trackwheel.dispatch.guard import query_fingerprint
from trackwheel.dispatch.models import Outcome, Ping, Pong, Scatter, SubAnswer, SubRequest, Withdraw
from trackwheel.files.models import Policy, ServiceSpec
from trackwheel.fleet.models import Member
from trackwheel.gateway.admission import Admission, QueryCompletion
from trackwheel.gateway.budget import RetryBudget
from trackwheel.gateway.errors import CallerError, Code, refusal
from trackwheel.gateway.gather import Gather
from trackwheel.gateway.models import (
    Answer,
    CancelSubrequest,
    GatherCommand,
    QueryAnswered,
    QueryFailed,
    QueryPlan,
    SendSubrequest,
    Snapshot,
    SubrequestResult,
)
from trackwheel.gateway.owner_watch import OwnerSilent, OwnerWatch, PingOwner
from trackwheel.gateway.target_selector import TargetSelector
from trackwheel.inbox import Inbox
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.quarantine.service import Quarantine
from trackwheel.targets.models import TargetAnswer
from trackwheel.telemetry.events import EventLog
from trackwheel.telemetry.explain import Trace, Traces
from trackwheel.telemetry.logs import Log

LOG = Log("gateway")


class OwnerLookup(Protocol):
    """Look up the owners of targets as known to this box."""

    def owner(self, service: ServiceSpec, target: str) -> Member | None:
        """Return the owner, None if there is none."""

    def pass_over(self, address: str) -> None:
        """Assign the targets of an unreachable box to others temporarily."""


class QueryResult(NamedTuple):
    """An answer with the id of its query."""

    query_id: str
    answer: Answer


class CoverageTooLowError(CallerError):
    """Error with the partial result of a query that did not reach its coverage."""

    def __init__(self, error: CallerError, result: QueryResult) -> None:
        super().__init__(error.problem, error.retry_after_s)
        self.result = result


class _SentSubrequest(NamedTuple):
    """The destination of a sub-request."""

    target: str
    owner: str
    instance: int


class _BoxStops(NamedTuple):
    """Event: the box answers what is in flight."""


class _RunningQuery:
    """A query in progress."""

    def __init__(self, gather: Gather, service: ServiceSpec, trace: Trace) -> None:
        self.gather = gather
        self.service = service
        self.trace = trace
        self.inbox: Inbox[SubrequestResult | _BoxStops] = Inbox()
        self.sent_by_nonce: dict[int, _SentSubrequest] = {}
        self.max_queue_delay_s = 0.0
        self.shed = False


class QueryRunner:
    """Run queries from admission to answer."""

    def __init__(
        self,
        hub: Hub,
        owners: OwnerLookup,
        selector: TargetSelector,
        traces: Traces,
        quarantine: Quarantine,
        log: EventLog,
    ) -> None:
        self._hub = hub
        self._quarantine = quarantine
        self._log = log
        self._owners = owners
        self._selector = selector
        self._traces = traces
        self._admission = Admission(seed=1)
        self._budget_by_service: dict[str, RetryBudget] = {}
        self._running_by_id: dict[str, _RunningQuery] = {}
        self._numbers = itertools.count(1)
        self._watch = OwnerWatch()
        self._watch_changed = anyio.Event()
        self.foreign_answers = 0
        hub.register(SubAnswer, self._handle_answer)
        hub.register(Pong, lambda sender, pong: self._watch.message_received(sender.address))
        hub.on_link_lost(self._link_lost)

    async def watch_owners(self) -> None:
        """Ping owners with outstanding sub-requests and bypass silent ones, until cancelled."""
        while True:
            wait_s = self._watch.next_wake() - steady_now()
            if wait_s > 0:
                with anyio.move_on_after(wait_s):
                    self._watch_changed = anyio.Event()
                    await self._watch_changed.wait()
                continue
            for command in self._watch.tick(steady_now()):
                match command:
                    case PingOwner(owner):
                        self._hub.send(owner, Ping(0))
                    case OwnerSilent(owner):
                        LOG.warning(
                            f"Owner {owner} does not answer pings. Reassigning its targets."
                        )
                        self._owners.pass_over(owner)
                        self._reassign(owner)

    @property
    def running(self) -> int:
        """Return the number of queries in progress."""
        return len(self._running_by_id)

    def budgets(self) -> dict[str, RetryBudget]:
        """Return the retry budgets by service."""
        return self._budget_by_service

    def window_sizes(self) -> dict[tuple[str, str], float]:
        """Return the size of each concurrency window by group and service."""
        return self._admission.sizes()

    def stop(self) -> None:
        """End all queries with what they have, because this box stops."""
        for running in self._running_by_id.values():
            running.inbox.put(_BoxStops())

    async def run(
        self, group: str, service: ServiceSpec, policy: Policy, query: str
    ) -> QueryResult:
        """Run one query and return its result; raise `CallerError` if it fails."""
        wait_s = self._quarantine.retry_after_s(query_fingerprint(service.name, query))
        if wait_s > 0.0:
            detail = "targets crashed while serving this query"
            raise refusal(Code.HELD, "admit", detail, "Retry later", wait_s)
        now = steady_now()
        query_id = f"{self._hub.identity.boot}-q{next(self._numbers)}"
        trace = self._traces.open(query_id, service.name, group)
        window = self._admission.window(group, service.name)
        if not window.try_acquire():
            trace.end("refused: window full")
            retry_s = self._admission.retry_after(window.expected_wait_s())
            detail = f"group `{group}` has {window.running} queries in progress on this box"
            raise refusal(Code.OVERLOADED, "admit", detail, "Retry later", retry_s)
        running = self._begin(query_id, group, service, policy, trace, now)
        try:
            end = await self._drive(running, query)
        finally:
            del self._running_by_id[query_id]
            if not running.gather.ended:
                self._cancel_all(running)
            deadline_s = policy.deadline_s
            completion = QueryCompletion(now, running.max_queue_delay_s, running.shed, deadline_s)
            window.release(completion, steady_now())
        return self._to_result(running, end)

    def _begin(
        self,
        query_id: str,
        group: str,
        service: ServiceSpec,
        policy: Policy,
        trace: Trace,
        now: float,
    ) -> _RunningQuery:
        targets = tuple(
            tuple(target.address for target in instance) for instance in service.targets_by_instance
        )
        hint = self._selector.last_version(service.name)
        plan = QueryPlan(query_id, service.name, group, policy, targets, hint)
        gather = Gather(plan, self._selector, self._budget(service), now)
        running = self._running_by_id[query_id] = _RunningQuery(gather, service, trace)
        return running

    def _budget(self, service: ServiceSpec) -> RetryBudget:
        budget = self._budget_by_service.get(service.name)
        if budget is None:
            budget = self._budget_by_service[service.name] = RetryBudget(service.extra_load)
        budget.ratio = service.extra_load
        return budget

    async def _drive(self, running: _RunningQuery, query: str) -> QueryAnswered | QueryFailed:
        """Feed events to the gather until it ends."""
        gather = running.gather
        commands = gather.start(steady_now())
        while True:
            end = self._apply(running, commands, query)
            if end is not None:
                return end
            events = await running.inbox.take(gather.next_wake())
            now = steady_now()
            commands = []
            for event in events:
                if isinstance(event, _BoxStops):
                    commands += gather.stop(now)
                else:
                    commands += gather.handle_result(event, now)
            commands += gather.tick(now)

    def _apply(
        self, running: _RunningQuery, commands: list[GatherCommand], query: str
    ) -> QueryAnswered | QueryFailed | None:
        end: QueryAnswered | QueryFailed | None = None
        subrequests_by_owner_and_version: defaultdict[tuple[str, int | None], list[SubRequest]]
        subrequests_by_owner_and_version = defaultdict(list)
        cancelled_by_owner: defaultdict[str, list[SubRequest]] = defaultdict(list)
        for command in commands:
            match command:
                case SendSubrequest():
                    owner = self._record_send(running, command)
                    subrequest = SubRequest(command.nonce, command.target, command.last_resort)
                    subrequests_by_owner_and_version[owner, command.version].append(subrequest)
                case CancelSubrequest(nonce, target):
                    sent = running.sent_by_nonce.get(nonce)
                    if sent is not None and sent.owner:
                        cancelled_by_owner[sent.owner].append(SubRequest(nonce, target, False))
                case QueryAnswered() | QueryFailed():
                    end = command
        for owner, subrequests in cancelled_by_owner.items():
            self._hub.send(owner, Withdraw(running.gather.plan.query_id, subrequests))
        for (owner, version), subrequests in subrequests_by_owner_and_version.items():
            self._scatter(running, owner, version, subrequests, query)
        return end

    def _record_send(self, running: _RunningQuery, command: SendSubrequest) -> str:
        owner = self._owner_address(running.service, command.target)
        sent = _SentSubrequest(command.target, owner, command.instance)
        running.sent_by_nonce[command.nonce] = sent
        detail = (
            command.reason if command.version is None else f"{command.reason} v{command.version}"
        )
        running.trace.note("ask", command.instance, command.target, owner, detail)
        return owner

    def _scatter(
        self,
        running: _RunningQuery,
        owner: str,
        version: int | None,
        subrequests: list[SubRequest],
        query: str,
    ) -> None:
        """Send all sub-requests of a query to one owner in one message."""
        plan = running.gather.plan
        deadline_ms = (running.gather.hard_deadline - steady_now()) * 1000
        message = Scatter(
            plan.query_id, plan.service, plan.group, deadline_ms, version, query, subrequests
        )
        if owner and self._hub.send(owner, message):
            if owner != self._hub.identity.address:
                self._watch.request_sent(owner, steady_now())
                self._watch_changed.set()
            return
        for subrequest in subrequests:
            running.inbox.put(_no_owner(subrequest.nonce))

    def _handle_answer(self, sender: PeerIdentity, answer: SubAnswer) -> None:
        """Dispatch an answer to its query; drop and count answers that match none."""
        self._watch.message_received(sender.address)
        running = self._running_by_id.get(answer.query_id)
        sent = running.sent_by_nonce.get(answer.nonce) if running is not None else None
        if running is None or sent is None or sent.owner != sender.address:
            self.foreign_answers += 1
            return
        event = self._decode(answer)
        self._selector.record_queue_delay(
            sent.target, answer.delay_ms / 1000, answer.service_ms / 1000, steady_now()
        )
        running.max_queue_delay_s = max(running.max_queue_delay_s, answer.delay_ms / 1000)
        running.shed = running.shed or event.outcome in (Outcome.SHED, Outcome.LATE)
        detail = f"{event.outcome} {answer.service_ms:.1f} ms"
        running.trace.note("end", sent.instance, sent.target, sent.owner, detail)
        running.inbox.put(event)

    def _decode(self, answer: SubAnswer) -> SubrequestResult:
        """Decode an answer; one that belongs to another sub-request counts as failed."""
        retry_s = answer.retry_after_ms / 1000
        held_versions = tuple(answer.holds)
        if answer.outcome is not Outcome.OK:
            return SubrequestResult(answer.nonce, answer.outcome, None, {}, held_versions, retry_s)
        try:
            read = msgspec.json.decode(answer.body, type=TargetAnswer)
        except msgspec.DecodeError:
            return SubrequestResult(answer.nonce, Outcome.FAILED, None, {}, (), retry_s)
        own = read.nonce == f"{answer.query_id}.{answer.nonce}" and read.end
        if not own or read.map_size < 1:
            self.foreign_answers += 1
            return SubrequestResult(answer.nonce, Outcome.FAILED, None, {}, (), retry_s)
        snapshot = Snapshot(read.version, read.map_size)
        return SubrequestResult(answer.nonce, Outcome.OK, snapshot, read.shards, (), retry_s)

    def _reassign(self, silent: str) -> None:
        """Fail sub-requests at a silent owner if their targets now have another owner."""
        for running in self._running_by_id.values():
            for nonce, sent in running.sent_by_nonce.items():
                if sent.owner != silent:
                    continue
                if self._owner_address(running.service, sent.target) != silent:
                    running.inbox.put(_no_owner(nonce))

    def _owner_address(self, service: ServiceSpec, target: str) -> str:
        member = self._owners.owner(service, target)
        return member.address if member is not None else ""

    def _link_lost(self, address: str) -> None:
        """Fail all sub-requests at an unreachable owner."""
        for running in self._running_by_id.values():
            for nonce, sent in running.sent_by_nonce.items():
                if sent.owner == address:
                    running.inbox.put(_no_owner(nonce))

    def _cancel_all(self, running: _RunningQuery) -> None:
        """Cancel all sub-requests of a query whose caller has disconnected."""
        query_id = running.gather.plan.query_id
        running.trace.end("caller gone")
        running.gather.cancel()
        for nonce, sent in running.sent_by_nonce.items():
            if sent.owner:
                cancel = Withdraw(query_id, [SubRequest(nonce, sent.target, False)])
                self._hub.send(sent.owner, cancel)

    def _log_failure(self, running: _RunningQuery, end: QueryFailed) -> None:
        budget = self._budget(running.service)
        trace = running.trace
        self._log.write(
            "query_given_up",
            id=running.gather.plan.query_id,
            service=running.service.name,
            took_ms=round(trace.took_ms, 1),
            overloaded=end.overloaded,
            lacking=_count_reasons([missing.reason for missing in end.answer.missing_shards]),
            requests=len(running.sent_by_nonce),
            budget_left=round(budget.balance, 1),
        )

    def _to_result(self, running: _RunningQuery, end: QueryAnswered | QueryFailed) -> QueryResult:
        result = QueryResult(running.gather.plan.query_id, end.answer)
        if isinstance(end, QueryAnswered):
            running.trace.end("whole" if end.answer.complete else "partial")
            return result
        running.trace.end("given up")
        self._log_failure(running, end)
        code = Code.OVERLOADED if end.overloaded else Code.COVERAGE_TOO_LOW
        missing_shards = len(end.answer.missing_shards)
        detail = f"{missing_shards} shards were not answered in time"
        retry_s = self._admission.retry_after(end.retry_after_s)
        error = refusal(code, "gather", detail, "Retry later", retry_s)
        raise CoverageTooLowError(error, result)


def _count_reasons(reasons: list[str]) -> str:
    return ", ".join(f"{reason} {count}" for reason, count in Counter(reasons).items())


def _no_owner(nonce: int) -> SubrequestResult:
    return SubrequestResult(nonce, Outcome.NO_OWNER, None, {}, (), 0.0)
