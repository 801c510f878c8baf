"""Selection of targets by the outcomes and response times that this box has observed."""

from collections.abc import Iterable
from enum import StrEnum
from itertools import chain
from random import Random
from typing import NamedTuple

from trackwheel.relay.models import Incarnation, Load, Outcome, Place, RouteKey, Target
from trackwheel.selection.cold import ColdTargetLimiter
from trackwheel.selection.const import (
    COLD_FACTOR,
    COST_JITTER,
    FAILURE_COST_AIMS,
    FAR_COST_AIMS,
    OTHER_DOMAIN_COST_AIMS,
)
from trackwheel.selection.record import InFlightRequest, TargetRecord
from trackwheel.selection.response_times import ResponseTimes


class Candidate(NamedTuple):
    """One target with its expected response time (seconds); a last resort ranks behind all others.

    `usual_s` is the usual response time at the target's distance, `high_s` a high quantile of it.
    A target that refused a connection gets no request before `rests_until` (monotonic seconds).
    """

    target: Target
    usual_s: float
    high_s: float
    expected_s: float
    cost_s: float
    last_resort: bool
    rests_until: float


class TargetAvailability(StrEnum):
    """Whether this box has just ejected a target or taken it back into use."""

    OUT_OF_USE = "out_of_use"
    IN_USE = "in_use"


class NoTargetReason(StrEnum):
    """Why no target of a service may get a request."""

    UNKNOWN = "no target is known"
    HOMES = "no target is in the regions that may serve it"
    BARRED = "every target is leaving or in an evacuated failure domain"
    COLD = "every target is cold and has got as much as it bears"
    TRIED = "no target, or no repeat, is left"


