"""Sends requests to targets over a connection pool for each of them."""

from collections import Counter
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

from trackwheel.addresses import split_address
from trackwheel.http1.answer_limits import AnswerLimits
from trackwheel.http1.models import ExchangeOutcome, ExchangeResult, Request, Response
from trackwheel.http1.pool import Job, TargetPool
from trackwheel.relay.models import (
    CallerRequest,
    Incarnation,
    Outcome,
    RouteKey,
    Target,
    TargetResult,
    Wire,
)
from trackwheel.selection.target_selector import TargetAvailability, TargetSelector
from trackwheel.stop_deadline import NO_STOP, StopDeadline
from trackwheel.telemetry.events import EventLog
from trackwheel.units import MILLISECONDS

DEFAULT_CONNECTIONS = 8
"""Connections of each box to a target of a service that the configuration does not name."""
CONNECTION_SHARE = 0.9
"""Share of a target's connections that all boxes use together; the rest is for health checks."""
MIN_CONNECTIONS = 2
"""Connections that a box may always open to a target."""

_OUTCOME_BY_KIND: Final = {
    ExchangeOutcome.NOT_SENT: Outcome.NOT_SENT,
    ExchangeOutcome.CLOSED: Outcome.CLOSED,
    ExchangeOutcome.BROKEN: Outcome.BROKEN,
    ExchangeOutcome.OVERSIZED: Outcome.OVERSIZED,
}
"""Outcomes of requests that ended without an answer."""

OnTargetResult = Callable[[TargetResult], None]

OnWithdrawn = Callable[[bytes, Target], None]
"""Receives the fingerprint of a request that was withdrawn from a target."""


class Clock(Protocol):
    """Source of the steady time."""

    def __call__(self) -> float:
        """Return monotonic seconds."""


class TargetAttempt(NamedTuple):
    """One request to one target; `once` tells that it must not be run twice."""

    token: object
    request: CallerRequest
    target: Target
    route: RouteKey
    reason: str
    single: bool
    once: bool


OnAttemptEnd = Callable[[TargetAttempt, Outcome, float], None]
"""Receives the outcome of an attempt and the time at which it was sent (monotonic seconds)."""


