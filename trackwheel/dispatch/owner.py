"""Scheduling of the work for all targets of one owner."""

from typing import NamedTuple

from trackwheel.dispatch.const import MAX_LEAVING_REPORTS, MIN_RETRY_AFTER_S
from trackwheel.dispatch.models import (
    DispatchCommand,
    ExecuteAsk,
    Outcome,
    Refuse,
    RequestEnded,
    ReturnPermit,
    Scatter,
    TargetEstimate,
    Withdraw,
    Work,
    WorkKey,
)
from trackwheel.dispatch.target_scheduler import TargetScheduler
from trackwheel.dispatch.wake_schedule import WakeSchedule
from trackwheel.files.models import NOTHING_IN_FORCE, InForce, ServiceSpec
from trackwheel.fleet.models import LeavingTarget


class TargetState(NamedTuple):
    """State of one target for metrics and operators."""

    target: str
    running: int
    waiting: int
    limit: int
    leaving: bool
    ejected: bool


class Owner:
    """Route events to the schedulers of the targets, which exist only while they are in use."""

    def __init__(self) -> None:
        self._in_force = NOTHING_IN_FORCE
        self._targets_by_service: dict[str, tuple[ServiceSpec, frozenset[str]]] = {}
        self._scheduler_by_target: dict[str, TargetScheduler] = {}
        self._leaving_report_by_target: dict[str, LeavingTarget] = {}
        self._wake_schedule = WakeSchedule()

    def states(self, now: float) -> list[TargetState]:
        """Return the state of every target that has a scheduler."""
        return [
            TargetState(
                scheduler.target,
                scheduler.running,
                scheduler.waiting,
                scheduler.limit,
                scheduler.leaving,
                scheduler.ejected(now),
            )
            for scheduler in self._scheduler_by_target.values()
        ]

    def estimate(self, target: str) -> TargetEstimate | None:
        """Return the estimates for a target, None if it has no scheduler."""
        scheduler = self._scheduler_by_target.get(target)
        return scheduler.estimate() if scheduler is not None else None

    def busy(self) -> bool:
        """Return whether any work is queued or running."""
        return any(
            scheduler.running or scheduler.waiting
            for scheduler in self._scheduler_by_target.values()
        )

    def set_in_force(self, in_force: InForce) -> list[DispatchCommand]:
        """Apply the active configuration; targets missing from it get no new work."""
        self._in_force = in_force
        commands: list[DispatchCommand] = []
        for target, scheduler in self._scheduler_by_target.items():
            removed = self._service_of_target(scheduler.service, target) is None
            commands += self._reschedule(scheduler, scheduler.set_removed(removed))
        return commands

    def _service_of_target(self, service_name: str, target: str) -> ServiceSpec | None:
        """Return the service if the active configuration lists the target in it.

        Only services in use are searched, so that the cost of a configuration change depends on
        what this box uses and not on the size of the fleet.
        """
        service = self._in_force.service_by_name.get(service_name)
        if service is None:
            return None
        cached = self._targets_by_service.get(service_name)
        if cached is None or cached[0] is not service:
            instances = service.targets_by_instance
            addresses = frozenset(t.address for instance in instances for t in instance)
            cached = self._targets_by_service[service_name] = (service, addresses)
        return service if target in cached[1] else None

    def scatter(self, gateway: str, message: Scatter, now: float) -> list[DispatchCommand]:
        """Submit the sub-requests of a query."""
        commands: list[DispatchCommand] = []
        deadline = now + message.deadline_ms / 1000
        for sub_request in message.sub_requests:
            work = Work(
                key=WorkKey(gateway, message.query_id, sub_request.nonce, sub_request.target),
                service=message.service,
                group=message.group,
                deadline=deadline,
                version=message.version,
                text=message.query,
                last_resort=sub_request.last_resort,
            )
            commands += self._offer(work, now)
        return commands

    def execute(self, gateway: str, message: ExecuteAsk, now: float) -> list[DispatchCommand]:
        """Submit a request that may run only once."""
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
        """Withdraw sub-requests."""
        commands: list[DispatchCommand] = []
        for sub_request in message.sub_requests:
            scheduler = self._scheduler_by_target.get(sub_request.target)
            if scheduler is not None:
                key = WorkKey(gateway, message.query_id, sub_request.nonce, sub_request.target)
                commands += self._reschedule(scheduler, scheduler.withdraw(key, now))
        return commands

    def gateway_lost(self, gateway: str, now: float) -> list[DispatchCommand]:
        """Withdraw all work of a gateway that can no longer be reached."""
        commands: list[DispatchCommand] = []
        for scheduler in self._scheduler_by_target.values():
            for key in scheduler.keys_from(gateway):
                commands += self._reschedule(scheduler, scheduler.withdraw(key, now))
        return commands

    def permit(self, key: WorkKey, granted: bool, now: float) -> list[DispatchCommand]:
        """Apply a gateway's reply to a permit request."""
        scheduler = self._scheduler_by_target.get(key.target)
        if scheduler is None:
            return [ReturnPermit(key)] if granted else []
        return self._reschedule(scheduler, scheduler.permit(key, granted, now))

    def ended(self, event: RequestEnded, now: float) -> list[DispatchCommand]:
        """Record the end of a request at a target."""
        scheduler = self._scheduler_by_target.get(event.key.target)
        return (
            self._reschedule(scheduler, scheduler.ended(event, now))
            if scheduler is not None
            else []
        )

    def apply_health_page(
        self, target: str, reachable: bool, boot: str, leaving: bool, now: float
    ) -> list[DispatchCommand]:
        """Apply the result of a health check."""
        scheduler = self._scheduler_by_target.get(target)
        if scheduler is None:
            return []
        return self._reschedule(
            scheduler, scheduler.apply_health_page(reachable, boot, leaving, now)
        )

    def apply_leaving_report(self, reports: tuple[LeavingTarget, ...]) -> list[DispatchCommand]:
        """Apply reports of other boxes that targets are leaving."""
        commands: list[DispatchCommand] = []
        for report in reports:
            self._leaving_report_by_target.pop(report.address, None)
            self._leaving_report_by_target[report.address] = report
            if len(self._leaving_report_by_target) > MAX_LEAVING_REPORTS:
                del self._leaving_report_by_target[next(iter(self._leaving_report_by_target))]
            scheduler = self._scheduler_by_target.get(report.address)
            if scheduler is not None:
                commands += self._reschedule(
                    scheduler, scheduler.apply_leaving_report(report.target_boot)
                )
        return commands

    def tick(self, now: float) -> list[DispatchCommand]:
        """Run the schedulers that are due and remove idle ones."""
        commands: list[DispatchCommand] = []
        for target in self._wake_schedule.take_due(now):
            scheduler = self._scheduler_by_target[target]
            if scheduler.idle(now):
                del self._scheduler_by_target[target]
                continue
            commands += scheduler.tick(now)
            self._wake_schedule.set(target, scheduler.next_wake())
        return commands

    def next_wake(self) -> float:
        """Return the time at which `tick` must be called next (seconds)."""
        return self._wake_schedule.next()

    def _reschedule(
        self, scheduler: TargetScheduler, commands: list[DispatchCommand]
    ) -> list[DispatchCommand]:
        """Update the wake time of a scheduler that handled an event; return its commands."""
        self._wake_schedule.set(scheduler.target, scheduler.next_wake())
        return commands

    def delay(self, work: Work, now: float) -> float:
        """Return the expected queueing delay of further work like this (seconds)."""
        scheduler = self._scheduler_by_target.get(work.target)
        if scheduler is None:
            return 0.0
        return scheduler.delay(work.group, self._share(work.group), work.deadline, now)

    def _share(self, group: str) -> float:
        spec = self._in_force.group_by_name.get(group)
        return spec.share if spec is not None else 1.0

    def _offer(self, work: Work, now: float) -> list[DispatchCommand]:
        service = self._service_of_target(work.service, work.target)
        if service is None:
            return [Refuse(work, Outcome.UNKNOWN_TARGET, 0.0, MIN_RETRY_AFTER_S)]
        commands: list[DispatchCommand] = []
        scheduler = self._scheduler_by_target.get(work.target)
        if scheduler is None:
            scheduler = TargetScheduler(work.target, service, now)
            self._scheduler_by_target[work.target] = scheduler
            report = self._leaving_report_by_target.get(work.target)
            commands += scheduler.initial_commands
            if report is not None:
                commands += self._reschedule(
                    scheduler, scheduler.apply_leaving_report(report.target_boot)
                )
        offered = scheduler.offer(work, self._share(work.group), now)
        return commands + self._reschedule(scheduler, offered)
