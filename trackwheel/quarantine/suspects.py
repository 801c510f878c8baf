"""Which requests end the targets that run them, decided without I/O.

Every box notes under which requests targets ended, and tells the others. A request is held once
three targets ended under it and no target, at any box, has answered it. Held requests go to no
target: a request that ended forty targets within 150 ms came again every few seconds, at any box,
with another id, and took each service that came back down again.

Others are at the same targets when those end. Whichever request has the most ends explains them,
so that they no longer count against the others. Those with three ends themselves may have been to
blame too, as may requests that were held for long: they may go to one target, and if that answers
to all, and if it ends they are held.
"""

from collections.abc import Iterable, Set

from trackwheel.quarantine.const import (
    ENDS_TO_HOLD,
    EVIDENCE_MEMORY_S,
    HOLD_S,
    LONGEST_SETTLE_S,
    MOST_HELD,
    MOST_LIVES_TOLD,
    MOST_ROWS_TOLD,
    MOST_SUSPECTS,
    NEVER,
    SETTLE_S,
)
from trackwheel.quarantine.evidence import Evidence, Trial
from trackwheel.quarantine.memory import AnsweredRequests, TakenBackRequests
from trackwheel.quarantine.models import (
    Cleared,
    Command,
    CrashReport,
    EndsUnder,
    Held,
    HeldRequest,
    OnTrial,
    RequestsAnswered,
    RequestsHeld,
    TellAll,
)
from trackwheel.relay.models import Incarnation, SendPermission
from trackwheel.units import MILLISECONDS


