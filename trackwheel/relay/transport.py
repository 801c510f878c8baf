"""The shell between decisions and targets: pools of connections by target."""

from collections import Counter
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

from trackwheel.http1.models import ExchangeOutcome, ExchangeResult, Request, Response
from trackwheel.http1.pool import Job, TargetPool
from trackwheel.relay.board import Board, TargetBelief
from trackwheel.relay.models import CallerRequest, Life, Outcome, RouteKey, Target, TargetEnd, Wire
from trackwheel.settings import split_address
from trackwheel.telemetry.events import EventLog
from trackwheel.units import MILLISECONDS

DEFAULT_CONNECTIONS = 8
"""Connections to a target of a service that the configuration does not name."""
CONNECTION_SHARE = 0.9
"""Part of a target's connections that the boxes use together; the rest is for health checks."""
LEAST_CONNECTIONS = 2
"""Connections that a box may have to a target in any case."""

_OUTCOME_BY_KIND: Final = {
    ExchangeOutcome.NOT_SENT: Outcome.NOT_SENT,
    ExchangeOutcome.CLOSED: Outcome.CLOSED,
    ExchangeOutcome.BROKEN: Outcome.BROKEN,
}
"""How a request ended without an answer."""

OnTargetEnd = Callable[[TargetEnd], None]

OnTakenBack = Callable[[bytes, Target], None]
"""Take the fingerprint of a request that was taken back from a target."""


class Clock(Protocol):
    """Give the steady time."""

    def __call__(self) -> float:
        """Return monotonic seconds."""


class Sending(NamedTuple):
    """One request for one target."""

    token: object
    request: CallerRequest
    target: Target
    route: RouteKey
    reason: str
    single: bool
    once: bool


OnAnyEnd = Callable[[Sending, Outcome, float], None]
"""Take how a request to a target ended that was sent at a time (monotonic seconds)."""


class TargetTransport:
    """Send requests to targets and keep the board informed."""

    def __init__(self, wire: Wire, board: Board, clock: Clock, log: EventLog) -> None:
        self._wire = wire
        self._board = board
        self._clock = clock
        self._log = log
        self._pool_by_life: dict[Life, TargetPool] = {}
        self._limit_by_service: dict[str, int] = {}
        self._members = 1
        self.sent_by_reason: Counter[tuple[str, str]] = Counter()
        self.ended_by_outcome: Counter[tuple[str]] = Counter()
        self._on_any_end: list[OnAnyEnd] = []
        self._on_taken_back: list[OnTakenBack] = []

    def on_any_end(self, handler: OnAnyEnd) -> None:
        """Call a handler with how each request ended that was not withdrawn."""
        self._on_any_end.append(handler)

    def on_taken_back(self, handler: OnTakenBack) -> None:
        """Call a handler with each request that was sent and taken back before its answer."""
        self._on_taken_back.append(handler)

    def set_limits(self, connections_by_service: dict[str, int], members: int) -> None:
        """Take how many connections the targets of each service take from all boxes."""
        self._limit_by_service = connections_by_service
        self._members = max(1, members)

    def keep_only(self, lives: set[Life]) -> None:
        """Close the idle connections of targets that are gone."""
        for life in [known for known in self._pool_by_life if known not in lives]:
            pool = self._pool_by_life[life]
            pool.close()
            if pool.unused:
                del self._pool_by_life[life]

    def bar(self, lives: set[Life]) -> None:
        """Send nothing more that waits for a connection to targets that get no new work."""
        for life in lives & self._pool_by_life.keys():
            self._pool_by_life[life].refuse_waiting()

    def send(self, sending: Sending, on_end: OnTargetEnd) -> None:
        """Send a request; `on_end` is called once unless it is withdrawn."""
        target, request = sending.target, sending.request
        sent_at = self._clock()
        self._board.sent(target, sending.token, sending.route, sent_at)
        distance = "far" if self._board.is_far(target) else "near"
        self.sent_by_reason[sending.reason, distance] += 1

        def build() -> Request:
            return self._wire.target_request(request, target.instance, self._clock())

        def check(answer: Response) -> str:
            return self._wire.check_answer(request.request_id, answer)

        def ended(end: ExchangeResult) -> None:
            result = self._read(end, sending.single)
            self.ended_by_outcome[(result.outcome.value,)] += 1
            belief = self._board.ended(
                target, sending.token, result.outcome, result.load, self._clock(), result.cold_s
            )
            self._write(sending, result, belief, sent_at)
            for handler in self._on_any_end:
                handler(sending, result.outcome, sent_at)
            on_end(result)

        self._pool(target).submit(
            Job(sending.token, request.request_id, build, check, sending.once, ended)
        )

    def withdraw(self, token: object, target: Target, fingerprint: bytes) -> None:
        """Take a request back."""
        self._board.withdrawn(target, token, self._clock())
        pool = self._pool_by_life.get(target.life)
        if pool is not None and pool.cancel(token):
            for handler in self._on_taken_back:
                handler(fingerprint, target)

    def _write(
        self, sending: Sending, end: TargetEnd, belief: TargetBelief | None, sent_at: float
    ) -> None:
        """Write what failed at a target, and what is believed of the target from now on."""
        target = sending.target
        if end.outcome is not Outcome.OK:
            self._log.write(
                "target_failed",
                id=sending.request.request_id,
                target=target.instance,
                service=target.service,
                outcome=end.outcome.value,
                detail=end.detail,
                why_sent=sending.reason,
            )
        if end.outcome is Outcome.CLOSED:
            # A kind of its own: refused connections in their hundreds would use up its lines.
            self._log.write(
                "target_closed",
                id=sending.request.request_id,
                fingerprint=sending.request.fingerprint.hex(),
                target=target.instance,
                service=target.service,
                ran_ms=round((self._clock() - sent_at) * MILLISECONDS, 1),
                others_here=self._board.in_flight(target),
            )
        if belief is not None:
            self._log.write(
                "target_belief",
                target=target.instance,
                service=target.service,
                belief=belief.value,
                after=end.outcome.value,
            )

    def _read(self, end: ExchangeResult, single: bool) -> TargetEnd:
        if end.answer is not None:
            return self._wire.read_end(end.answer, single)
        return TargetEnd(_OUTCOME_BY_KIND[end.outcome], None, b"", None, end.detail)

    def _pool(self, target: Target) -> TargetPool:
        pool = self._pool_by_life.get(target.life)
        if pool is None:
            host, port = split_address(target.address)
            pool = self._pool_by_life[target.life] = TargetPool(host, port, 0)
        allowed = self._limit_by_service.get(target.service, DEFAULT_CONNECTIONS * self._members)
        pool.limit = max(LEAST_CONNECTIONS, int(allowed * CONNECTION_SHARE / self._members))
        return pool
