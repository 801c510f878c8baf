"""The lines of requests at all targets of one box, and what became of the requests."""

from collections import Counter
from collections.abc import Callable, Hashable, Iterable
from math import inf
from typing import NamedTuple

from trackwheel.admission.models import Drop, LineCommand, Send, WaitingRequest
from trackwheel.admission.target_line import TargetLine
from trackwheel.relay.models import (
    OPEN_GATE,
    CallerRequest,
    Incarnation,
    SendGate,
    SendPermission,
    Target,
)
from trackwheel.telemetry.events import EventLog
from trackwheel.telemetry.figures import Figures
from trackwheel.units import MILLISECONDS


class LineRequest(NamedTuple):
    """A request for a target; `send` sends it, `refuse` ends it without having sent it.

    `answer_at` is the last moment to answer within the target latency, `end_at` the last moment to
    answer at all (monotonic seconds). `gate` decides whether it may be sent to targets at all.
    """

    token: Hashable
    caller: CallerRequest
    target: Target
    route: str
    answer_at: float
    end_at: float
    send: Callable[[], None]
    refuse: Callable[[], None]
    gate: SendGate = OPEN_GATE


WakeAt = Callable[[float, Callable[[float], None]], None]
"""Calls an action at a time, with the time by then (monotonic seconds)."""


class TargetLines:
    """Sends requests to targets in the order of their lines, or at once while not enabled."""

    def __init__(
        self,
        slots: Callable[[Target, float], int],
        wake_at: WakeAt,
        log: EventLog,
        figures: Figures,
    ) -> None:
        self._wake_at = wake_at
        self._awaiting_room: set[Incarnation] = set()
        self._slots = slots
        self._log = log
        self._figures = figures
        self._line_by_incarnation: dict[Incarnation, TargetLine] = {}
        self._waiting_by_token: dict[Hashable, LineRequest] = {}
        self.enabled = False
        self.waited_by_outcome: Counter[tuple[str, str, str]] = Counter()
        """Requests that had to wait, by route, group and what became of them."""

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting_by_token)

    def submit(self, request: LineRequest, now: float) -> None:
        """Send a request when its target has room for it."""
        if not self.enabled:
            request.send()
            return
        target, caller = request.target, request.caller
        line = self._line_by_incarnation.setdefault(target.incarnation, TargetLine())
        queued = WaitingRequest(
            request.token,
            caller.group,
            caller.precedence,
            request.answer_at,
            request.end_at,
            now,
        )
        self._waiting_by_token[request.token] = request
        self._perform(line, line.submit(queued, self._slots(target, now), now), now)
        self._await_room(line, target, now)

    def ended(self, token: Hashable, target: Target, answered: bool, now: float) -> None:
        """Handle the end of a request that was sent, or its withdrawal."""
        line = self._line_by_incarnation.get(target.incarnation)
        if line is not None:
            self._perform(line, line.ended(token, self._slots(target, now), answered, now), now)

    def demote(self, token: Hashable, target: Target) -> None:
        """Put a waiting request behind the others: the answer is possible without it."""
        line = self._line_by_incarnation.get(target.incarnation)
        if line is not None:
            line.demote(token)

    def withdraw(self, token: Hashable, target: Target, now: float) -> bool:
        """Withdraw a request; return whether it had not been sent yet."""
        line = self._line_by_incarnation.get(target.incarnation)
        if line is None:
            return False
        # One that was dropped has no entry in its line any more.
        waiting = self._waiting_by_token.pop(token, None)
        queued = line.withdraw(token, now)
        if waiting is not None and queued is not None:
            self._record(waiting, queued, line, "withdrawn", now)
        return waiting is not None

    def retain(self, incarnations: set[Incarnation], now: float) -> None:
        """Drop the lines of all other targets; what waits there is refused."""
        self.refuse_waiting(self._line_by_incarnation.keys() - incarnations, now)
        for incarnation in self._line_by_incarnation.keys() - incarnations:
            if not self._line_by_incarnation[incarnation].in_flight:
                del self._line_by_incarnation[incarnation]

    def refuse_waiting(self, incarnations: Iterable[Incarnation], now: float) -> None:
        """Refuse the requests that wait for targets which get no new work."""
        for incarnation in incarnations:
            line = self._line_by_incarnation.get(incarnation)
            for queued in line.take_waiting(now) if line is not None else ():
                request = self._waiting_by_token.pop(queued.key, None)
                if line is not None and request is not None:
                    self._record(request, queued, line, "refused", now)
                    request.refuse()

    def _await_room(self, line: TargetLine, target: Target, now: float) -> None:
        """Look at a line again once its target has room, even if no request ends there."""
        room_at = line.next_room_at(now)
        if room_at == inf or target.incarnation in self._awaiting_room:
            return

        def look(now: float) -> None:
            self._awaiting_room.discard(target.incarnation)
            self._perform(line, line.fill(self._slots(target, now), now), now)
            self._await_room(line, target, now)

        self._awaiting_room.add(target.incarnation)
        self._wake_at(room_at, look)

    def _perform(self, line: TargetLine, commands: list[LineCommand], now: float) -> None:
        for command in commands:
            match command:
                case Send(queued):
                    request = self._waiting_by_token.pop(queued.key, None)
                    if request is None:
                        continue
                    self._send(request, queued, line, now)
                case Drop(queued):
                    # Whoever asked withdraws it, which is due within the time of one answer.
                    request = self._waiting_by_token.get(queued.key)
                    if request is not None:
                        self._record(request, queued, line, "dropped", now)

    def _send(
        self, request: LineRequest, queued: WaitingRequest, line: TargetLine, now: float
    ) -> None:
        """Send a request, unless it was quarantined while it waited."""
        waited = queued.since < now
        if waited and request.gate.permission(now) is SendPermission.SHUT:
            # Whoever asked ends it for the same reason.
            self._record(request, queued, line, "held", now)
            self.ended(request.token, request.target, False, now)
            return
        if waited:
            self._record(request, queued, line, "sent", now)
        request.send()

    def _record(
        self,
        request: LineRequest,
        queued: WaitingRequest,
        line: TargetLine,
        outcome: str,
        now: float,
    ) -> None:
        """Count and log what became of a request that had to wait."""
        waited_s = now - queued.since
        caller = request.caller
        self.waited_by_outcome[request.route, caller.group, outcome] += 1
        self._figures.observe_wait(request.route, waited_s)
        self._log.write(
            "target_wait",
            id=caller.request_id,
            route=request.route,
            group=caller.group,
            target=request.target.instance,
            outcome=outcome,
            waited_ms=round(waited_s * MILLISECONDS, 1),
            left_ms=round((request.end_at - now) * MILLISECONDS, 1),
            late=now > request.answer_at,
            in_flight=line.in_flight,
            waiting=line.waiting,
        )
