"""Entry point of the relay: receives clients' requests and responds to them."""

from collections import Counter
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Final, NamedTuple

from trackwheel.admission.outlooks import RefusalAdvisor
from trackwheel.clock import steady_now
from trackwheel.delegation.grouping import GroupPlanner
from trackwheel.delegation.outbound_groups import OutboundGroups
from trackwheel.delegation.peers import PeerBox
from trackwheel.gathering.gather import CRASHES_TARGETS, Gather
from trackwheel.gathering.gather_models import Gathered, GatherFailed, GatherPlan
from trackwheel.gathering.merge import merge_records
from trackwheel.gathering.shards import max_missing_shards
from trackwheel.groups.counts import GroupCounts
from trackwheel.groups.keys import KeyProblem, identify
from trackwheel.groups.models import Group, precedence
from trackwheel.http1.models import Request
from trackwheel.http1.server import Exchange
from trackwheel.quarantine.service import Quarantine
from trackwheel.relay.causes import Cause, Phase
from trackwheel.relay.const import (
    FINAL_MARGIN_S,
    LINK_OPEN_DELAY_S,
    NEW_CONNECTION_MARGIN_S,
    NO_ROUTES_RETRY_AFTER_S,
    RESPONSE_MARGIN_S,
    RETRY_AFTER_S,
    STARTUP_WAIT_SHARE,
)
from trackwheel.relay.entry_checks import EntryCheck, EntryPassage, EntryRefusal, EntryRequest
from trackwheel.relay.models import OPEN_GATE, CallerRequest, Place, RouteKey, SendPermission, Wire
from trackwheel.relay.runs import GatherRun, GatherTask, SingleRun
from trackwheel.relay.single import Single, SingleAnswered, SingleFailed, SinglePlan
from trackwheel.relay.startup_queue import StartupQueue
from trackwheel.relay.timer import Timer
from trackwheel.relay.transport import TargetTransport
from trackwheel.routing.models import Route, RouteTable
from trackwheel.routing.table import WeightedRoundRobin, find_route
from trackwheel.selection.budget import RetryBudget
from trackwheel.selection.target_selector import TargetSelector
from trackwheel.stop_deadline import NO_STOP, STOPPING, StopDeadline
from trackwheel.telemetry.events import EventLog
from trackwheel.telemetry.figures import Figures
from trackwheel.units import MILLISECONDS

CAUSE_BY_KEY_PROBLEM: Final = {
    KeyProblem.MISSING: "key_missing",
    KeyProblem.UNKNOWN: "key_unknown",
}
CAUSE_KEY_NOT_YET: Final = "key_not_yet_known"
CAUSE_HOMES: Final = "no_common_home"


class _Serving(NamedTuple):
    """A client's request that is being served, with the configuration it began with."""

    caller: CallerRequest
    route: Route
    homes: frozenset[str]
    version: int
    exchange: Exchange
    passage: EntryPassage
    has_groups: bool

    @property
    def key(self) -> RouteKey:
        """Return what the choice of a target depends on."""
        return RouteKey(self.route.name, self.route.aim_s, self.homes)