class TargetSelector:
    """Keeps a record for each target and ranks the targets of a service."""

    def __init__(
        self, place: Place, seed: int, cold_limiter: ColdTargetLimiter | None = None
    ) -> None:
        self._place = place
        self._random = Random(seed)
        self._cold_limiter = cold_limiter
        self._record_by_incarnation: dict[Incarnation, TargetRecord] = {}
        """Keyed by incarnation, so that a restarted target begins with an empty record."""
        self._response_times = ResponseTimes()
        self._targets_by_service: dict[str, tuple[Target, ...]] = {}

    def set_targets(self, targets_by_service: dict[str, tuple[Target, ...]], now: float) -> None:
        """Set the known targets; drop records of others that have no request in flight."""
        before = self._targets_by_service
        self._targets_by_service = targets_by_service
        known = {target.incarnation for target in self._all_targets()}
        self._record_by_incarnation = {
            incarnation: record
            for incarnation, record in self._record_by_incarnation.items()
            if incarnation in known or record.in_flight_by_token
        }
        if self._cold_limiter is not None:
            self._cold_limiter.retain(known)
            self._assume_returned_cold(chain.from_iterable(before.values()), now)

    def targets(self, service: str) -> tuple[Target, ...]:
        """Return the known targets of a service."""
        return self._targets_by_service.get(service, ())

    def domains(self, service: str) -> frozenset[str]:
        """Return the failure domains in which a service has targets."""
        return frozenset(target.place.failure_domain for target in self.targets(service))

    def is_far(self, target: Target) -> bool:
        """Return whether a target is in another region."""
        return target.place.region != self._place.region

    def is_local(self, target: Target) -> bool:
        """Return whether a target is in this box's failure domain."""
        return target.place == self._place

    def usual_s(self, route: RouteKey, far: bool) -> float:
        """Return the usual response time of a route (seconds)."""
        return self._response_times.get(route.name, far, route.aim_s).usual_s

    def high_s(self, route: RouteKey, far: bool) -> float:
        """Return the time within which nearly all answers of a route arrive (seconds)."""
        return self._response_times.get(route.name, far, route.aim_s).high_s

    def in_flight(self, target: Target) -> int:
        """Return the number of this box's requests that the target has not answered yet."""
        return len(self._record(target).in_flight_by_token)

    def slots(self, target: Target, now: float) -> int:
        """Return how many requests a target runs at once, as it told last."""
        load = self._record(target).load(now)
        return target.slots if load is None else load.slots

    def sent(self, target: Target, token: object, route: RouteKey, now: float) -> None:
        """Record that a request was sent to a target."""
        record = self._record(target)
        expected_s = self._expected_s(target, record, route, now)
        record.in_flight_by_token[token] = InFlightRequest(now, expected_s, route)
        if self._cold_limiter is not None:
            self._cold_limiter.sent(target, now)

    def withdrawn(self, target: Target, token: object, now: float) -> None:
        """Record that an unanswered request was withdrawn; its age is a lower bound of its time."""
        record = self._record(target)
        flight = record.in_flight_by_token.pop(token, None)
        if flight is None:
            return
        ratio = (now - flight.started) / max(1e-4, self._usual_s(target, flight.route))
        if ratio > record.slowness(now):
            record.add_slowness_sample(ratio, now)

    def ended(
        self,
        target: Target,
        token: object,
        outcome: Outcome,
        load: Load | None,
        now: float,
        cold_s: float = 0.0,
    ) -> TargetAvailability | None:
        """Record the outcome of a request; return the target's availability if it changed."""
        record = self._record(target)
        was_ejected = record.is_ejected
        flight = record.in_flight_by_token.pop(token, None)
        if load is not None:
            record.update_load(load, now)
        if cold_s > 0.0:
            record.cold_until = max(record.cold_until, now + cold_s)
        record.add_outcome(outcome, now)
        if outcome is Outcome.OK and flight is not None:
            self._record_response_time(target, record, flight, now)
        if record.is_ejected is was_ejected:
            return None
        return TargetAvailability.OUT_OF_USE if record.is_ejected else TargetAvailability.IN_USE

    def report_down(self, incarnation: Incarnation, failed_at: float, until: float) -> bool:
        """Record that another box could not connect to a target; return whether this had effect.

        An answer received here after that failure takes precedence.
        """
        target = next((t for t in self._all_targets() if t.incarnation == incarnation), None)
        if target is None:
            return False
        record = self._record(target)
        if record.answered_at >= failed_at or record.reported_down_until >= until:
            return False
        record.reported_down_until = until
        return True

    def rank(
        self,
        service: str,
        route: RouteKey,
        now: float,
        tried: frozenset[str] = frozenset(),
        own_domain_only: bool = False,
    ) -> list[Candidate]:
        """Return the targets that may get a request, the best one first.

        With `own_domain_only`, only targets in this box's failure domain are ranked.
        """
        choices = [
            self._candidate(target, route, now)
            for target in self.targets(service)
            if target.instance not in tried and (not own_domain_only or target.place == self._place)
            if route.allows(target.place.region)
            if self._may_ask(target, now)
        ]
        return sorted(choices, key=lambda choice: (choice.last_resort, choice.cost_s))

    def has_target_at(
        self, service: str, place: Place, now: float, tried: frozenset[str] = frozenset()
    ) -> bool:
        """Return whether a service has a target in use in a failure domain.

        A cold target with a request limit counts only if all of the service's targets are such.
        """
        targets_in_use = [
            target
            for target in self.targets(service)
            if target.place == place
            and target.instance not in tried
            and self._is_in_use(target, now)
        ]
        if any(not self._is_limited_as_cold(target, now) for target in targets_in_use):
            return True
        return bool(targets_in_use) and all(
            target.excluded or self._is_limited_as_cold(target, now)
            for target in self.targets(service)
        )

    def no_target_reason(self, service: str, route: RouteKey, now: float) -> NoTargetReason:
        """Return why no target of a service may get a new request of a route."""
        targets = self.targets(service)
        if not targets:
            return NoTargetReason.UNKNOWN
        if not any(route.allows(target.place.region) for target in targets):
            return NoTargetReason.HOMES
        open_targets = self._open_targets(service, route)
        if not open_targets:
            return NoTargetReason.BARRED
        if all(self._is_limited_as_cold(target, now) for target in open_targets):
            return NoTargetReason.COLD
        return NoTargetReason.TRIED

    def may_ask_soon(self, service: str, route: RouteKey, now: float) -> bool:
        """Return whether a cold target will accept another request within a second."""
        return self._cold_limiter is not None and any(
            self._is_limited_as_cold(target, now) and self._cold_limiter.share(target, now) > 0
            for target in self._open_targets(service, route)
        )

    def warm_in_s(self, service: str, route: RouteKey, now: float) -> float:
        """Return the seconds until the first target is warm if all are limited as cold, else 0."""
        if self.no_target_reason(service, route, now) is not NoTargetReason.COLD:
            return 0.0
        open_targets = self._open_targets(service, route)
        return min(self._cold_until(target) - now for target in open_targets)

    def _open_targets(self, service: str, route: RouteKey) -> list[Target]:
        """Return the targets that the route's homes allow and that are not excluded."""
        return [
            target
            for target in self.targets(service)
            if route.allows(target.place.region) and not target.excluded
        ]

    def _all_targets(self) -> Iterable[Target]:
        return chain.from_iterable(self._targets_by_service.values())

    def _record_response_time(
        self, target: Target, record: TargetRecord, flight: InFlightRequest, now: float
    ) -> None:
        duration_s = now - flight.started
        usual_s = self._usual_s(target, flight.route)
        self._response_times.get(flight.route.name, self.is_far(target), flight.route.aim_s).add(
            duration_s
        )
        record.add_slowness_sample(duration_s / max(1e-4, usual_s), now)

    def _assume_returned_cold(self, before: Iterable[Target], now: float) -> None:
        """Treat targets as cold once their evacuation ends: they may have restarted during it.

        They report that only with their next heartbeat; until then they would get the usual load,
        which is many times what a cold target can take.
        """
        excluded = {target.incarnation for target in before if target.excluded}
        for target in self._all_targets():
            if target.incarnation in excluded and not target.excluded:
                duration_s = (
                    self._cold_limiter.limit_of(target.service).duration_s
                    if self._cold_limiter
                    else 0.0
                )
                record = self._record(target)
                record.cold_until = max(record.cold_until, now + duration_s)

    def _is_in_use(self, target: Target, now: float) -> bool:
        """Return whether a target may get new requests and is not a last resort."""
        if target.excluded or target.presumed_gone:
            return False
        record = self._record(target)
        return not record.is_last_resort(now) and record.gone_until <= now

    def _may_ask(self, target: Target, now: float) -> bool:
        """Return whether a target may get a request at all."""
        if target.excluded or self._record(target).gone_until > now:
            return False
        return not self._is_limited_as_cold(target, now) or (
            self._cold_limiter is not None and self._cold_limiter.allows(target, now)
        )

    def _is_limited_as_cold(self, target: Target, now: float) -> bool:
        """Return whether a target is cold and its service limits requests to cold targets."""
        if self._cold_limiter is None or now >= self._cold_until(target):
            return False
        return self._cold_limiter.limit_of(target.service).requests_per_s > 0.0

    def _cold_until(self, target: Target) -> float:
        return max(target.cold_until, self._record(target).cold_until)

    def _candidate(self, target: Target, route: RouteKey, now: float) -> Candidate:
        record = self._record(target)
        expected_s = self._expected_s(target, record, route, now)
        failure_cost = record.failure_rate(now) * FAILURE_COST_AIMS
        distance_cost = 0.0
        if self.is_far(target):
            distance_cost = FAR_COST_AIMS
        elif target.place != self._place:
            distance_cost = OTHER_DOMAIN_COST_AIMS
        cost_s = expected_s + (failure_cost + distance_cost) * route.aim_s
        cost_s *= 1.0 + self._random.random() * COST_JITTER
        last_resort = target.presumed_gone or record.is_last_resort(now)
        times = self._response_times.get(route.name, self.is_far(target), route.aim_s)
        return Candidate(
            target,
            times.usual_s,
            times.high_s,
            expected_s,
            cost_s,
            last_resort,
            record.backoff_until,
        )

    def _expected_s(
        self, target: Target, record: TargetRecord, route: RouteKey, now: float
    ) -> float:
        """Return the expected response time of a request sent now (seconds)."""
        slots = max(1, target.slots)
        busy = len(record.in_flight_by_token)
        load = record.load(now)
        if load is not None:
            busy = max(busy, load.running + load.waiting)
            slots = max(1, load.slots)
        queue_rounds = max(1.0, (busy + 1) / slots)
        usual_s = self._usual_s(target, route)
        if now < self._cold_until(target):
            usual_s *= COLD_FACTOR
        slowness = max(1.0, record.slowness(now))
        return max(usual_s * queue_rounds * slowness, record.stalled_s(now))

    def _usual_s(self, target: Target, route: RouteKey) -> float:
        return self.usual_s(route, self.is_far(target))

    def _record(self, target: Target) -> TargetRecord:
        record = self._record_by_incarnation.get(target.incarnation)
        if record is None:
            record = self._record_by_incarnation[target.incarnation] = TargetRecord()
        return record
