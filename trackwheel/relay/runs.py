"""Runners that perform the I/O for the decision logic of one request."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from trackwheel.clock import steady_now
from trackwheel.gathering.gather import Gather
from trackwheel.gathering.gather_models import (
    CancelGroup,
    CancelPart,
    Declined,
    GatherCommand,
    Gathered,
    GatherFailed,
    PeerSilent,
    SendGroup,
    SendPart,
)
from trackwheel.gathering.merge import top_records
from trackwheel.relay.causes import Cause
from trackwheel.relay.models import CallerRequest, Outcome, Part, RouteKey, Target, TargetResult
from trackwheel.relay.single import (
    CancelSingle,
    SendSingle,
    Single,
    SingleAnswered,
    SingleCommand,
    SingleFailed,
)
from trackwheel.relay.timer import Timer
from trackwheel.relay.transport import TargetAttempt, TargetTransport


class GatherTask(NamedTuple):
    """A query and its decision logic."""

    request: CallerRequest
    gather: Gather


class GroupSender(Protocol):
    """Sends groups of shards to peers."""

    def send_group(self, run: "GatherRun", command: SendGroup) -> None:
        """Send a group to its peer."""

    def cancel_group(self, run: "GatherRun", command: CancelGroup) -> None:
        """Cancel a group."""

    def peer_silent(self, command: PeerSilent) -> None:
        """Record that a peer did not accept or report in time."""

    def forget(self, run: "GatherRun") -> None:
        """Drop the groups of a finished query."""


class _OutstandingRequest(NamedTuple):
    token: object
    target: Target


class _OutstandingRequests:
    """The outstanding requests of one run, by the numbers that its decision logic assigns."""

    def __init__(
        self,
        transport: TargetTransport,
        request: CallerRequest,
        route: RouteKey,
    ) -> None:
        self._transport = transport
        self._request = request
        self._route = route
        self._request_by_number: dict[int, _OutstandingRequest] = {}

    def send(
        self,
        number: int,
        target: Target,
        reason: str,
        on_end: Callable[[int, TargetResult], None],
        single: bool = False,
        once: bool = False,
    ) -> None:
        """Send the request to a target; `on_end` is called unless it is withdrawn."""

        def end(result: TargetResult) -> None:
            self._request_by_number.pop(number, None)
            on_end(number, result)

        token = object()
        self._request_by_number[number] = _OutstandingRequest(token, target)
        attempt = TargetAttempt(token, self._request, target, self._route, reason, single, once)
        self._transport.send(attempt, end)

    def withdraw(self, number: int, target: Target) -> None:
        """Withdraw a request."""
        token = self._request_by_number.pop(number).token
        self._transport.withdraw(token, target, self._request.fingerprint)

    def unsent(self) -> list[int]:
        """Return the requests that still wait for a connection to their target."""
        return [
            number
            for number, request in self._request_by_number.items()
            if self._transport.is_waiting(request.token, request.target)
        ]


class GatherRun:
    """Executes the commands of one scatter-gather query."""

    def __init__(
        self,
        task: GatherTask,
        transport: TargetTransport,
        groups: GroupSender,
        on_done: Callable[[Gathered | GatherFailed], None],
        on_part: Callable[[], None] | None = None,
        on_declined: Callable[[Declined], None] | None = None,
    ) -> None:
        self.task = task
        self._gather = task.gather
        self._requests = _OutstandingRequests(transport, task.request, task.gather.plan.route)
        self._groups = groups
        self._on_done = on_done
        self._on_part = on_part
        self._on_declined = on_declined
        self._timer = Timer(self._tick)

    @property
    def waits_for(self) -> Cause | None:
        """Return why there is no answer yet."""
        return self._gather.waits_for

    def start(self) -> None:
        """Begin."""
        self.perform(self._gather.start(steady_now()))

    def stop(self) -> None:
        """End with what was received, since this box stops."""
        self.perform(self._gather.stop(steady_now()))

    def cancel(self) -> None:
        """Stop since nobody waits any more."""
        self.perform(self._gather.cancel())
        self._close()

    def perform(self, commands: list[GatherCommand]) -> None:
        """Execute commands and set the timer for the next tick."""
        done: Gathered | GatherFailed | None = None
        for command in commands:
            match command:
                case SendPart(number, _, target, reason):
                    self._requests.send(number, target, reason, self._ended)
                case CancelPart(number, target):
                    self._requests.withdraw(number, target)
                case SendGroup():
                    self._groups.send_group(self, command)
                case CancelGroup():
                    self._groups.cancel_group(self, command)
                case Declined():
                    assert (
                        self._on_declined is not None
                    ), "only a query delegated by a peer is declined"
                    self._on_declined(command)
                case PeerSilent():
                    self._groups.peer_silent(command)
                case Gathered() | GatherFailed():
                    done = command
        if done is not None:
            self._close()
            self._on_done(done)
        elif not self._gather.ended:
            self._timer.set(self._gather.next_wake())

    def _close(self) -> None:
        """Drop what refers back to this run, so that its state is freed at once."""
        self._timer.close()
        self._on_part = self._on_declined = None
        self._groups.forget(self)

    def _tick(self) -> None:
        self.perform(self._gather.tick(steady_now()))

    def _ended(self, number: int, result: TargetResult) -> None:
        part = None
        if result.outcome is Outcome.OK and result.answer is not None:
            part = Part(result.signature, top_records(result.answer.body, self._gather.plan.top_k))
        self.perform(self._gather.part_ended(number, result, part, steady_now()))
        if part is not None and self._on_part is not None:
            self._on_part()


class SingleRun:
    """Executes the commands of one request to a single target."""

    def __init__(
        self,
        request: CallerRequest,
        single: Single,
        transport: TargetTransport,
        on_done: Callable[[SingleAnswered | SingleFailed], None],
    ) -> None:
        self._single = single
        self._requests = _OutstandingRequests(transport, request, single.plan.route)
        self._on_done = on_done
        self._timer = Timer(self._tick)

    @property
    def waits_for(self) -> Cause | None:
        """Return why there is no answer yet."""
        return self._single.waits_for

    def start(self) -> None:
        """Begin."""
        self._perform(self._single.start(steady_now()))

    def stop(self) -> None:
        """Fail the request, since this box stops."""
        self._perform(self._single.stop(self._requests.unsent(), steady_now()))

    def cancel(self) -> None:
        """Stop since nobody waits any more."""
        self._perform(self._single.cancel())
        self._timer.close()

    def _tick(self) -> None:
        self._perform(self._single.tick(steady_now()))

    def _ended(self, number: int, result: TargetResult) -> None:
        self._perform(self._single.target_ended(number, result, steady_now()))

    def _perform(self, commands: list[SingleCommand]) -> None:
        done: SingleAnswered | SingleFailed | None = None
        for command in commands:
            match command:
                case SendSingle(number, target, reason):
                    once = not self._single.plan.repeatable
                    self._requests.send(number, target, reason, self._ended, single=True, once=once)
                case CancelSingle(number, target):
                    self._requests.withdraw(number, target)
                case SingleAnswered() | SingleFailed():
                    done = command
        if done is not None:
            self._timer.close()
            self._on_done(done)
        elif not self._single.ended:
            self._timer.set(self._single.next_wake())
