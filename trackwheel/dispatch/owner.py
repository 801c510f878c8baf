"""The decisions of one owner over all of its targets."""

from typing import NamedTuple

from trackwheel.dispatch.const import LEAST_RETRY_AFTER_S, MAX_NOTES
from trackwheel.dispatch.line import TargetLine
from trackwheel.dispatch.models import (
    DispatchCommand,
    Ended,
    ExecuteAsk,
    LineEstimate,
    Outcome,
    PermitUnused,
    Refuse,
    Scatter,
    Withdraw,
    Work,
    WorkKey,
)
from trackwheel.dispatch.wakes import Wakes
from trackwheel.files.models import NOTHING_IN_FORCE, InForce, ServiceSpec
from trackwheel.fleet.models import LeavingTarget


class LineState(NamedTuple):
    """Describe one target for metrics and operators."""

    target: str
    running: int
    waiting: int
    limit: int
    leaving: bool
    ejected: bool


class Owner:
    """Route events to the lines of the targets and keep a line only while it is used."""

    def __init__(self) -> None:
        self._in_force = NOTHING_IN_FORCE
        self._targets_by_service: dict[str, tuple[ServiceSpec, frozenset[str]]] = {}
        self._line_by_target: dict[str, TargetLine] = {}
        self._note_by_target: dict[str, LeavingTarget] = {}
        self._wakes = Wakes()

    def states(self, now: float) -> list[LineState]:
        """Return the state of every line."""
        return [
            LineState(
                line.target,
                line.running,
                line.waiting,
                line.limit,
                line.leaving,
                line.ejected(now),
            )
            for line in self._line_by_target.values()
        ]

    def estimate(self, target: str) -> LineEstimate | None:
        """Return what is expected of a target, None when it has no line."""
        line = self._line_by_target.get(target)
        return line.estimate() if line is not None else None

    def busy(self) -> bool:
        """Return whether any work waits or runs."""
        return any(line.running or line.waiting for line in self._line_by_target.values())

    def set_in_force(self, in_force: InForce) -> list[DispatchCommand]:
        """Take the files in force; a target that they no longer name gets nothing new."""
        self._in_force = in_force
        commands: list[DispatchCommand] = []
        for target, line in self._line_by_target.items():
            removed = self._named(line.service, target) is None
            commands += self._touched(line, line.set_removed(removed))
        return commands

    def _named(self, service_name: str, target: str) -> ServiceSpec | None:
        """Return the service if the files in force name the target in it.

        Only services that are asked for are looked through, so that a change of files costs
        a box what it uses and not what the fleet has.
        """
        service = self._in_force.service_by_name.get(service_name)
        if service is None:
            return None
        held = self._targets_by_service.get(service_name)
        if held is None or held[0] is not service:
            instances = service.targets_by_instance
            addresses = frozenset(t.address for instance in instances for t in instance)
            held = self._targets_by_service[service_name] = (service, addresses)
        return service if target in held[1] else None

    def scatter(self, gateway: str, message: Scatter, now: float) -> list[DispatchCommand]:
        """Take a query's sub-requests."""
        commands: list[DispatchCommand] = []
        deadline = now + message.deadline_ms / 1000
        for ask in message.asks:
            work = Work(
                key=WorkKey(gateway, message.query_id, ask.nonce, ask.target),
                service=message.service,
                group=message.group,
                deadline=deadline,
                version=message.version,
                text=message.query,
                last_resort=ask.last_resort,
            )
            commands += self._offer(work, now)
        return commands

    def execute(self, gateway: str, message: ExecuteAsk, now: float) -> list[DispatchCommand]:
        """Take a request that may run only once."""
        work = Work(
            key=WorkKey(gateway, message.query_id, message.nonce, message.target),
            service=message.service,
            group=message.group,
            deadline=now + message.deadline_ms / 1000,
            version=None,
            text=message.body,
            last_resort=False,
            request_id=message.request_id,
            gateway_boot=message.gateway_boot,
        )
        return self._offer(work, now)

    def withdraw(self, gateway: str, message: Withdraw, now: float) -> list[DispatchCommand]:
        """Take sub-requests back."""
        commands: list[DispatchCommand] = []
        for ask in message.asks:
            line = self._line_by_target.get(ask.target)
            if line is not None:
                key = WorkKey(gateway, message.query_id, ask.nonce, ask.target)
                commands += self._touched(line, line.withdraw(key, now))
        return commands

    def gateway_lost(self, gateway: str, now: float) -> list[DispatchCommand]:
        """Take back everything of a gateway that nobody can answer any more."""
        commands: list[DispatchCommand] = []
        for line in self._line_by_target.values():
            for key in line.keys_of(gateway):
                commands += self._touched(line, line.withdraw(key, now))
        return commands

    def permit(self, key: WorkKey, granted: bool, now: float) -> list[DispatchCommand]:
        """Take a gateway's answer to a permit request."""
        line = self._line_by_target.get(key.target)
        if line is None:
            return [PermitUnused(key)] if granted else []
        return self._touched(line, line.permit(key, granted, now))

    def ended(self, event: Ended, now: float) -> list[DispatchCommand]:
        """Take the end of a request at a target."""
        line = self._line_by_target.get(event.key.target)
        return self._touched(line, line.ended(event, now)) if line is not None else []

    def health(
        self, target: str, reachable: bool, boot: str, leaving: bool, now: float
    ) -> list[DispatchCommand]:
        """Take what a target's health page says."""
        line = self._line_by_target.get(target)
        if line is None:
            return []
        return self._touched(line, line.health(reachable, boot, leaving, now))

    def apply_leaving_report(self, notes: tuple[LeavingTarget, ...]) -> list[DispatchCommand]:
        """Take reports of other boxes that targets are leaving."""
        commands: list[DispatchCommand] = []
        for note in notes:
            self._note_by_target.pop(note.address, None)
            self._note_by_target[note.address] = note
            if len(self._note_by_target) > MAX_NOTES:
                del self._note_by_target[next(iter(self._note_by_target))]
            line = self._line_by_target.get(note.address)
            if line is not None:
                commands += self._touched(line, line.apply_leaving_report(note.target_boot))
        return commands

    def tick(self, now: float) -> list[DispatchCommand]:
        """Do what is due and forget lines that nobody uses."""
        commands: list[DispatchCommand] = []
        for target in self._wakes.take_due(now):
            line = self._line_by_target[target]
            if line.idle(now):
                del self._line_by_target[target]
                continue
            commands += line.tick(now)
            self._wakes.set(target, line.next_wake())
        return commands

    def next_wake(self) -> float:
        """Return when `tick` is next needed (seconds)."""
        return self._wakes.next()

    def _touched(self, line: TargetLine, commands: list[DispatchCommand]) -> list[DispatchCommand]:
        """Return the commands of a line that took an event, and note when it is next due."""
        self._wakes.set(line.target, line.next_wake())
        return commands

    def delay(self, work: Work, now: float) -> float:
        """Return how long more work like this would wait (seconds)."""
        line = self._line_by_target.get(work.target)
        if line is None:
            return 0.0
        return line.delay(work.group, self._share(work.group), work.deadline, now)

    def _share(self, group: str) -> float:
        spec = self._in_force.group_by_name.get(group)
        return spec.share if spec is not None else 1.0

    def _offer(self, work: Work, now: float) -> list[DispatchCommand]:
        service = self._named(work.service, work.target)
        if service is None:
            return [Refuse(work, Outcome.UNKNOWN_TARGET, 0.0, LEAST_RETRY_AFTER_S)]
        commands: list[DispatchCommand] = []
        line = self._line_by_target.get(work.target)
        if line is None:
            line = TargetLine(work.target, service, now)
            self._line_by_target[work.target] = line
            note = self._note_by_target.get(work.target)
            commands += line.first_commands
            if note is not None:
                commands += self._touched(line, line.apply_leaving_report(note.target_boot))
        offered = line.offer(work, self._share(work.group), now)
        return commands + self._touched(line, offered)