class TargetTransport:
    """Sends requests to targets and reports their outcomes to the selector.

    Targets are told to answer before `stop`, when this box no longer waits for them.
    """

    def __init__(
        self,
        wire: Wire,
        selector: TargetSelector,
        clock: Clock,
        log: EventLog,
        stop: StopDeadline = NO_STOP,
        answer_limits: AnswerLimits | None = None,
    ) -> None:
        self._stop = stop
        self._answer_limits = answer_limits or AnswerLimits()
        self._wire = wire
        self._selector = selector
        self._clock = clock
        self._log = log
        self._pool_by_incarnation: dict[Incarnation, TargetPool] = {}
        self._limit_by_service: dict[str, int] = {}
        self._members = 1
        self.sent_by_reason: Counter[tuple[str, str]] = Counter()
        self.ended_by_outcome: Counter[tuple[str]] = Counter()
        self._on_attempt_end: list[OnAttemptEnd] = []
        self._on_withdrawn: list[OnWithdrawn] = []

    def on_attempt_end(self, handler: OnAttemptEnd) -> None:
        """Call a handler with the outcome of each attempt that was not withdrawn."""
        self._on_attempt_end.append(handler)

    def on_withdrawn(self, handler: OnWithdrawn) -> None:
        """Call a handler for each request that was sent and withdrawn before its answer."""
        self._on_withdrawn.append(handler)

    def set_limits(self, connections_by_service: dict[str, int], members: int) -> None:
        """Set how many connections each service's targets accept from all boxes together."""
        self._limit_by_service = connections_by_service
        self._members = max(1, members)

    def close_unknown(self, incarnations: set[Incarnation]) -> None:
        """Close the idle connections to all other targets; requests that wait for one are refused.

        They would be sent as connections become free, seconds after a target has gone.
        """
        for incarnation in [
            known for known in self._pool_by_incarnation if known not in incarnations
        ]:
            pool = self._pool_by_incarnation[incarnation]
            pool.refuse_waiting()
            pool.close()
            if pool.unused:
                del self._pool_by_incarnation[incarnation]

    def refuse_waiting(self, incarnations: set[Incarnation]) -> None:
        """Refuse requests that wait for a connection to targets that get no new work."""
        for incarnation in incarnations & self._pool_by_incarnation.keys():
            self._pool_by_incarnation[incarnation].refuse_waiting()

    def send(self, attempt: TargetAttempt, on_end: OnTargetResult) -> None:
        """Send a request; `on_end` is called once unless the request is withdrawn."""
        target, request = attempt.target, attempt.request
        sent_at = self._clock()
        self._selector.sent(target, attempt.token, attempt.route, sent_at)
        distance = "far" if self._selector.is_far(target) else "near"
        self.sent_by_reason[attempt.reason, distance] += 1

        def build() -> Request:
            bounded = request
            if self._stop.is_set:
                deadline = min(request.deadline, self._stop.target_deadline)
                bounded = request._replace(deadline=deadline)
            return self._wire.target_request(bounded, target.instance, self._clock())

        def check(answer: Response) -> str:
            return self._wire.check_answer(request.request_id, answer)

        def ended(end: ExchangeResult) -> None:
            result = self._to_target_end(end, attempt.single)
            self.ended_by_outcome[(result.outcome.value,)] += 1
            availability = self._selector.ended(
                target, attempt.token, result.outcome, result.load, self._clock(), result.cold_s
            )
            self._log_end(attempt, result, availability, sent_at)
            for handler in self._on_attempt_end:
                handler(attempt, result.outcome, sent_at)
            on_end(result)

        self._pool(target).submit(
            Job(attempt.token, request.request_id, build, check, attempt.once, ended)
        )

    def is_waiting(self, token: object, target: Target) -> bool:
        """Return whether a request still waits for a connection to its target."""
        pool = self._pool_by_incarnation.get(target.incarnation)
        return pool is not None and pool.is_waiting(token)

    def withdraw(self, token: object, target: Target, fingerprint: bytes) -> None:
        """Withdraw a request."""
        self._selector.withdrawn(target, token, self._clock())
        pool = self._pool_by_incarnation.get(target.incarnation)
        if pool is not None and pool.cancel(token):
            for handler in self._on_withdrawn:
                handler(fingerprint, target)

    def _log_end(
        self,
        attempt: TargetAttempt,
        end: TargetResult,
        availability: TargetAvailability | None,
        sent_at: float,
    ) -> None:
        """Log a failed attempt, and a change of the target's availability."""
        target = attempt.target
        if end.outcome is not Outcome.OK:
            self._log.write(
                "target_failed",
                id=attempt.request.request_id,
                target=target.instance,
                service=target.service,
                outcome=end.outcome.value,
                detail=end.detail,
                why_sent=attempt.reason,
            )
        if end.outcome is Outcome.CLOSED:
            # An event of its own, since hundreds of refused connections would exhaust the line
            # limit of target_failed.
            self._log.write(
                "target_closed",
                id=attempt.request.request_id,
                fingerprint=attempt.request.fingerprint.hex(),
                target=target.instance,
                service=target.service,
                ran_ms=round((self._clock() - sent_at) * MILLISECONDS, 1),
                others_here=self._selector.in_flight(target),
            )
        if availability is not None:
            self._log.write(
                "target_belief",
                target=target.instance,
                service=target.service,
                belief=availability.value,
                after=end.outcome.value,
            )

    def _to_target_end(self, end: ExchangeResult, single: bool) -> TargetResult:
        if end.answer is not None:
            return self._wire.read_result(end.answer, single)
        return TargetResult(_OUTCOME_BY_KIND[end.outcome], None, b"", None, end.detail)

    def _pool(self, target: Target) -> TargetPool:
        pool = self._pool_by_incarnation.get(target.incarnation)
        if pool is None:
            host, port = split_address(target.address)
            pool = self._pool_by_incarnation[target.incarnation] = TargetPool(
                host, port, 0, self._answer_limits
            )
        allowed = self._limit_by_service.get(target.service, DEFAULT_CONNECTIONS * self._members)
        pool.limit = max(MIN_CONNECTIONS, int(allowed * CONNECTION_SHARE / self._members))
        return pool
