"""Scheduling of the work for one target: admission, queueing, concurrency and refusal."""

from typing import NamedTuple

from trackwheel.dispatch.const import (
    ADMISSION_DEADLINE_FRACTION,
    HEALTH_PERIOD_S,
    MAX_QUEUED_PER_TARGET,
    MIN_RETRY_AFTER_S,
    PERMIT_TIMEOUT_S,
    SCHEDULER_IDLE_S,
    WAKE_MARGIN_S,
)
from trackwheel.dispatch.ejection import Ejection
from trackwheel.dispatch.fair_queue import FairQueue
from trackwheel.dispatch.limiter import Limiter
from trackwheel.dispatch.models import (
    AskPermit,
    CancelSend,
    CheckHealth,
    DispatchCommand,
    OpenConnections,
    Outcome,
    Refuse,
    ReportLeaving,
    RequestEnded,
    ReturnPermit,
    SendExecute,
    SendQuery,
    TargetEstimate,
    Work,
    WorkKey,
)
from trackwheel.dispatch.trial import Trial
from trackwheel.files.models import ServiceSpec


class _Run(NamedTuple):
    """Track work that occupies a slot; `permit_deadline` is set while its permit is pending."""

    work: Work
    started: float
    concurrency: int
    charged_s: float
    permit_deadline: float | None


