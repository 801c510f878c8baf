"""The decisions about one target: what waits, what runs, what is refused."""

from typing import NamedTuple

from trackwheel.dispatch.const import (
    ADMIT_MARGIN,
    HEALTH_PERIOD_S,
    LEAST_RETRY_AFTER_S,
    MAX_QUEUED_PER_TARGET,
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
    Ended,
    Outcome,
    PermitUnused,
    Refuse,
    ReportLeaving,
    SendExecute,
    SendQuery,
    TargetEstimate,
    Warm,
    Work,
    WorkKey,
)
from trackwheel.dispatch.trial import Trial
from trackwheel.files.models import ServiceSpec


class _Run(NamedTuple):
    """Follow work that holds a slot; `permit_until` is set while its permit is awaited."""

    work: Work
    started: float
    level: int
    charged_s: float
    permit_until: float | None


class TargetScheduler:
    """Decide, from events and the time, what goes to one target."""

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
        self._health_at = now + HEALTH_PERIOD_S
        self._used_at = now
        self.first_commands: list[DispatchCommand] = [
            CheckHealth(target),
            Warm(target, min(service.slots, service.connections)),
        ]

    @property
    def leaving(self) -> bool:
        """Return whether the target takes no new work."""
        return self._leaving or self._removed

    @property
    def running(self) -> int:
        """Return how many requests hold a slot."""
        return len(self._run_by_key)

    @property
    def waiting(self) -> int:
        """Return how much work waits."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Return how many requests may run at a time."""
        return self._limiter.limit

    def estimate(self) -> TargetEstimate:
        """Return what is expected of the target, for the log."""
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
        """Return whether the target is left out because of its answers."""
        return self._ejection.until is not None and now < self._ejection.until

    def idle(self, now: float) -> bool:
        """Return whether nothing has been asked of the target for long."""
        busy = self._run_by_key or len(self._queue)
        return not busy and now - self._used_at > SCHEDULER_IDLE_S

    def delay(self, group: str, share: float, deadline: float, now: float) -> float:
        """Return how long new work of a group would wait for a slot (seconds)."""
        pause_s = max(0.0, self._limiter.paused_until - now)
        if not len(self._queue) and self.running < self._limiter.limit:
            return pause_s
        ahead = self._queue.ahead_of(group, deadline) + 1
        fraction = self._queue.share_fraction(group, share)
        return pause_s + ahead / (self._limiter.rate() * fraction)

    def keys_of(self, gateway: str) -> list[WorkKey]:
        """Return the keys of all work of one gateway."""
        keys = [*self._run_by_key, *self._queue.keys()]
        return [key for key in keys if key.gateway == gateway]

    def offer(self, work: Work, share: float, now: float) -> list[DispatchCommand]:
        """Take new work: queue it, or refuse it at once when it cannot end in time."""
        self._used_at = now
        if work.key in self._run_by_key or work.key in self._queue:
            return []
        if self.leaving:
            return [Refuse(work, Outcome.LEAVING, 0.0, LEAST_RETRY_AFTER_S)]
        occupied = self.running + len(self._queue)
        if not self._ejection.allows(now, occupied) and not work.last_resort:
            until = self._ejection.until or now
            retry_s = max(LEAST_RETRY_AFTER_S, until - now)
            return [Refuse(work, Outcome.EJECTED, 0.0, retry_s)]
        delay_s = self.delay(work.group, share, work.deadline, now)
        left_s = work.deadline - now
        needed_s = delay_s + self._limiter.likely_s
        full = len(self._queue) >= MAX_QUEUED_PER_TARGET
        if full or needed_s > left_s * ADMIT_MARGIN:
            if not full and left_s > 0 and self._may_try(now):
                return self._try(work, share, now)
            retry_s = max(LEAST_RETRY_AFTER_S, needed_s - left_s * ADMIT_MARGIN)
            return [Refuse(work, Outcome.SHED, delay_s, retry_s)]
        self._queue.push(work, share)
        return self.pump(now)

    def _may_try(self, now: float) -> bool:
        """Return whether only the estimate stands in the way, and may be put to the test."""
        busy = self._run_by_key or len(self._queue)
        held_back = self._cold or now < self._limiter.paused_until
        return not busy and not held_back and self._trial.allows(now)

    def _try(self, work: Work, share: float, now: float) -> list[DispatchCommand]:
        self._trial.begin(work.key)
        self._queue.push(work, share)
        return [self._start(now)]

    def withdraw(self, key: WorkKey, now: float) -> list[DispatchCommand]:
        """Take work back: for free while it waits, by closing its connection when it runs."""
        if self._queue.remove(key) is not None:
            return []
        run = self._run_by_key.get(key)
        if run is None or (run.work.once and run.permit_until is None):
            return []
        del self._run_by_key[key]
        self._trial.ended(key, now)
        held_s = now - run.started
        self._queue.charge(run.work.group, held_s - run.charged_s)
        if run.permit_until is not None:
            return self.pump(now)
        commands: list[DispatchCommand] = [CancelSend(key)]
        if self._stalled(run, held_s, now):
            commands += self._after_ejection(now)
        return commands + self.pump(now)

    def permit(self, key: WorkKey, granted: bool, now: float) -> list[DispatchCommand]:
        """Send work whose permit was granted; drop work whose permit was denied."""
        run = self._run_by_key.get(key)
        if run is None:
            # The slot was given up while the permit was on its way.
            return [PermitUnused(key)] if granted else []
        if run.permit_until is None:
            return []
        if not granted:
            del self._run_by_key[key]
            self._trial.ended(key, now)
            self._queue.charge(run.work.group, -run.charged_s)
            return self.pump(now)
        self._run_by_key[key] = run._replace(started=now, permit_until=None)
        return [SendExecute(run.work)]

    def ended(self, event: Ended, now: float) -> list[DispatchCommand]:
        """Take the end of a request that was sent."""
        commands: list[DispatchCommand] = []
        if event.target_boot:
            commands += self.seen(event.target_boot, event.leaving, now)
        run = self._run_by_key.pop(event.key, None)
        if run is not None:
            self._queue.charge(run.work.group, event.service_s - run.charged_s)
            commands += self._judge(run, event, now)
        return commands + self.pump(now)

    def seen(self, boot: str, leaving: bool, now: float) -> list[DispatchCommand]:
        """Take what an answer or a health page says of the target's boot and leaving.

        Only a new boot ends leaving, since a health page may lie about it.
        """
        self._health_at = now + HEALTH_PERIOD_S
        boot = boot or self._boot
        if boot in self._past_boots:
            return []
        if boot != self._boot:
            if self._boot:
                self._past_boots.add(self._boot)
                self._ejection.new_boot(now)
            self._boot = boot
        commands: list[DispatchCommand] = []
        if leaving and boot not in self._leaving_boots:
            self._leaving_boots.add(boot)
            commands.append(ReportLeaving(self.target, boot))
        self._leaving = boot in self._leaving_boots
        return commands + (self._flush(Outcome.LEAVING) if self._leaving else [])

    def apply_leaving_report(self, boot: str) -> list[DispatchCommand]:
        """Take another box's report that a boot of the target is leaving.

        A boot that this box has not met is taken for a newer one than it knows, until the
        target's own word.
        """
        self._leaving_boots.add(boot)
        if boot in self._past_boots:
            return []
        self._leaving = True
        commands = self._flush(Outcome.LEAVING)
        if self._boot not in ("", boot):
            commands.append(CheckHealth(self.target))
        return commands

    def set_removed(self, removed: bool) -> list[DispatchCommand]:
        """Take whether the files in force still name the target."""
        self._removed = removed
        return self._flush(Outcome.LEAVING) if removed else []

    def health(
        self, reachable: bool, boot: str, leaving: bool, now: float
    ) -> list[DispatchCommand]:
        """Take a health page as a hint: it may begin a leaving, and it ends the cold start."""
        self._cold = False
        commands = self.seen(boot, leaving, now) if reachable else []
        return commands + self.pump(now)

    def tick(self, now: float) -> list[DispatchCommand]:
        """Do what is due."""
        commands: list[DispatchCommand] = []
        for key, run in list(self._run_by_key.items()):
            if run.permit_until is not None and now >= run.permit_until:
                commands += self.permit(key, False, now)
        if now >= self._health_at:
            self._health_at = now + HEALTH_PERIOD_S
            self._cold = False
            commands.append(CheckHealth(self.target))
        self._queue.forget_idle(now)
        return commands + self.pump(now)

    def next_wake(self) -> float:
        """Return when `tick` is next needed (seconds)."""
        times = [self._health_at]
        if len(self._queue):
            last_start = self._queue.earliest_deadline() - self._limiter.likely_s
            times.append(last_start + WAKE_MARGIN_S)
            if self._limiter.paused_until and self.running < self._limiter.limit:
                times.append(self._limiter.paused_until)
        permits = (run.permit_until for run in self._run_by_key.values())
        times.extend(until for until in permits if until is not None)
        return min(times)

    def pump(self, now: float) -> list[DispatchCommand]:
        """Drop what cannot end in time any more and send what there are slots for."""
        commands: list[DispatchCommand] = []
        for work in self._queue.drop_before(now + self._limiter.likely_s):
            retry_s = max(LEAST_RETRY_AFTER_S, self._limiter.mean_s)
            commands.append(Refuse(work, Outcome.LATE, now - work.deadline, retry_s))
        if self._cold or now < self._limiter.paused_until:
            return commands
        while len(self._queue) and self.running < self._allowed(now):
            commands.append(self._start(now))
        return commands

    def _allowed(self, now: float) -> int:
        return 1 if self._ejection.until is not None else self._limiter.limit

    def _start(self, now: float) -> DispatchCommand:
        expected_s = self._limiter.mean_s
        work = self._queue.pop(expected_s, now)
        assert work is not None, "the queue is not empty"
        level = self.running + 1
        permit_until = now + PERMIT_TIMEOUT_S if work.once else None
        self._run_by_key[work.key] = _Run(work, now, level, expected_s, permit_until)
        return AskPermit(work) if work.once else SendQuery(work)

    def _judge(self, run: _Run, event: Ended, now: float) -> list[DispatchCommand]:
        """Learn from how a request ended."""
        if event.outcome is Outcome.OK:
            if self._trial.succeeded(event.key):
                self._limiter.relearn(event.service_s)
            if self._ejection.succeeded():
                self._limiter.restart()
            waiting = len(self._queue) > 0
            self._limiter.succeeded(run.level, run.started, event.service_s, waiting, now)
            return []
        self._trial.ended(event.key, now)
        if event.outcome is Outcome.WRONG_VERSION:
            self._ejection.succeeded()
            return []
        if event.outcome is Outcome.SHED:
            self._limiter.shed(now)
            return []
        if event.outcome is Outcome.FAILED and self._ejection.failed(now):
            return self._after_ejection(now)
        if event.outcome is Outcome.LATE and self._stalled(run, event.service_s, now):
            return self._after_ejection(now)
        return []

    def _stalled(self, run: _Run, held_s: float, now: float) -> bool:
        """Take how long a request held its slot; return whether the target is ejected by that."""
        if held_s <= self._limiter.service_time.stall_s:
            return False
        return self._ejection.stalled(run.started, now)

    def _after_ejection(self, now: float) -> list[DispatchCommand]:
        self._limiter.restart()
        until = self._ejection.until or now
        return self._flush(Outcome.EJECTED, until - now)

    def _flush(self, outcome: Outcome, retry_s: float = 0.0) -> list[DispatchCommand]:
        """Refuse all that waits, at once."""
        retry_s = max(LEAST_RETRY_AFTER_S, retry_s)
        return [Refuse(work, outcome, 0.0, retry_s) for work in self._queue.drop_all()]
