"""What this box knows of each target, judged by its answers, and the choice among them."""

from collections.abc import Iterable
from enum import StrEnum
from itertools import chain
from math import exp2
from random import Random
from typing import NamedTuple

from trackwheel.relay.const import (
    COLD_FACTOR,
    DISCONNECT_EJECT_S,
    DOWN_REST_S,
    EJECT_AFTER,
    EJECT_S,
    FAILURE_COST_AIMS,
    FAILURE_HALF_LIFE_S,
    FAILURE_WEIGHT,
    FAR_COST_AIMS,
    FASTER_WEIGHT,
    GONE_S,
    JITTER,
    LONGEST_DOWN_REST_S,
    LONGEST_EJECT_S,
    MOST_SLOWNESS,
    OTHER_DOMAIN_COST_AIMS,
    REPORT_LIFETIME_S,
    SLOWER_WEIGHT,
    SLOWNESS_HALF_LIFE_S,
    STALL_FACTOR,
)
from trackwheel.relay.models import Load, Outcome, Place, RouteKey, Target
from trackwheel.relay.pace import Paces


class Choice(NamedTuple):
    """One target with what it is expected to take (seconds) and whether it is a last resort.

    `usual_s` is what targets at such a distance take as a rule. One that refused a connection is
    not asked before `rests_until` (monotonic seconds).
    """

    target: Target
    usual_s: float
    expected_s: float
    cost_s: float
    last_resort: bool
    rests_until: float


class TargetBelief(StrEnum):
    """Say what this box begins to believe of a target."""

    OUT_OF_USE = "out_of_use"
    IN_USE = "in_use"


class Lack(StrEnum):
    """Say why no target of a service may get a request."""

    UNKNOWN = "no target is known"
    HOMES = "no target is in the regions that may serve it"
    BARRED = "every target is leaving or in an evacuated failure domain"
    TRIED = "no target, or no repeat, is left"


class _Flight(NamedTuple):
    started: float
    expected_s: float
    route: RouteKey


class _Record:
    """What is known of one target."""

    def __init__(self) -> None:
        self.flight_by_token: dict[object, _Flight] = {}
        self.slowness = 1.0
        self.slowness_at = 0.0
        self.failure_rate = 0.0
        self.failure_at = 0.0
        self.failures_in_a_row = 0
        self.ejected_until = 0.0
        self.gone_until = 0.0
        self.refused_in_a_row = 0
        self.rests_until = 0.0
        self.told_down_until = 0.0
        self.answered_at = float("-inf")
        self.load: Load | None = None
        self.load_at = 0.0

    def is_out(self, now: float) -> bool:
        """Return whether the target is a last resort, by the own failures or by another box's."""
        return max(self.ejected_until, self.told_down_until) > now