class RelayService:
    """Serves clients' requests from targets, directly or through peers in their failure domains.

    `checks` decide one after the other whether a request may go on to targets. `is_current` tells
    whether the configuration known here is the newest one, so that a key which it lacks is unknown.
    Where the configuration names groups, the `advisor` tells refused callers when to return.
    After a stop signal, requests that would not be answered before `stop` are refused.
    """

    def __init__(
        self,
        wire: Wire,
        selector: TargetSelector,
        budget: RetryBudget,
        transport: TargetTransport,
        groups: OutboundGroups,
        quarantine: Quarantine,
        log: EventLog,
        figures: Figures,
        place: Place,
        address: str,
        checks: Sequence[EntryCheck] = (),
        is_current: Callable[[], bool] = lambda: True,
        advisor: RefusalAdvisor | None = None,
        stop: StopDeadline = NO_STOP,
    ) -> None:
        self._stop = stop
        self._advisor = advisor
        self._checks = checks
        self._is_current = is_current
        self._wire = wire
        self._selector = selector
        self._budget = budget
        self._transport = transport
        self._groups = groups
        self._quarantine = quarantine
        self._log = log
        self._figures = figures
        self.ended_by_kind: Counter[tuple[str]] = Counter()
        self.not_served: Counter[tuple[str, str]] = Counter()
        """Requests given up on, by cause and phase."""
        self.incomplete: Counter[tuple[str, str]] = Counter()
        """Answers that were late or left shards out, by cause and kind."""
        self.group_counts = GroupCounts()
        self._round_robin = WeightedRoundRobin()
        self._table: RouteTable | None = None
        self._knows_targets = False
        self._startup_queue = StartupQueue(self.handle, self._refuse_without_routes)
        self._planner = GroupPlanner(place, address, selector, groups.peer_tracker)
        self._links_timer = Timer(self._open_links)

    def set_table(self, table: RouteTable) -> None:
        """Set the configuration; requests in progress keep the one they started with."""
        self._table = table
        self.group_counts.set_groups(table.groups.group_by_name if table.groups else ())
        self._startup_queue.release()

    def targets_known(self) -> None:
        """Serve the requests that waited for the first targets."""
        if not self._knows_targets:
            self._knows_targets = True
            self._startup_queue.release()

    def set_peers(self, peers: tuple[PeerBox, ...], gathers: bool) -> None:
        """Set the peers to which shards may be delegated, and whether this box is a gatherer."""
        self._planner.set_peers(peers, gathers)
        self._links_timer.set(steady_now() + LINK_OPEN_DELAY_S)

    def _open_links(self) -> None:
        self._groups.open_links(self._planner.wanted_links())

    def handle(self, request: Request, exchange: Exchange) -> None:
        """Serve one client request."""
        table = self._table
        caller = self._wire.read_request(request)
        if self._stop.has_passed(steady_now()):
            self._refuse_stopping(caller, exchange)
            return
        if table is None:
            self._wait_for_start(caller, exchange)
            return
        route = find_route(table, caller.host, caller.path)
        if route is None:
            self.ended_by_kind[("no_route",)] += 1
            self._log.write(
                "no_route", id=caller.request_id, path=caller.path, version=table.version
            )
            exchange.respond(self._wire.refusal(HTTPStatus.NOT_FOUND, None, "no route"))
            return
        if not self._knows_targets:
            self._wait_for_start(caller, exchange)
            return
        group: Group | None = None
        if table.groups is not None:
            identified = identify(table.groups, self._wire.read_key(request), route.public)
            if isinstance(identified, KeyProblem):
                refusal = self._key_refusal(identified)
                self._refuse_entry(caller, route, table.version, refusal, exchange)
                return
            group = identified
            order = precedence(group, route.priority)
            caller = self._wire.with_group(caller, group.name if group else "", order)
        if self._refuse_held(caller, route, exchange):
            return
        self._check(EntryRequest(caller, route, group), table, exchange)

    def _wait_for_start(self, caller: CallerRequest, exchange: Exchange) -> None:
        """Hold a request until this box knows the configuration and the targets."""
        arrived = caller.http.arrived
        until = arrived + (caller.deadline - arrived) * STARTUP_WAIT_SHARE
        self._startup_queue.add(caller.http, exchange, until - steady_now())

    def _key_refusal(self, problem: KeyProblem) -> EntryRefusal:
        """Return the refusal of a request for its key."""
        if problem is KeyProblem.UNKNOWN and not self._is_current():
            # A client does not repeat a request after 401, and a newer configuration may have the
            # key.
            return EntryRefusal(
                HTTPStatus.SERVICE_UNAVAILABLE,
                CAUSE_KEY_NOT_YET,
                "the key is not known here yet",
                NO_ROUTES_RETRY_AFTER_S,
            )
        return EntryRefusal(HTTPStatus.UNAUTHORIZED, CAUSE_BY_KEY_PROBLEM[problem], problem.value)

    def _check(self, request: EntryRequest, table: RouteTable, exchange: Exchange) -> None:
        """Serve a request that passes all checks; refuse another one."""
        caller, route, group = request
        homes = combine_homes(route.homes, group.homes if group else frozenset())
        if homes is None:
            no_home = EntryRefusal(
                HTTPStatus.SERVICE_UNAVAILABLE,
                CAUSE_HOMES,
                "no region may serve both the route and the group",
                NO_ROUTES_RETRY_AFTER_S,
            )
            self._refuse_entry(caller, route, table.version, no_home, exchange)
            return

        def decide(refusal: EntryRefusal | None) -> None:
            if refusal is not None:
                self._refuse_entry(caller, route, table.version, refusal, exchange)
                return
            has_groups = table.groups is not None
            self._serve(
                _Serving(caller, route, homes, table.version, exchange, passage, has_groups)
            )

        def client_left() -> None:
            passage.withdraw()
            self._log_client_left(caller, route)

        def stop() -> None:
            passage.withdraw()
            self._refuse_stopping(caller, exchange)

        passage = EntryPassage(self._checks, request, decide)
        exchange.on_disconnect = client_left
        exchange.on_stop = stop
        passage.start()

    def _refuse_entry(
        self,
        caller: CallerRequest,
        route: Route,
        version: int,
        refusal: EntryRefusal,
        exchange: Exchange,
    ) -> None:
        """Refuse a request for which no target was asked."""
        self._count_end(caller, refusal.cause)
        self._log.write(
            "refused",
            id=caller.request_id,
            route=route.name,
            group=caller.group,
            version=version,
            took_ms=_age_ms(caller),
            status=int(refusal.status),
            cause=refusal.cause,
            reason=refusal.reason,
        )
        exchange.respond(self._wire.refusal(refusal.status, refusal.retry_after_s, refusal.reason))

    def _refuse_stopping(self, caller: CallerRequest, exchange: Exchange) -> None:
        """Refuse a request that has not run, because this box stops before it could answer."""
        retry_after_s = self._stop.retry_after_s(steady_now())
        self._count_end(caller, Cause.STOPPING)
        self._count_not_served(Cause.STOPPING, False)
        self._log.write(
            "refused",
            id=caller.request_id,
            group=caller.group,
            took_ms=_age_ms(caller),
            status=int(HTTPStatus.SERVICE_UNAVAILABLE),
            cause=Cause.STOPPING,
            reason=STOPPING,
        )
        exchange.respond(
            self._wire.refusal(HTTPStatus.SERVICE_UNAVAILABLE, retry_after_s, STOPPING)
        )

    def _serve(self, serving: _Serving) -> None:
        if serving.route.shards and not self._stop.leaves_time(
            self._selector.high_s(serving.key, far=False), steady_now()
        ):
            serving.passage.end(ran=False)
            self._refuse_stopping(serving.caller, serving.exchange)
            return
        one_target = self._quarantine.start_trial(serving.caller.fingerprint)
        if not serving.route.shards:
            self._serve_single(serving, one_target)
        elif one_target:
            self._serve_after_trial(serving)
        else:
            self._serve_query(serving)

    def _refuse_held(self, caller: CallerRequest, route: Route, exchange: Exchange) -> bool:
        """Refuse a request that is held in quarantine; return whether it was refused."""
        retry_after_s = self._quarantine.retry_after_s(caller.fingerprint)
        if retry_after_s <= 0.0:
            return False
        self._count_end(caller, "held")
        self._log.write(
            "held_request",
            id=caller.request_id,
            route=route.name,
            group=caller.group,
            fingerprint=caller.fingerprint.hex(),
            left_s=round(retry_after_s, 1),
        )
        answer = self._wire.refusal(HTTPStatus.SERVICE_UNAVAILABLE, retry_after_s, CRASHES_TARGETS)
        exchange.respond(answer)
        return True

    def _refuse_without_routes(self, request: Request, exchange: Exchange) -> None:
        """Refuse a request that arrived before this box had a configuration and targets."""
        caller = self._wire.read_request(request)
        lack = "configuration" if self._table is None else "target"
        reason = f"no {lack} is known yet"
        self.ended_by_kind[("no_configuration",)] += 1
        cause = self._count_not_served(Cause.NO_CONFIGURATION, False)
        self._log.write(
            "given_up", id=caller.request_id, ran=False, late=False, reason=reason, cause=cause
        )
        exchange.respond(
            self._wire.refusal(HTTPStatus.SERVICE_UNAVAILABLE, NO_ROUTES_RETRY_AFTER_S, reason)
        )

    def _plan_single(self, serving: _Serving, one_target: bool) -> SinglePlan:
        """Return the plan for one target at a time; with `one_target`, for a single attempt."""
        caller, route = serving.caller, serving.route
        return SinglePlan(
            route=serving.key,
            service=route.shards[0] if route.shards else self._round_robin.pick(route),
            repeatable=route.repeatable,
            max_attempts=1 if one_target else route.max_attempts,
            answer_at=min(_answer_at(caller, route), self._stop.target_deadline),
            end_at=_end_at(caller, route),
            # A trial's only attempt bypasses the gate that blocks other requests of its content.
            gate=OPEN_GATE if one_target else self._quarantine.gate(caller.fingerprint),
            stop=self._stop,
        )

    def _serve_single(self, serving: _Serving, one_target: bool) -> None:
        plan = self._plan_single(serving, one_target)

        def done(result: SingleAnswered | SingleFailed) -> None:
            self._end(serving, result)
            if isinstance(result, SingleAnswered):
                serving.exchange.respond(self._wire.single_answer(result.answer))
                return
            warm_in_s = self._selector.warm_in_s(plan.service, plan.route, steady_now())
            usual_s = max(RETRY_AFTER_S, warm_in_s)
            retry_after_s = self._retry_after_s(serving, result, (plan.service,), usual_s)
            self._refuse(serving.exchange, result, retry_after_s)

        single = Single(plan, self._selector, self._budget)
        run = SingleRun(serving.caller, single, self._transport, done)
        serving.exchange.on_disconnect = lambda: self._client_left(serving, run)
        serving.exchange.on_stop = run.stop
        run.start()

    def _serve_after_trial(self, serving: _Serving) -> None:
        """Send a query suspected of crashing targets to one of them; serve it if that answers."""
        caller = serving.caller

        def done(result: SingleAnswered | SingleFailed) -> None:
            gate = self._quarantine.gate(caller.fingerprint)
            is_stopped = isinstance(result, SingleFailed) and result.cause is Cause.STOPPING
            if gate.permission(steady_now()) is SendPermission.OPEN and not is_stopped:
                self._serve_query(serving)
                return
            failed = result
            if isinstance(failed, SingleAnswered):
                failed = SingleFailed(True, False, CRASHES_TARGETS, Cause.HELD)
            self._end(serving, failed)
            self._refuse(serving.exchange, failed)

        single = Single(self._plan_single(serving, True), self._selector, self._budget)
        run = SingleRun(caller, single, self._transport, done)
        serving.exchange.on_disconnect = lambda: self._client_left(serving, run)
        serving.exchange.on_stop = run.stop
        run.start()

    def _serve_query(self, serving: _Serving) -> None:
        caller, route, exchange = serving.caller, serving.route, serving.exchange
        gather = Gather(self._plan_query(serving), self._selector, self._budget, self._planner)

        def done(result: Gathered | GatherFailed) -> None:
            self._end(serving, result)
            if isinstance(result, GatherFailed):
                retry_after_s = self._retry_after_s(serving, result, route.shards, RETRY_AFTER_S)
                self._refuse(exchange, result, retry_after_s)
                return
            answer = self._wire.gathered_answer(
                caller.request_id,
                list(result.signature_by_shard.values()),
                result.missing,
                merge_records(result.record_lists, route.top_k),
            )
            exchange.respond(answer)

        task = GatherTask(caller, gather)
        run = GatherRun(task, self._transport, self._groups, done)
        exchange.on_disconnect = lambda: self._client_left(serving, run)
        exchange.on_stop = run.stop
        run.start()

    def _client_left(self, serving: _Serving, run: GatherRun | SingleRun) -> None:
        """Cancel the request of a client that disconnected before the response."""
        cause = run.waits_for
        run.cancel()
        serving.passage.end(ran=True)
        self._log_client_left(serving.caller, serving.route, cause)

    def _log_client_left(
        self, caller: CallerRequest, route: Route, cause: Cause | None = None
    ) -> None:
        self._count_end(caller, "client_left")
        group = {"group": caller.group} if caller.group else {}
        self._log.write(
            "client_left",
            id=caller.request_id,
            route=route.name,
            took_ms=_age_ms(caller),
            cause=cause,
            **group,
        )

    def _count_end(self, caller: CallerRequest, kind: str) -> None:
        self.ended_by_kind[(kind,)] += 1
        self.group_counts.add(caller.group, kind)

    def _plan_query(self, serving: _Serving) -> GatherPlan:
        now = steady_now()
        caller, route, key = serving.caller, serving.route, serving.key
        end_at = _end_at(caller, route)
        answer_at = min(end_at, _answer_at(caller, route), self._stop.target_deadline)
        return GatherPlan(
            route=key,
            shards=route.shards,
            top_k=route.top_k,
            groups=self._planner.first_groups(route.shards, key, answer_at, now),
            least_coverage=route.least_coverage,
            max_attempts=route.max_attempts,
            answer_at=answer_at,
            end_at=end_at,
            partial=False,
            gate=self._quarantine.gate(caller.fingerprint),
        )

    def _retry_after_s(
        self,
        serving: _Serving,
        failed: GatherFailed | SingleFailed,
        services: Sequence[str],
        usual_s: float,
    ) -> float:
        """Return the Retry-After of a failed request to some services.

        It is `usual_s` where the configuration names no groups.
        """
        if failed.cause is Cause.STOPPING:
            return self._stop.retry_after_s(steady_now())
        if self._advisor is None or not serving.has_groups or failed.ran:
            return usual_s
        max_missing = max_missing_shards(len(services), serving.route.least_coverage)
        return self._advisor.retry_after_s(
            serving.caller, services, serving.key, max_missing, steady_now()
        )

    def _refuse(
        self,
        exchange: Exchange,
        failed: GatherFailed | SingleFailed,
        retry_after_s: float = RETRY_AFTER_S,
    ) -> None:
        """Send the final response of a request that failed."""
        if not failed.ran:
            answer = self._wire.refusal(
                HTTPStatus.SERVICE_UNAVAILABLE, retry_after_s, failed.reason
            )
            exchange.respond(answer)
            return
        status = HTTPStatus.GATEWAY_TIMEOUT if failed.late else HTTPStatus.BAD_GATEWAY
        exchange.respond(self._wire.refusal(status, None, failed.reason))

    def _end(
        self, serving: _Serving, result: Gathered | GatherFailed | SingleAnswered | SingleFailed
    ) -> None:
        """Release what the checks keep of a request that has ended, and log the end."""
        serving.passage.end(
            ran=result.ran if isinstance(result, GatherFailed | SingleFailed) else True
        )
        self._log_end(serving, result)

    def _log_end(
        self, serving: _Serving, result: Gathered | GatherFailed | SingleAnswered | SingleFailed
    ) -> None:
        request, route = serving.caller, serving.route
        age_s = steady_now() - request.http.arrived
        self._figures.observe_request(route.name, age_s)
        took_ms = round(age_s * MILLISECONDS, 1)
        common: dict[str, str | float] = {
            "id": request.request_id,
            "route": route.name,
            "version": serving.version,
            "shards": len(route.shards),
            "took_ms": took_ms,
            "aim_ms": round(route.aim_s * MILLISECONDS),
            "deadline_ms": round((request.deadline - request.http.arrived) * MILLISECONDS),
        }
        if isinstance(result, GatherFailed | SingleFailed) and result.ran:
            common["fingerprint"] = request.fingerprint.hex()
        if request.group:
            common["group"] = request.group
        if serving.homes:
            common["homes"] = ",".join(sorted(serving.homes))
        match result:
            case Gathered(_, _, missing, reason, lacking, cause):
                kind = "partial" if missing else "whole"
                event = "query_partial" if missing else "query_whole"
                if cause is not None:
                    common["cause"] = cause.value
                    self.incomplete[(cause.value, kind)] += 1
                self._log.write(event, missing=missing, reason=reason, lacking=lacking, **common)
            case SingleAnswered(answer):
                kind = "answered"
                self._log.write("request_end", status=answer.status, **common)
            case GatherFailed(ran, late, reason, lacking, cause):
                kind = "given_up_ran" if ran else "given_up_not_run"
                common["cause"] = self._count_not_served(cause, late)
                self._log.write(
                    "given_up", ran=ran, late=late, reason=reason, lacking=lacking, **common
                )
            case SingleFailed(ran, late, reason, cause):
                kind = "given_up_ran" if ran else "given_up_not_run"
                common["cause"] = self._count_not_served(cause, late)
                self._log.write("given_up", ran=ran, late=late, reason=reason, **common)
        self._count_end(request, kind)
        if serving.homes and kind == "given_up_not_run":
            self.ended_by_kind[("without_home",)] += 1

    def _count_not_served(self, cause: Cause | None, late: bool) -> str:
        """Count a request that was given up on; return the cause for its log line."""
        name = (cause or Cause.TARGETS_TRIED).value
        phase = Phase.DEADLINE if late else Phase.EARLY
        self.not_served[(name, phase.value)] += 1
        return name


def _age_ms(caller: CallerRequest) -> float:
    """Return how long ago a request arrived (milliseconds)."""
    return round((steady_now() - caller.http.arrived) * MILLISECONDS, 1)


def _answer_at(caller: CallerRequest, route: Route) -> float:
    """Return the last moment to answer within the target latency (monotonic seconds)."""
    margin_s = RESPONSE_MARGIN_S
    if caller.http.first_on_connection:
        margin_s += NEW_CONNECTION_MARGIN_S
    return caller.http.arrived + route.aim_s - margin_s


def _end_at(caller: CallerRequest, route: Route) -> float:
    """Return the last moment to answer at all (monotonic seconds)."""
    return min(caller.deadline, caller.http.arrived + route.timeout_s) - FINAL_MARGIN_S


def combine_homes(route: frozenset[str], group: frozenset[str]) -> frozenset[str] | None:
    """Return the regions that both a route and a group allow, None if there is none.

    An empty set allows all regions.
    """
    if not route or not group:
        return route or group
    return route & group or None
