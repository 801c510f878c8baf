"""The shell of the relay: takes requests, runs their decisions, sends and answers."""

import asyncio
import time
from collections.abc import Callable
from itertools import count
from typing import NamedTuple

from trackwheel.http1.models import Request
from trackwheel.http1.server import Exchange
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.relay.board import Board, RouteKey
from trackwheel.relay.budget import RepeatBudget
from trackwheel.relay.const import (
    FINAL_MARGIN_S,
    HAND_OVER_BELOW,
    NO_ROUTES_RETRY_AFTER_S,
    RETRY_AFTER_S,
    RETURN_MARGIN_S,
)
from trackwheel.relay.gather import (
    CancelPart,
    Gather,
    GatherCommand,
    Gathered,
    GatherFailed,
    GatherPlan,
    SendPart,
)
from trackwheel.relay.merge import greatest_records, merge_parts
from trackwheel.relay.models import CallerRequest, Outcome, Part, Place, TargetEnd, Wire
from trackwheel.relay.peers import (
    AskPeer,
    CancelPeer,
    HandOver,
    HandOverCommand,
    PeerBoard,
    QueryAccepted,
    QueryCancel,
    QueryDone,
    QueryForward,
    RunHere,
)
from trackwheel.relay.single import (
    CancelSingle,
    SendSingle,
    Single,
    SingleAnswered,
    SingleCommand,
    SingleFailed,
    SinglePlan,
)
from trackwheel.relay.transport import Sending, TargetTransport
from trackwheel.routing.models import Route, RouteTable
from trackwheel.routing.table import WeightedDivider, find_route
from trackwheel.telemetry.events import EventLog

STATUS_NOT_FOUND = 404
STATUS_FAILED = 502
STATUS_UNAVAILABLE = 503
STATUS_LATE = 504

MILLISECONDS = 1000.0


class PeerBox(NamedTuple):
    """A box to which queries may be handed."""

    address: str
    place: Place


class GatherTask(NamedTuple):
    """A query to gather at this box."""

    request: CallerRequest
    plan: GatherPlan
    top_k: int