class TargetScheduler:
    """Decide which work is sent to one target.

    The scheduler does no I/O: it takes events and the current time and returns commands.
    """

    def __init__(self, target: str, service: ServiceSpec, now: float) -> None:
        self.target = target
        self.service = service.name
        self._queue = FairQueue()
        seed = hash(target) & 0xFFFF
        self._limiter = Limiter(service.slots, service.connections, seed)
        self._ejection = Ejection()
        self._trial = Trial()
        self._run_by_key: dict[WorkKey, _Run] = {}
        self._cold = True
        self._boot = ""
        self._past_boots: set[str] = set()
        self._leaving_boots: set[str] = set()
        self._leaving = False
        self._removed = False
        self._next_health_check_at = now + HEALTH_PERIOD_S
        self._last_used_at = now
        self.initial_commands: list[DispatchCommand] = [
            CheckHealth(target),
            OpenConnections(target, min(service.slots, service.connections)),
        ]

    @property
    def leaving(self) -> bool:
        """Return whether the target accepts no new work."""
        return self._leaving or self._removed

    @property
    def running(self) -> int:
        """Return the number of occupied slots."""
        return len(self._run_by_key)

    @property
    def waiting(self) -> int:
        """Return the number of queued work items."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Return the concurrency limit."""
        return self._limiter.limit

    def estimate(self) -> TargetEstimate:
        """Return the estimates for the target, for logging."""
        limiter = self._limiter
        return TargetEstimate(
            limiter.mean_s,
            limiter.likely_s,
            limiter.service_time.learnt_at,
            self.running,
            self.waiting,
            limiter.limit,
        )

    def ejected(self, now: float) -> bool:
        """Return whether the target is ejected."""
        return self._ejection.until is not None and now < self._ejection.until

    def idle(self, now: float) -> bool:
        """Return whether the target has had no work for `SCHEDULER_IDLE_S`."""
        busy = self._run_by_key or len(self._queue)
        return not busy and now - self._last_used_at > SCHEDULER_IDLE_S

    def delay(self, group: str, share: float, deadline: float, now: float) -> float:
        """Return the expected queueing delay of new work of a group (seconds)."""
        pause_s = max(0.0, self._limiter.paused_until - now)
        if not len(self._queue) and self.running < self._limiter.limit:
            return pause_s
        ahead = self._queue.count_ahead(group, deadline) + 1
        fraction = self._queue.share_fraction(group, share)
        return pause_s + ahead / (self._limiter.rate() * fraction)

    def keys_from(self, gateway: str) -> list[WorkKey]:
        """Return the keys of all queued and running work of a gateway."""
        keys = [*self._run_by_key, *self._queue.keys()]
        return [key for key in keys if key.gateway == gateway]

    def offer(self, work: Work, share: float, now: float) -> list[DispatchCommand]:
        """Queue new work, or refuse it if it is not expected to finish before its deadline."""
        self._last_used_at = now
        if work.key in self._run_by_key or work.key in self._queue:
            return []
        if self.leaving:
            return [Refuse(work, Outcome.LEAVING, 0.0, MIN_RETRY_AFTER_S)]
        occupied = self.running + len(self._queue)
        if not self._ejection.allows(now, occupied) and not work.last_resort:
            until = self._ejection.until or now
            retry_s = max(MIN_RETRY_AFTER_S, until - now)
            return [Refuse(work, Outcome.EJECTED, 0.0, retry_s)]
        delay_s = self.delay(work.group, share, work.deadline, now)
        left_s = work.deadline - now
        needed_s = delay_s + self._limiter.likely_s
        full = len(self._queue) >= MAX_QUEUED_PER_TARGET
        if full or needed_s > left_s * ADMISSION_DEADLINE_FRACTION:
            if not full and left_s > 0 and self._trial_allowed(now):
                return self._start_trial(work, share, now)
            retry_s = max(MIN_RETRY_AFTER_S, needed_s - left_s * ADMISSION_DEADLINE_FRACTION)
            return [Refuse(work, Outcome.SHED, delay_s, retry_s)]
        self._queue.push(work, share)
        return self.fill_slots(now)

    def _trial_allowed(self, now: float) -> bool:
        """Return whether work refused only because of the estimate may be sent as a trial."""
        busy = self._run_by_key or len(self._queue)
        paused = self._cold or now < self._limiter.paused_until
        return not busy and not paused and self._trial.allows(now)

    def _start_trial(self, work: Work, share: float, now: float) -> list[DispatchCommand]:
        self._trial.begin(work.key)
        self._queue.push(work, share)
        return [self._start(now)]

    def withdraw(self, key: WorkKey, now: float) -> list[DispatchCommand]:
        """Withdraw work: remove it from the queue, or cancel it if it is running."""
        if self._queue.remove(key) is not None:
            return []
        run = self._run_by_key.get(key)
        if run is None or (run.work.once and run.permit_deadline is None):
            return []
        del self._run_by_key[key]
        self._trial.record_end(key, now)
        elapsed_s = now - run.started
        self._queue.charge(run.work.group, elapsed_s - run.charged_s)
        if run.permit_deadline is not None:
            return self.fill_slots(now)
        commands: list[DispatchCommand] = [CancelSend(key)]
        if self._record_stall(run, elapsed_s, now):
            commands += self._apply_ejection(now)
        return commands + self.fill_slots(now)

    def permit(self, key: WorkKey, granted: bool, now: float) -> list[DispatchCommand]:
        """Apply a permit reply: send the work if granted, drop it if denied."""
        run = self._run_by_key.get(key)
        if run is None:
            # The slot was released before the permit arrived.
            return [ReturnPermit(key)] if granted else []
        if run.permit_deadline is None:
            return []
        if not granted:
            del self._run_by_key[key]
            self._trial.record_end(key, now)
            self._queue.charge(run.work.group, -run.charged_s)
            return self.fill_slots(now)
        self._run_by_key[key] = run._replace(started=now, permit_deadline=None)
        return [SendExecute(run.work)]

    def ended(self, event: RequestEnded, now: float) -> list[DispatchCommand]:
        """Record the end of a request and send the next work."""
        commands: list[DispatchCommand] = []
        if event.target_boot:
            commands += self.observe_boot(event.target_boot, event.leaving, now)
        run = self._run_by_key.pop(event.key, None)
        if run is not None:
            self._queue.charge(run.work.group, event.service_s - run.charged_s)
            commands += self._record_end(run, event, now)
        return commands + self.fill_slots(now)

    def observe_boot(self, boot: str, leaving: bool, now: float) -> list[DispatchCommand]:
        """Apply the boot and leaving state that an answer or a health page reported.

        A boot that has reported leaving stays leaving until the target restarts, because a health
        page may wrongly report that it is not.
        """
        self._next_health_check_at = now + HEALTH_PERIOD_S
        boot = boot or self._boot
        if boot in self._past_boots:
            return []
        if boot != self._boot:
            if self._boot:
                self._past_boots.add(self._boot)
                self._ejection.record_new_boot(now)
            self._boot = boot
        commands: list[DispatchCommand] = []
        if leaving and boot not in self._leaving_boots:
            self._leaving_boots.add(boot)
            commands.append(ReportLeaving(self.target, boot))
        self._leaving = boot in self._leaving_boots
        return commands + (self._refuse_waiting(Outcome.LEAVING) if self._leaving else [])

    def apply_leaving_report(self, boot: str) -> list[DispatchCommand]:
        """Apply another box's report that a boot of the target is leaving.

        A boot that this box has not seen is assumed to be newer than the known one until the
        target itself reports its boot.
        """
        self._leaving_boots.add(boot)
        if boot in self._past_boots:
            return []
        self._leaving = True
        commands = self._refuse_waiting(Outcome.LEAVING)
        if self._boot not in ("", boot):
            commands.append(CheckHealth(self.target))
        return commands

    def set_removed(self, removed: bool) -> list[DispatchCommand]:
        """Set whether the target is missing from the active configuration."""
        self._removed = removed
        return self._refuse_waiting(Outcome.LEAVING) if removed else []

    def apply_health_page(
        self, reachable: bool, boot: str, leaving: bool, now: float
    ) -> list[DispatchCommand]:
        """Apply a health check result; any result, even a failure, ends the cold state."""
        self._cold = False
        commands = self.observe_boot(boot, leaving, now) if reachable else []
        return commands + self.fill_slots(now)

    def tick(self, now: float) -> list[DispatchCommand]:
        """Process permit timeouts, health checks and queued work that are due."""
        commands: list[DispatchCommand] = []
        for key, run in list(self._run_by_key.items()):
            if run.permit_deadline is not None and now >= run.permit_deadline:
                commands += self.permit(key, False, now)
        if now >= self._next_health_check_at:
            self._next_health_check_at = now + HEALTH_PERIOD_S
            self._cold = False
            commands.append(CheckHealth(self.target))
        self._queue.remove_idle(now)
        return commands + self.fill_slots(now)

    def next_wake(self) -> float:
        """Return the time at which `tick` must be called next (seconds)."""
        times = [self._next_health_check_at]
        if len(self._queue):
            last_start = self._queue.earliest_deadline() - self._limiter.likely_s
            times.append(last_start + WAKE_MARGIN_S)
            if self._limiter.paused_until and self.running < self._limiter.limit:
                times.append(self._limiter.paused_until)
        permits = (run.permit_deadline for run in self._run_by_key.values())
        times.extend(until for until in permits if until is not None)
        return min(times)

    def fill_slots(self, now: float) -> list[DispatchCommand]:
        """Refuse queued work that can no longer finish in time, then send work up to the limit."""
        commands: list[DispatchCommand] = []
        for work in self._queue.drop_before(now + self._limiter.likely_s):
            retry_s = max(MIN_RETRY_AFTER_S, self._limiter.mean_s)
            commands.append(Refuse(work, Outcome.LATE, now - work.deadline, retry_s))
        if self._cold or now < self._limiter.paused_until:
            return commands
        while len(self._queue) and self.running < self._concurrency_limit(now):
            commands.append(self._start(now))
        return commands

    def _concurrency_limit(self, now: float) -> int:
        return 1 if self._ejection.until is not None else self._limiter.limit

    def _start(self, now: float) -> DispatchCommand:
        expected_s = self._limiter.mean_s
        work = self._queue.pop(expected_s, now)
        assert work is not None, "the queue is not empty"
        concurrency = self.running + 1
        permit_deadline = now + PERMIT_TIMEOUT_S if work.once else None
        self._run_by_key[work.key] = _Run(work, now, concurrency, expected_s, permit_deadline)
        return AskPermit(work) if work.once else SendQuery(work)

    def _record_end(self, run: _Run, event: RequestEnded, now: float) -> list[DispatchCommand]:
        """Update the limiter, the ejection and the trial from the outcome of a request."""
        if event.outcome is Outcome.OK:
            if self._trial.record_success(event.key):
                self._limiter.replace_service_time(event.service_s)
            if self._ejection.record_success():
                self._limiter.restart()
            waiting = len(self._queue) > 0
            self._limiter.record_success(
                run.concurrency, run.started, event.service_s, waiting, now
            )
            return []
        self._trial.record_end(event.key, now)
        if event.outcome is Outcome.WRONG_VERSION:
            self._ejection.record_success()
            return []
        if event.outcome is Outcome.SHED:
            self._limiter.record_shed(now)
            return []
        if event.outcome in (Outcome.FAILED, Outcome.OVERSIZED):
            commands = [] if event.target_boot else self._reread_health_page(now)
            ejected = self._ejection.record_failure(now)
            return commands + (self._apply_ejection(now) if ejected else [])
        if event.outcome is Outcome.LATE and self._record_stall(run, event.service_s, now):
            return self._apply_ejection(now)
        return []

    def _reread_health_page(self, now: float) -> list[DispatchCommand]:
        """Send no more work until the health page tells whether the target has restarted.

        A request that crashes a target twice counts as two crashes only if both boots are known.
        """
        if self._cold:
            return []
        self._cold = True
        self._next_health_check_at = now + HEALTH_PERIOD_S
        return [CheckHealth(self.target)]

    def _record_stall(self, run: _Run, elapsed_s: float, now: float) -> bool:
        """Record a stall if the request held its slot for too long; return whether it ejected."""
        if elapsed_s <= self._limiter.service_time.stall_threshold_s:
            return False
        return self._ejection.record_stall(run.started, now)

    def _apply_ejection(self, now: float) -> list[DispatchCommand]:
        self._limiter.restart()
        until = self._ejection.until or now
        return self._refuse_waiting(Outcome.EJECTED, until - now)

    def _refuse_waiting(self, outcome: Outcome, retry_s: float = 0.0) -> list[DispatchCommand]:
        """Refuse all queued work."""
        retry_s = max(MIN_RETRY_AFTER_S, retry_s)
        return [Refuse(work, outcome, 0.0, retry_s) for work in self._queue.drop_all()]
