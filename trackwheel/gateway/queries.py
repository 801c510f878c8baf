"""The task of each query: it carries the gather's commands to owners and brings back answers."""

import itertools
from collections import Counter, defaultdict
from typing import NamedTuple, Protocol

import anyio
import msgspec

from trackwheel.clock import steady_now
from trackwheel.dispatch.guard import query_fingerprint
from trackwheel.dispatch.models import Ask, Outcome, Ping, Pong, Scatter, SubAnswer, Withdraw
from trackwheel.files.models import Policy, ServiceSpec
from trackwheel.fleet.models import Member
from trackwheel.gateway.admission import Admission, QueryEnd
from trackwheel.gateway.board import Board
from trackwheel.gateway.budget import Budget
from trackwheel.gateway.errors import CallerError, Code, refuse
from trackwheel.gateway.gather import Gather
from trackwheel.gateway.models import (
    Answer,
    Answered,
    AskTarget,
    GatherCommand,
    GivenUp,
    Plan,
    ShardAnswer,
    Snapshot,
    WithdrawAsk,
)
from trackwheel.gateway.owner_watch import OwnerSilent, OwnerWatch, PingOwner
from trackwheel.inbox import Inbox
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.quarantine.service import Quarantine
from trackwheel.targets.models import TargetAnswer
from trackwheel.telemetry.events import EventLog
from trackwheel.telemetry.explain import Trace, Traces
from trackwheel.telemetry.logs import Log

LOG = Log("gateway")


class Owners(Protocol):
    """Say which box owns a target, as seen from this one."""

    def owner(self, service: ServiceSpec, target: str) -> Member | None:
        """Return the owner, None when nobody is."""

    def pass_over(self, address: str) -> None:
        """Give an unreachable box's targets to others for a while."""


class QueryResult(NamedTuple):
    """Hold an answer with the query's id."""

    query_id: str
    answer: Answer


class CoverageTooLowError(CallerError):
    """Carry what there was when a query was given up."""

    def __init__(self, error: CallerError, result: QueryResult) -> None:
        super().__init__(error.problem, error.retry_after_s)
        self.result = result


class _Asked(NamedTuple):
    """Remember where an ask went."""

    target: str
    owner: str
    instance: int


class _Running:
    """Hold one query that is under way."""

    def __init__(self, gather: Gather, service: ServiceSpec, trace: Trace) -> None:
        self.gather = gather
        self.service = service
        self.trace = trace
        self.inbox: Inbox[ShardAnswer] = Inbox()
        self.asked_by_nonce: dict[int, _Asked] = {}
        self.longest_delay_s = 0.0
        self.shed = False