class Timer:
    """Call an action at a time that may be moved."""

    def __init__(self, action: Callable[[], None]) -> None:
        self._action = action
        self._handle: asyncio.TimerHandle | None = None

    def set(self, at: float) -> None:
        """Call the action at a time (monotonic seconds), instead of any earlier setting."""
        self.stop()
        loop = asyncio.get_running_loop()
        delay_s = max(0.0, at - time.monotonic())
        self._handle = loop.call_later(delay_s, self._action)

    def stop(self) -> None:
        """Call the action no more."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None


class GatherRun:
    """Carry out the decisions of one gather."""

    def __init__(
        self,
        task: GatherTask,
        gather: Gather,
        transport: TargetTransport,
        on_done: Callable[[Gathered | GatherFailed], None],
    ) -> None:
        self._task = task
        self._gather = gather
        self._transport = transport
        self._on_done = on_done
        self._timer = Timer(self._tick)
        self._token_by_number: dict[int, object] = {}

    def start(self) -> None:
        """Begin."""
        self._perform(self._gather.start(time.monotonic()))

    def cancel(self) -> None:
        """Stop since nobody waits any more."""
        self._perform(self._gather.cancel(time.monotonic()))
        self._timer.stop()

    def _tick(self) -> None:
        self._perform(self._gather.tick(time.monotonic()))

    def _ended(self, number: int, end: TargetEnd) -> None:
        part = None
        if end.outcome is Outcome.OK and end.answer is not None:
            records = greatest_records(end.answer.body, self._task.top_k)
            part = Part(end.signature, records)
        self._perform(self._gather.part_ended(number, end, part, time.monotonic()))

    def _perform(self, commands: list[GatherCommand]) -> None:
        done: Gathered | GatherFailed | None = None
        for command in commands:
            match command:
                case SendPart():
                    self._send(command)
                case CancelPart(number, target):
                    self._transport.withdraw(self._token_by_number.pop(number), target)
                case Gathered() | GatherFailed():
                    done = command
        if done is not None:
            self._timer.stop()
            self._on_done(done)
        elif not self._gather.ended:
            self._timer.set(self._gather.next_wake())

    def _send(self, command: SendPart) -> None:
        token = self._token_by_number[command.token] = object()
        sending = Sending(
            token, self._task.request, command.target, self._task.plan.route, False, False
        )
        self._transport.send(sending, lambda end: self._ended(command.token, end))


class SingleRun:
    """Carry out the decisions of one request to one target."""

    def __init__(
        self,
        request: CallerRequest,
        single: Single,
        transport: TargetTransport,
        on_done: Callable[[SingleAnswered | SingleFailed], None],
    ) -> None:
        self._request = request
        self._single = single
        self._transport = transport
        self._on_done = on_done
        self._timer = Timer(self._tick)
        self._token_by_number: dict[int, object] = {}

    def start(self) -> None:
        """Begin."""
        self._perform(self._single.start(time.monotonic()))

    def cancel(self) -> None:
        """Stop since nobody waits any more."""
        self._perform(self._single.cancel(time.monotonic()))
        self._timer.stop()

    def _tick(self) -> None:
        self._perform(self._single.tick(time.monotonic()))

    def _ended(self, number: int, end: TargetEnd) -> None:
        self._perform(self._single.target_ended(number, end, time.monotonic()))

    def _perform(self, commands: list[SingleCommand]) -> None:
        done: SingleAnswered | SingleFailed | None = None
        for command in commands:
            match command:
                case SendSingle():
                    self._send(command)
                case CancelSingle(number, target):
                    self._transport.withdraw(self._token_by_number.pop(number), target)
                case SingleAnswered() | SingleFailed():
                    done = command
        if done is not None:
            self._timer.stop()
            self._on_done(done)
        elif not self._single.ended:
            self._timer.set(self._single.next_wake())

    def _send(self, command: SendSingle) -> None:
        token = self._token_by_number[command.token] = object()
        plan = self._single.plan
        sending = Sending(
            token, self._request, command.target, plan.route, True, not plan.repeatable
        )
        self._transport.send(sending, lambda end: self._ended(command.token, end))


class _HandedOver:
    """A query that a peer gathers for this box."""

    def __init__(
        self, task: GatherTask, decision: HandOver, exchange: Exchange, timer: Timer
    ) -> None:
        self.task = task
        self.decision = decision
        self.exchange = exchange
        self.timer = timer


class RelayService:
    """Serve clients' requests from targets, here or through a peer beside them."""

    def __init__(
        self,
        hub: Hub,
        wire: Wire,
        board: Board,
        budget: RepeatBudget,
        transport: TargetTransport,
        log: EventLog,
        place: Place,
    ) -> None:
        self._hub = hub
        self._wire = wire
        self._board = board
        self._budget = budget
        self._transport = transport
        self._log = log
        self._place = place
        self._peer_board = PeerBoard()
        self._divider = WeightedDivider()
        self._table: RouteTable | None = None
        self._peers: tuple[PeerBox, ...] = ()
        self._numbers = count()
        self._handed_over_by_id: dict[str, _HandedOver] = {}
        self._run_by_peer_query: dict[tuple[str, str], GatherRun] = {}
        hub.register(QueryForward, self._take_forward)
        hub.register(QueryAccepted, self._take_accepted)
        hub.register(QueryDone, self._take_done)
        hub.register(QueryCancel, self._take_cancel)
        hub.on_link_lost(self._link_lost)

    @property
    def gathering_for_peers(self) -> int:
        """Return how many queries this box gathers for others."""
        return len(self._run_by_peer_query)

    def set_table(self, table: RouteTable) -> None:
        """Take a configuration; requests under way keep the one they began with."""
        self._table = table

    def set_peers(self, peers: tuple[PeerBox, ...]) -> None:
        """Take the boxes to which queries may be handed."""
        self._peers = peers

    def handle(self, request: Request, exchange: Exchange) -> None:
        """Serve one request of a client."""
        if self._table is None:
            answer = self._wire.refusal(
                STATUS_UNAVAILABLE, NO_ROUTES_RETRY_AFTER_S, "no configuration is known yet"
            )
            exchange.respond(answer)
            return
        caller = self._wire.read_request(request)
        route = find_route(self._table, caller.host, caller.path)
        if route is None:
            self._log.write(
                "no_route", id=caller.request_id, path=caller.path, version=self._table.version
            )
            exchange.respond(self._wire.refusal(STATUS_NOT_FOUND, None, "no route"))
            return
        if route.shards:
            self._serve_query(caller, route, exchange)
        else:
            self._serve_single(caller, route, exchange)

    def _serve_single(self, caller: CallerRequest, route: Route, exchange: Exchange) -> None:
        arrived = caller.http.arrived
        service = self._divider.pick(route)
        plan = SinglePlan(
            RouteKey(route.name, route.aim_s),
            service,
            route.repeatable,
            route.max_attempts,
            arrived + route.aim_s - RETURN_MARGIN_S,
            min(caller.deadline, arrived + route.timeout_s) - FINAL_MARGIN_S,
        )

        def done(result: SingleAnswered | SingleFailed) -> None:
            self._log_end(caller, route.name, result)
            if isinstance(result, SingleAnswered):
                exchange.respond(self._wire.single_answer(result.answer))
                return
            self._refuse(exchange, result.ran, result.late, result.reason)

        single = Single(plan, self._board, self._budget)
        run = SingleRun(caller, single, self._transport, done)
        exchange.on_gone = run.cancel
        run.start()

    def _serve_query(self, caller: CallerRequest, route: Route, exchange: Exchange) -> None:
        arrived = caller.http.arrived
        end_at = min(caller.deadline, arrived + route.timeout_s) - FINAL_MARGIN_S
        plan = GatherPlan(
            RouteKey(route.name, route.aim_s),
            route.shards,
            route.least_coverage,
            route.max_attempts,
            min(end_at, arrived + route.aim_s - RETURN_MARGIN_S),
            end_at,
            False,
        )
        task = GatherTask(caller, plan, route.top_k)
        peers = self._peers_beside(route.shards)
        if not peers:
            self._gather_here(task, exchange)
            return
        self._hand_over(task, peers, exchange)

    def _gather_here(self, task: GatherTask, exchange: Exchange) -> None:
        def done(result: Gathered | GatherFailed) -> None:
            self._log_end(task.request, task.plan.route.name, result)
            if isinstance(result, GatherFailed):
                self._refuse(exchange, result.ran, result.late, result.reason)
                return
            parts = result.part_by_shard.values()
            answer = self._wire.gathered_answer(
                task.request.request_id,
                [part.signature for part in parts],
                result.missing,
                merge_parts(parts, task.top_k),
            )
            exchange.respond(answer)

        run = GatherRun(task, Gather(task.plan, self._board, self._budget), self._transport, done)
        exchange.on_gone = run.cancel
        run.start()

    def _peers_beside(self, shards: tuple[str, ...]) -> list[str]:
        """Return peers in regions that hold most shards, when this box's region does not."""
        now = time.monotonic()
        if self._board.near_share(shards, self._place.region, now) >= HAND_OVER_BELOW:
            return []
        share_by_region = {
            region: self._board.near_share(shards, region, now)
            for region in {peer.place.region for peer in self._peers}
        }
        beside = tuple(
            peer.address
            for peer in self._peers
            if share_by_region[peer.place.region] >= HAND_OVER_BELOW
        )
        return self._peer_board.order(beside, next(self._numbers), now)[:2]

    def _hand_over(self, task: GatherTask, peers: list[str], exchange: Exchange) -> None:
        query_id = f"{self._hub.identity.boot}.{next(self._numbers)}"
        plan = task.plan
        decision = HandOver(peers, self._peer_board, plan.answer_at, plan.end_at)
        timer = Timer(lambda: self._tick_handed_over(query_id))
        handed = _HandedOver(task, decision, exchange, timer)
        self._handed_over_by_id[query_id] = handed
        exchange.on_gone = lambda: self._leave_handed_over(query_id)
        self._perform_hand_over(query_id, handed, decision.start(time.monotonic()))

    def _perform_hand_over(
        self, query_id: str, handed: _HandedOver, commands: list[HandOverCommand]
    ) -> None:
        for command in commands:
            match command:
                case AskPeer(address, repeat):
                    self._log.write(
                        "handed_over", id=handed.task.request.request_id, to=address, repeat=repeat
                    )
                    self._hub.send(address, self._forward_message(query_id, handed.task, command))
                case CancelPeer(address):
                    self._hub.send(address, QueryCancel(query_id))
                case RunHere(repeat):
                    del self._handed_over_by_id[query_id]
                    handed.timer.stop()
                    plan = handed.task.plan._replace(repeat=repeat)
                    self._gather_here(handed.task._replace(plan=plan), handed.exchange)
                    return
        handed.timer.set(handed.decision.next_wake())

    def _forward_message(self, query_id: str, task: GatherTask, ask: AskPeer) -> QueryForward:
        now, plan, request = time.monotonic(), task.plan, task.request
        way_back_s = self._peer_board.round_trip_s(ask.address)
        return QueryForward(
            query_id,
            request.request_id,
            request.host,
            request.path,
            request.http.method,
            request.http.target,
            list(self._wire.forwarded_headers(request.http)),
            request.http.body,
            plan.route.name,
            list(plan.shards),
            task.top_k,
            plan.least_coverage,
            plan.max_attempts,
            plan.route.aim_s * MILLISECONDS,
            max(0.0, plan.answer_at - now - way_back_s) * MILLISECONDS,
            max(0.0, plan.end_at - now - way_back_s) * MILLISECONDS,
            ask.repeat,
        )

    def _tick_handed_over(self, query_id: str) -> None:
        handed = self._handed_over_by_id.get(query_id)
        if handed is None:
            return
        now = time.monotonic()
        if now >= handed.task.plan.end_at:
            self._leave_handed_over(query_id)
            self._refuse(handed.exchange, True, True, "time is up")
            return
        self._perform_hand_over(query_id, handed, handed.decision.tick(now))

    def _leave_handed_over(self, query_id: str) -> None:
        handed = self._handed_over_by_id.pop(query_id, None)
        if handed is None:
            return
        handed.timer.stop()
        if handed.decision.current is not None:
            self._hub.send(handed.decision.current, QueryCancel(query_id))
        handed.decision.finish()

    def _take_accepted(self, sender: PeerIdentity, message: QueryAccepted) -> None:
        handed = self._handed_over_by_id.get(message.query_id)
        if handed is not None:
            handed.decision.accepted(sender.address, time.monotonic())
            handed.timer.set(handed.decision.next_wake())

    def _take_done(self, sender: PeerIdentity, message: QueryDone) -> None:
        handed = self._handed_over_by_id.get(message.query_id)
        if handed is None or handed.decision.current != sender.address:
            return
        del self._handed_over_by_id[message.query_id]
        handed.timer.stop()
        handed.decision.finish()
        request = handed.task.request
        self._log.write(
            "query_end",
            id=request.request_id,
            route=handed.task.plan.route.name,
            by=sender.box_id,
            missing=message.missing,
            reason=message.reason,
            took_ms=_age_ms(request),
        )
        if not message.signatures:
            self._refuse(handed.exchange, message.ran, message.late, message.reason)
            return
        answer = self._wire.gathered_answer(
            request.request_id, message.signatures, message.missing, message.body
        )
        handed.exchange.respond(answer)

    def _take_forward(self, sender: PeerIdentity, message: QueryForward) -> None:
        """Gather a query for a peer."""
        now = time.monotonic()
        key = (sender.boot, message.query_id)
        if key in self._run_by_peer_query:
            return
        self._hub.send(sender.address, QueryAccepted(message.query_id))
        http = Request(message.method, message.target, tuple(message.headers), message.body, now)
        end_at = now + message.end_in_ms / MILLISECONDS
        request = CallerRequest(message.request_id, message.host, message.path, end_at, http)
        plan = GatherPlan(
            RouteKey(message.route, message.aim_ms / MILLISECONDS),
            tuple(message.shards),
            message.least_coverage,
            message.max_attempts,
            now + message.answer_in_ms / MILLISECONDS,
            end_at,
            message.repeat,
        )
        task = GatherTask(request, plan, message.top_k)

        def done(result: Gathered | GatherFailed) -> None:
            self._run_by_peer_query.pop(key, None)
            self._log_end(request, message.route, result)
            self._hub.send(sender.address, _done_message(message, result))

        run = GatherRun(task, Gather(plan, self._board, self._budget), self._transport, done)
        self._run_by_peer_query[key] = run
        run.start()

    def _take_cancel(self, sender: PeerIdentity, message: QueryCancel) -> None:
        run = self._run_by_peer_query.pop((sender.boot, message.query_id), None)
        if run is not None:
            run.cancel()

    def _link_lost(self, address: str) -> None:
        now = time.monotonic()
        self._peer_board.failed(address, now)
        for query_id, handed in list(self._handed_over_by_id.items()):
            commands = handed.decision.lost(address, now)
            if commands:
                self._perform_hand_over(query_id, handed, commands)

    def _refuse(self, exchange: Exchange, ran: bool, late: bool, reason: str) -> None:
        """Give the final answer of a request that is given up."""
        if not ran:
            exchange.respond(self._wire.refusal(STATUS_UNAVAILABLE, RETRY_AFTER_S, reason))
            return
        status = STATUS_LATE if late else STATUS_FAILED
        exchange.respond(self._wire.refusal(status, None, reason))

    def _log_end(
        self,
        request: CallerRequest,
        route: str,
        result: Gathered | GatherFailed | SingleAnswered | SingleFailed,
    ) -> None:
        took_ms = _age_ms(request)
        match result:
            case Gathered(_, missing, reason):
                self._log.write(
                    "query_end",
                    id=request.request_id,
                    route=route,
                    missing=missing,
                    reason=reason,
                    took_ms=took_ms,
                )
            case SingleAnswered(answer):
                self._log.write(
                    "request_end",
                    id=request.request_id,
                    route=route,
                    status=answer.status,
                    took_ms=took_ms,
                )
            case GatherFailed(ran, late, reason) | SingleFailed(ran, late, reason):
                self._log.write(
                    "given_up",
                    id=request.request_id,
                    route=route,
                    ran=ran,
                    late=late,
                    reason=reason,
                    took_ms=took_ms,
                )


def _age_ms(request: CallerRequest) -> float:
    return round((time.monotonic() - request.http.arrived) * MILLISECONDS, 1)


def _done_message(forward: QueryForward, result: Gathered | GatherFailed) -> QueryDone:
    if isinstance(result, GatherFailed):
        return QueryDone(forward.query_id, [], 0, b"", result.ran, result.late, result.reason)
    parts = list(result.part_by_shard.values())
    signatures = [part.signature for part in parts]
    body = merge_parts(parts, forward.top_k)
    return QueryDone(forward.query_id, signatures, result.missing, body, True, False, result.reason)