class Board:
    """Keep a record for each target and rank the targets of a service."""

    def __init__(self, place: Place, seed: int) -> None:
        self._place = place
        self._random = Random(seed)
        self._record_by_instance: dict[str, _Record] = {}
        self._paces = Paces()
        self._targets_by_service: dict[str, tuple[Target, ...]] = {}

    def set_targets(self, targets_by_service: dict[str, tuple[Target, ...]]) -> None:
        """Take the directory of targets; records of targets that are gone are dropped."""
        self._targets_by_service = targets_by_service
        known = {target.instance for found in targets_by_service.values() for target in found}
        self._record_by_instance = {
            instance: record
            for instance, record in self._record_by_instance.items()
            if instance in known or record.flight_by_token
        }

    def targets(self, service: str) -> tuple[Target, ...]:
        """Return the known targets of a service."""
        return self._targets_by_service.get(service, ())

    def domains(self, service: str) -> frozenset[str]:
        """Return the failure domains in which a service has targets."""
        return frozenset(target.place.failure_domain for target in self.targets(service))

    def is_far(self, target: Target) -> bool:
        """Return whether a target stands in another region."""
        return target.place.region != self._place.region

    def is_beside(self, target: Target) -> bool:
        """Return whether a target stands in this box's failure domain."""
        return target.place == self._place

    def usual_s(self, route: RouteKey, far: bool) -> float:
        """Return the usual time of a route's answers (seconds)."""
        return self._paces.get(route.name, far, route.aim_s).usual_s

    def sent(self, target: Target, token: object, route: RouteKey, now: float) -> None:
        """Take that a request went to a target."""
        record = self._record(target.instance)
        expected_s = self._expected(target, record, route, now)
        record.flight_by_token[token] = _Flight(now, expected_s, route)

    def withdrawn(self, target: Target, token: object, now: float) -> None:
        """Take that an unanswered request was taken back: it took at least so long."""
        record = self._record(target.instance)
        flight = record.flight_by_token.pop(token, None)
        if flight is None:
            return
        ratio = (now - flight.started) / max(1e-4, self._usual(target, flight.route))
        if ratio > self._slowness(record, now):
            self._learn_slowness(record, ratio, now)

    def ended(
        self, target: Target, token: object, outcome: Outcome, load: Load | None, now: float
    ) -> TargetBelief | None:
        """Take how a request to a target ended; return what is believed of it from now on."""
        record = self._record(target.instance)
        was_out = record.ejected_until > 0.0
        flight = record.flight_by_token.pop(token, None)
        if load is not None:
            record.load, record.load_at = load, now
        self._learn_failure(record, outcome, now)
        if outcome is Outcome.OK and flight is not None:
            self._learn_pace(target, record, flight, now)
        is_out = record.ejected_until > 0.0
        if is_out is was_out:
            return None
        return TargetBelief.OUT_OF_USE if is_out else TargetBelief.IN_USE

    def told_down(self, instance: str, failed_at: float, until: float) -> bool:
        """Take that another box could not connect to a target; return whether that is news.

        An answer that came here since then says more.
        """
        record = self._record_by_instance.get(instance)
        if record is None:
            if not any(t.instance == instance for t in self._all_targets()):
                return False
            record = self._record(instance)
        if record.answered_at >= failed_at or record.told_down_until >= until:
            return False
        record.told_down_until = until
        return True

    def _all_targets(self) -> Iterable[Target]:
        return chain.from_iterable(self._targets_by_service.values())

    def _learn_pace(self, target: Target, record: _Record, flight: _Flight, now: float) -> None:
        duration_s = now - flight.started
        usual_s = self._usual(target, flight.route)
        self._paces.get(flight.route.name, self.is_far(target), flight.route.aim_s).add(duration_s)
        self._learn_slowness(record, duration_s / max(1e-4, usual_s), now)

    def rank(
        self,
        service: str,
        route: RouteKey,
        now: float,
        tried: frozenset[str] = frozenset(),
        only_beside: bool = False,
    ) -> list[Choice]:
        """Return the targets that may get a request, the best one first.

        With `only_beside`, none but those of this box's failure domain.
        """
        choices = [
            self._choice(target, route, now)
            for target in self.targets(service)
            if not target.barred and target.instance not in tried
            if route.allows(target.place.region)
            if self._record(target.instance).gone_until <= now
            if not only_beside or target.place == self._place
        ]
        return sorted(choices, key=lambda choice: (choice.last_resort, choice.cost_s))

    def has_target_at(
        self, service: str, place: Place, now: float, tried: frozenset[str] = frozenset()
    ) -> bool:
        """Return whether a service has a target in a failure domain that is in use."""
        return any(
            target.place == place
            and target.instance not in tried
            and not target.barred
            and not target.doubtful
            and not self._record(target.instance).is_out(now)
            and self._record(target.instance).gone_until <= now
            for target in self.targets(service)
        )

    def lack(self, service: str, route: RouteKey) -> Lack:
        """Return why no target of a service may get a request of a route that has not begun."""
        targets = self.targets(service)
        if not targets:
            return Lack.UNKNOWN
        targets = tuple(target for target in targets if route.allows(target.place.region))
        if not targets:
            return Lack.HOMES
        if all(target.barred for target in targets):
            return Lack.BARRED
        return Lack.TRIED

    def _choice(self, target: Target, route: RouteKey, now: float) -> Choice:
        record = self._record(target.instance)
        expected_s = self._expected(target, record, route, now)
        failure_cost = self._failure_rate(record, now) * FAILURE_COST_AIMS
        place_cost = 0.0
        if self.is_far(target):
            place_cost = FAR_COST_AIMS
        elif target.place != self._place:
            place_cost = OTHER_DOMAIN_COST_AIMS
        cost_s = expected_s + (failure_cost + place_cost) * route.aim_s
        cost_s *= 1.0 + self._random.random() * JITTER
        last_resort = target.doubtful or record.is_out(now)
        usual_s = self._usual(target, route)
        return Choice(target, usual_s, expected_s, cost_s, last_resort, record.rests_until)

    def _expected(self, target: Target, record: _Record, route: RouteKey, now: float) -> float:
        """Return how long a request sent now is expected to take (seconds)."""
        slots = max(1, target.slots)
        busy = len(record.flight_by_token)
        if record.load is not None and now - record.load_at < REPORT_LIFETIME_S:
            busy = max(busy, record.load.running + record.load.waiting)
            slots = max(1, record.load.slots)
        rounds = max(1.0, (busy + 1) / slots)
        usual_s = self._usual(target, route)
        if now < target.cold_until:
            usual_s *= COLD_FACTOR
        slowness = max(1.0, self._slowness(record, now))
        return max(usual_s * rounds * slowness, self._stalled_s(record, now))

    def _stalled_s(self, record: _Record, now: float) -> float:
        """Return the age of the oldest answer that is awaited, if that is overdue."""
        oldest = 0.0
        for flight in record.flight_by_token.values():
            age = now - flight.started
            if age > STALL_FACTOR * flight.expected_s:
                oldest = max(oldest, age)
        return oldest

    def _usual(self, target: Target, route: RouteKey) -> float:
        return self.usual_s(route, self.is_far(target))

    def _slowness(self, record: _Record, now: float) -> float:
        fade = exp2((record.slowness_at - now) / SLOWNESS_HALF_LIFE_S)
        return 1.0 + (record.slowness - 1.0) * fade

    def _learn_slowness(self, record: _Record, ratio: float, now: float) -> None:
        before = self._slowness(record, now)
        ratio = min(MOST_SLOWNESS, ratio)
        weight = SLOWER_WEIGHT if ratio > before else FASTER_WEIGHT
        record.slowness = before + (ratio - before) * weight
        record.slowness_at = now

    def _failure_rate(self, record: _Record, now: float) -> float:
        return record.failure_rate * exp2((record.failure_at - now) / FAILURE_HALF_LIFE_S)

    def _learn_failure(self, record: _Record, outcome: Outcome, now: float) -> None:
        failed = 0.0 if outcome is Outcome.OK else 1.0
        before = self._failure_rate(record, now)
        record.failure_rate = before + (failed - before) * FAILURE_WEIGHT
        record.failure_at = now
        if outcome is not Outcome.NOT_SENT:
            record.refused_in_a_row = 0
            record.rests_until = 0.0
        if outcome is Outcome.OK:
            record.failures_in_a_row = 0
            record.ejected_until = record.gone_until = record.told_down_until = 0.0
            record.answered_at = now
            return
        if outcome is Outcome.NOT_RUN:
            return
        record.failures_in_a_row += 1
        if outcome is Outcome.ELSEWHERE:
            record.ejected_until = record.gone_until = now + GONE_S
        elif outcome is Outcome.NOT_SENT:
            record.ejected_until = now + DISCONNECT_EJECT_S
            rest_s = DOWN_REST_S * 2.0**record.refused_in_a_row
            record.rests_until = now + min(LONGEST_DOWN_REST_S, rest_s)
            record.refused_in_a_row += 1
        elif record.failures_in_a_row >= EJECT_AFTER:
            doublings = record.failures_in_a_row - EJECT_AFTER
            record.ejected_until = now + min(LONGEST_EJECT_S, EJECT_S * 2**doublings)

    def _record(self, instance: str) -> _Record:
        record = self._record_by_instance.get(instance)
        if record is None:
            record = self._record_by_instance[instance] = _Record()
        return record