class Suspects:
    """Decide, from how requests end here and at other boxes, which ones are held."""

    def __init__(self) -> None:
        self._evidence_by_request: dict[bytes, Evidence] = {}
        self._held_until_by_request: dict[bytes, float] = {}
        self._answered = AnsweredRequests()
        self._taken_back = TakenBackRequests()
        self._trial_by_request: dict[bytes, Trial] = {}
        self._cause_by_life: dict[Incarnation, bytes] = {}
        """Which request ended a target, or one of those that may have."""
        self._commands: list[Command] = []
        self._due_at = NEVER

    @property
    def held(self) -> int:
        """Return how many requests are held."""
        return len(self._held_until_by_request)

    def permission(self, request: bytes, now: float) -> SendPermission:
        """Return whether a request may go to a target."""
        if self._held_until_by_request.get(request, 0.0) > now:
            return SendPermission.SHUT
        evidence = self._evidence_by_request.get(request)
        if evidence is not None and evidence.suspect_since < NEVER:
            return SendPermission.WAIT
        if not self._is_on_trial(request, now):
            return SendPermission.OPEN
        at_target = self._trial_by_request[request].is_at_target(now)
        return SendPermission.WAIT if at_target else SendPermission.ONE

    def begin_trial(self, request: bytes, now: float) -> None:
        """Take that a request goes to one target now: others of its content wait for its end."""
        self._trial_by_request[request].began_at = now

    def waits_s(self, request: bytes, now: float) -> float:
        """Return in how many seconds a request may be tried again, 0 for now."""
        match self.permission(request, now):
            case SendPermission.SHUT:
                return self._held_until_by_request[request] - now
            case SendPermission.WAIT:
                return SETTLE_S
            case SendPermission.OPEN | SendPermission.ONE:
                return 0.0

    def closed(self, request: bytes, life: Incarnation, now: float) -> None:
        """Take that a target ended the connection under a request, without an answer."""
        self._note_own(request, life, now)
        self.refused(life, now)

    def refused(self, life: Incarnation, now: float) -> None:
        """Take that a target has ended: requests taken back a moment ago may have ended it."""
        for request in self._taken_back.take(life, now):
            self._note_own(request, life, now)

    def taken_back(self, request: bytes, life: Incarnation, now: float) -> None:
        """Take that a request was taken back from a target, which may run it all the same."""
        self._taken_back.add(request, life, now)

    def answered(self, request: bytes, now: float) -> None:
        """Take that a target answered a request: it lives on, so that the request ends none."""
        self._answered.add(request, now)
        evidence = self._evidence_by_request.get(request)
        known = request in self._held_until_by_request or request in self._trial_by_request
        if known or (evidence is not None and evidence.is_told):
            self._commands.append(TellAll(RequestsAnswered([request])))
        self._clear(request)

    def take_report(self, report: CrashReport, now: float) -> None:
        """Take under which requests targets ended at another box."""
        told = [row.fingerprint for row in report.rows]
        answered = [request for request in told if self._answered.lately(request, now)]
        if answered:
            self._commands.append(TellAll(RequestsAnswered(answered)))
        for request, lives in report.rows:
            evidence = self._add(request, lives, now)
            if evidence is not None:
                evidence.is_told = True

    def take_answered(self, news: RequestsAnswered, now: float) -> None:
        """Take which requests targets have answered at another box."""
        for request in news.fingerprints:
            self._answered.add(request, now)
            self._clear(request)

    def take_held(self, news: RequestsHeld, now: float) -> None:
        """Take which requests another box holds."""
        for request, left_ms in news.rows:
            until = now + min(HOLD_S, max(0.0, left_ms / MILLISECONDS))
            if self._answered.lately(request, now):
                continue
            if self._held_until_by_request.get(request, 0.0) <= now < until:
                self._hold(request, until, now)

    def held_requests(self, now: float) -> RequestsHeld:
        """Return what to tell others of the requests that are held."""
        rows = [
            HeldRequest(request, (until - now) * MILLISECONDS)
            for request, until in self._held_until_by_request.items()
            if until > now
        ]
        return RequestsHeld(rows)

    def tick(self, now: float) -> list[Command]:
        """Report, judge, forget; return what to do."""
        self._report(now)
        self._judge(now)
        self._forget(now)
        evidence = self._evidence_by_request.values()
        self._due_at = min((one.due_at for one in evidence), default=NEVER)
        commands, self._commands = self._commands, []
        return commands

    def next_wake(self) -> float:
        """Return when `tick` is next needed (monotonic seconds)."""
        return 0.0 if self._commands else self._due_at

    def _note_own(self, request: bytes, life: Incarnation, now: float) -> None:
        """Count the end of a target at this box against a request, and report it soon."""
        evidence = self._add(request, [life], now)
        if evidence is None:
            return
        evidence.add_own(life, now)
        if self._is_on_trial(request, now):
            # Another box would try it too until it hears of this end.
            evidence.report_at = now
        self._due_at = min(self._due_at, evidence.due_at)

    def _add(self, request: bytes, lives: Iterable[Incarnation], now: float) -> Evidence | None:
        """Count ends of targets against a request; return nothing where none of them counts."""
        if self._answered.lately(request, now):
            return None
        if request in self._held_until_by_request:
            self._cause_by_life.update(dict.fromkeys(lives, request))
            return None
        counting = [life for life in lives if life not in self._cause_by_life]
        if not counting:
            return None
        evidence = self._evidence(request)
        evidence.add(counting, 1 if self._is_on_trial(request, now) else ENDS_TO_HOLD, now)
        self._due_at = min(self._due_at, evidence.due_at)
        return evidence

    def _is_on_trial(self, request: bytes, now: float) -> bool:
        trial = self._trial_by_request.get(request)
        return trial is not None and trial.is_on(now)

    def _evidence(self, request: bytes) -> Evidence:
        evidence = self._evidence_by_request.get(request)
        if evidence is None:
            evidence = self._evidence_by_request[request] = Evidence()
            if len(self._evidence_by_request) > MOST_SUSPECTS:
                del self._evidence_by_request[next(iter(self._evidence_by_request))]
        return evidence

    def _clear(self, request: bytes) -> None:
        """Drop what is held against a request."""
        self._evidence_by_request.pop(request, None)
        self._trial_by_request.pop(request, None)
        if self._held_until_by_request.pop(request, None) is None:
            return
        self._drop_causes({request})
        self._commands.append(Cleared(request))

    def _report(self, now: float) -> None:
        """Tell the other boxes what ended here under requests that nobody answered."""
        due = [
            (request, evidence)
            for request, evidence in self._evidence_by_request.items()
            if evidence.report_at <= now
        ]
        due.sort(key=lambda one: len(one[1].own), reverse=True)
        rows = []
        for request, evidence in due[:MOST_ROWS_TOLD]:
            evidence.told()
            rows.append(EndsUnder(request, sorted(evidence.own)[:MOST_LIVES_TOLD]))
        if rows:
            self._commands.append(TellAll(CrashReport(rows)))

    def _judge(self, now: float) -> None:
        """Hold the request with the most ends, and go on with what it does not explain."""
        while suspects := {
            request: evidence
            for request, evidence in self._evidence_by_request.items()
            if evidence.suspect_since < NEVER
        }:
            worst = max(suspects.values(), key=lambda evidence: len(evidence.lives))
            longest_s = now - min(evidence.suspect_since for evidence in suspects.values())
            if now - worst.suspect_since < SETTLE_S and longest_s < LONGEST_SETTLE_S:
                return
            lives = frozenset(worst.lives)
            tied = [request for request in suspects if suspects[request].lives == lives]
            # Those with the very same ends are told apart by one target each.
            blamed = [one for one in tied if len(tied) == 1 or self._is_on_trial(one, now)]
            for request in blamed:
                self._hold(request, now + HOLD_S, now)
            if not blamed:
                self._explain(lives, tied[0], now)

    def _hold(self, request: bytes, until: float, now: float) -> None:
        """Keep a request from targets, and count its ends against no other one."""
        evidence = self._evidence_by_request.pop(request, Evidence())
        self._trial_by_request.pop(request, None)
        self._held_until_by_request.pop(request, None)
        self._held_until_by_request[request] = until
        if len(self._held_until_by_request) > MOST_HELD:
            self._release({next(iter(self._held_until_by_request))})
        self._explain(evidence.lives, request, now)
        self._commands.append(Held(request, len(evidence.lives), until - now))
        if evidence.own:
            # Only boxes that met it tell, so that a fleet does not tell itself a thousand times.
            row = HeldRequest(request, (until - now) * MILLISECONDS)
            self._commands.append(TellAll(RequestsHeld([row])))

    def _explain(self, lives: Set[Incarnation], cause: bytes, now: float) -> None:
        """Count ends of targets no more; requests that had many of them go to one target first."""
        self._cause_by_life.update(dict.fromkeys(lives, cause))
        for request, evidence in list(self._evidence_by_request.items()):
            had = len(evidence.lives)
            evidence.take_out(lives)
            if had >= ENDS_TO_HOLD > len(evidence.lives):
                self._trial_by_request[request] = Trial(now + EVIDENCE_MEMORY_S)
                self._commands.append(OnTrial(request, had))
            if not evidence.lives:
                del self._evidence_by_request[request]

    def _release(self, requests: set[bytes]) -> None:
        for request in requests:
            del self._held_until_by_request[request]
        self._drop_causes(requests)

    def _drop_causes(self, requests: set[bytes]) -> None:
        self._cause_by_life = {
            life: cause for life, cause in self._cause_by_life.items() if cause not in requests
        }

    def _forget(self, now: float) -> None:
        """Drop what no longer decides anything."""
        over = {request for request, until in self._held_until_by_request.items() if until <= now}
        if over:
            self._release(over)
            self._trial_by_request.update(
                {request: Trial(now + EVIDENCE_MEMORY_S) for request in over}
            )
        for request, evidence in list(self._evidence_by_request.items()):
            if now - evidence.last_at >= EVIDENCE_MEMORY_S:
                del self._evidence_by_request[request]

    def forget_old(self, now: float) -> None:
        """Drop what is over of the memories that grow with the load."""
        self._answered.forget_old(now)
        self._taken_back.forget_old(now)
        self._trial_by_request = {
            request: trial for request, trial in self._trial_by_request.items() if trial.is_on(now)
        }
        known = self._held_until_by_request.keys() | self._trial_by_request.keys()
        self._drop_causes(set(self._cause_by_life.values()) - known)