class QueryRunner:
    """Run queries from admission to answer."""

    def __init__(
        self,
        hub: Hub,
        owners: Owners,
        board: Board,
        traces: Traces,
        quarantine: Quarantine,
        log: EventLog,
    ) -> None:
        self._hub = hub
        self._quarantine = quarantine
        self._log = log
        self._owners = owners
        self._board = board
        self._traces = traces
        self._admission = Admission(seed=1)
        self._budget_by_service: dict[str, Budget] = {}
        self._running_by_id: dict[str, _Running] = {}
        self._numbers = itertools.count(1)
        self._watch = OwnerWatch()
        self._watch_changed = anyio.Event()
        self.foreign_answers = 0
        hub.register(SubAnswer, self._take)
        hub.register(Pong, lambda sender, pong: self._watch.heard(sender.address))
        hub.on_link_lost(self._link_lost)

    async def watch_owners(self) -> None:
        """Ping owners that owe answers and pass over silent ones, until cancelled."""
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
                        LOG.warning(f"Owner {owner} is silent. Others take its targets.")
                        self._owners.pass_over(owner)
                        self._reassign(owner)

    @property
    def running(self) -> int:
        """Return how many queries are under way."""
        return len(self._running_by_id)

    def budgets(self) -> dict[str, Budget]:
        """Return the budgets of extra load by service."""
        return self._budget_by_service

    def window_sizes(self) -> dict[tuple[str, str], float]:
        """Return the size of each group's window at each service."""
        return self._admission.sizes()

    async def run(
        self, group: str, service: ServiceSpec, policy: Policy, query: str
    ) -> QueryResult:
        """Return the answer of one query; raise `CallerError` when there is none."""
        wait_s = self._quarantine.retry_after_s(query_fingerprint(service.name, query))
        if wait_s > 0.0:
            detail = "targets end under this query"
            raise refuse(Code.HELD, "admit", detail, "Come back later", wait_s)
        now = steady_now()
        query_id = f"{self._hub.identity.boot}-q{next(self._numbers)}"
        trace = self._traces.open(query_id, service.name, group)
        window = self._admission.window(group, service.name)
        if not window.enter():
            trace.end("refused: window full")
            retry_s = self._admission.retry_after(window.wait_s())
            detail = f"group `{group}` has {window.running} queries under way here"
            raise refuse(Code.OVERLOADED, "admit", detail, "Come back later", retry_s)
        running = self._begin(query_id, group, service, policy, trace, now)
        try:
            end = await self._follow(running, query)
        finally:
            del self._running_by_id[query_id]
            if not running.gather.ended:
                self._withdraw_all(running)
            deadline_s = policy.deadline_s
            how = QueryEnd(now, running.longest_delay_s, running.shed, deadline_s)
            window.leave(how, steady_now())
        return self._conclude(running, end)

    def _begin(
        self,
        query_id: str,
        group: str,
        service: ServiceSpec,
        policy: Policy,
        trace: Trace,
        now: float,
    ) -> _Running:
        targets = tuple(
            tuple(target.address for target in instance) for instance in service.targets_by_instance
        )
        hint = self._board.version(service.name)
        plan = Plan(query_id, service.name, group, policy, targets, hint)
        gather = Gather(plan, self._board, self._budget(service), now)
        running = self._running_by_id[query_id] = _Running(gather, service, trace)
        return running

    def _budget(self, service: ServiceSpec) -> Budget:
        budget = self._budget_by_service.get(service.name)
        if budget is None:
            budget = self._budget_by_service[service.name] = Budget(service.extra_load)
        budget.part = service.extra_load
        return budget

    async def _follow(self, running: _Running, query: str) -> Answered | GivenUp:
        """Let the gather decide until it ends."""
        gather = running.gather
        commands = gather.start(steady_now())
        while True:
            end = self._perform(running, commands, query)
            if end is not None:
                return end
            events = await running.inbox.take(gather.next_wake())
            now = steady_now()
            commands = []
            for event in events:
                commands += gather.answered(event, now)
            commands += gather.tick(now)

    def _perform(
        self, running: _Running, commands: list[GatherCommand], query: str
    ) -> Answered | GivenUp | None:
        end: Answered | GivenUp | None = None
        asks_by_owner_and_version: defaultdict[tuple[str, int | None], list[Ask]]
        asks_by_owner_and_version = defaultdict(list)
        withdrawn_by_owner: defaultdict[str, list[Ask]] = defaultdict(list)
        for command in commands:
            match command:
                case AskTarget():
                    owner = self._note_ask(running, command)
                    ask = Ask(command.nonce, command.target, command.last_resort)
                    asks_by_owner_and_version[owner, command.version].append(ask)
                case WithdrawAsk(nonce, target):
                    asked = running.asked_by_nonce.get(nonce)
                    if asked is not None and asked.owner:
                        withdrawn_by_owner[asked.owner].append(Ask(nonce, target, False))
                case Answered() | GivenUp():
                    end = command
        for owner, asks in withdrawn_by_owner.items():
            self._hub.send(owner, Withdraw(running.gather.plan.query_id, asks))
        for (owner, version), asks in asks_by_owner_and_version.items():
            self._scatter(running, owner, version, asks, query)
        return end

    def _note_ask(self, running: _Running, command: AskTarget) -> str:
        owner = self._owner_address(running.service, command.target)
        asked = _Asked(command.target, owner, command.instance)
        running.asked_by_nonce[command.nonce] = asked
        detail = (
            command.reason if command.version is None else f"{command.reason} v{command.version}"
        )
        running.trace.note("ask", command.instance, command.target, owner, detail)
        return owner

    def _scatter(
        self, running: _Running, owner: str, version: int | None, asks: list[Ask], query: str
    ) -> None:
        """Send all of a query's asks for one owner in one message."""
        plan = running.gather.plan
        deadline_ms = (running.gather.limit - steady_now()) * 1000
        message = Scatter(
            plan.query_id, plan.service, plan.group, deadline_ms, version, query, asks
        )
        if owner and self._hub.send(owner, message):
            if owner != self._hub.identity.address:
                self._watch.asked(owner, steady_now())
                self._watch_changed.set()
            return
        for ask in asks:
            running.inbox.put(_without_owner(ask.nonce))

    def _take(self, sender: PeerIdentity, answer: SubAnswer) -> None:
        """Hand an answer to its query; one that fits no query is dropped and counted."""
        self._watch.heard(sender.address)
        running = self._running_by_id.get(answer.query_id)
        asked = running.asked_by_nonce.get(answer.nonce) if running is not None else None
        if running is None or asked is None or asked.owner != sender.address:
            self.foreign_answers += 1
            return
        event = self._read(answer)
        self._board.learn_queue(
            asked.target, answer.delay_ms / 1000, answer.service_ms / 1000, steady_now()
        )
        running.longest_delay_s = max(running.longest_delay_s, answer.delay_ms / 1000)
        running.shed = running.shed or event.outcome in (Outcome.SHED, Outcome.LATE)
        detail = f"{event.outcome} {answer.service_ms:.1f} ms"
        running.trace.note("end", asked.instance, asked.target, asked.owner, detail)
        running.inbox.put(event)

    def _read(self, answer: SubAnswer) -> ShardAnswer:
        """Return the event of an answer; one that is not its own sub-request's has failed."""
        retry_s = answer.retry_after_ms / 1000
        holds = tuple(answer.holds)
        if answer.outcome is not Outcome.OK:
            return ShardAnswer(answer.nonce, answer.outcome, None, {}, holds, retry_s)
        try:
            read = msgspec.json.decode(answer.body, type=TargetAnswer)
        except msgspec.DecodeError:
            return ShardAnswer(answer.nonce, Outcome.FAILED, None, {}, (), retry_s)
        own = read.nonce == f"{answer.query_id}.{answer.nonce}" and read.end
        if not own or read.map_size < 1:
            self.foreign_answers += 1
            return ShardAnswer(answer.nonce, Outcome.FAILED, None, {}, (), retry_s)
        snapshot = Snapshot(read.version, read.map_size)
        return ShardAnswer(answer.nonce, Outcome.OK, snapshot, read.shards, (), retry_s)

    def _reassign(self, silent: str) -> None:
        """End the asks at a silent owner whose targets have another owner now."""
        for running in self._running_by_id.values():
            for nonce, asked in running.asked_by_nonce.items():
                if asked.owner != silent:
                    continue
                if self._owner_address(running.service, asked.target) != silent:
                    running.inbox.put(_without_owner(nonce))

    def _owner_address(self, service: ServiceSpec, target: str) -> str:
        member = self._owners.owner(service, target)
        return member.address if member is not None else ""

    def _link_lost(self, address: str) -> None:
        """End every ask at an owner that cannot be reached."""
        for running in self._running_by_id.values():
            for nonce, asked in running.asked_by_nonce.items():
                if asked.owner == address:
                    running.inbox.put(_without_owner(nonce))

    def _withdraw_all(self, running: _Running) -> None:
        """Take back everything of a query whose caller has gone."""
        query_id = running.gather.plan.query_id
        running.trace.end("caller gone")
        running.gather.abandon()
        for nonce, asked in running.asked_by_nonce.items():
            if asked.owner:
                withdraw = Withdraw(query_id, [Ask(nonce, asked.target, False)])
                self._hub.send(asked.owner, withdraw)

    def _log_given_up(self, running: _Running, end: GivenUp) -> None:
        budget = self._budget(running.service)
        trace = running.trace
        self._log.write(
            "query_given_up",
            id=running.gather.plan.query_id,
            service=running.service.name,
            took_ms=round(trace.took_ms, 1),
            overloaded=end.overloaded,
            lacking=_count_reasons([lack.reason for lack in end.answer.lacking]),
            requests=len(running.asked_by_nonce),
            budget_left=round(budget.left, 1),
        )

    def _conclude(self, running: _Running, end: Answered | GivenUp) -> QueryResult:
        result = QueryResult(running.gather.plan.query_id, end.answer)
        if isinstance(end, Answered):
            running.trace.end("whole" if end.answer.whole else "partial")
            return result
        running.trace.end("given up")
        self._log_given_up(running, end)
        code = Code.OVERLOADED if end.overloaded else Code.COVERAGE_TOO_LOW
        lacking = len(end.answer.lacking)
        detail = f"{lacking} shards could not be covered in time"
        retry_s = self._admission.retry_after(end.retry_after_s)
        error = refuse(code, "gather", detail, "Come back later", retry_s)
        raise CoverageTooLowError(error, result)


def _count_reasons(reasons: list[str]) -> str:
    return ", ".join(f"{reason} {count}" for reason, count in Counter(reasons).items())


def _without_owner(nonce: int) -> ShardAnswer:
    return ShardAnswer(nonce, Outcome.NO_OWNER, None, {}, (), 0.0)
