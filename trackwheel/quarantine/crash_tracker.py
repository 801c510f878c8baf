"""Decides, without I/O, which requests crash the targets that run them.

Every box records the targets that crash under each request and reports them to the others. A
request is held once three targets have crashed under it and no target, at any box, has answered
it. Held requests go to no target: clients send such a request again, to any box and with another
id, and each time it would bring down the services that have just recovered.

Other requests run at the same targets when these crash. The crashes are attributed to the request
with the most of them and no longer count against the others. A bystander that had three crashes
itself may be at fault too, as may a request whose hold has expired: it is put on trial at a single
target. If that target answers, the request may go to all; if it crashes, the request is held.
"""

from collections.abc import Iterable, Set

from trackwheel.quarantine.const import (
    DECISION_DELAY_S,
    EVIDENCE_RETENTION_S,
    HOLD_DURATION_S,
    MAX_DECISION_DELAY_S,
    MAX_HELD_REQUESTS,
    MAX_INCARNATIONS_PER_ROW,
    MAX_ROWS_PER_REPORT,
    MAX_SUSPECTS,
    MIN_CRASHES_TO_HOLD,
    NEVER,
)
from trackwheel.quarantine.evidence import Evidence, Trial
from trackwheel.quarantine.models import (
    Broadcast,
    Command,
    CrashReport,
    HeldRequest,
    HoldCleared,
    HoldStarted,
    RequestCrashes,
    RequestsAnswered,
    RequestsHeld,
    TrialStarted,
)
from trackwheel.quarantine.recent_requests import AnsweredRequests, WithdrawnRequests
from trackwheel.relay.models import Incarnation, SendPermission
from trackwheel.units import MILLISECONDS


class CrashTracker:
    """Decide which requests are held, from results at this box and reports of others."""

    def __init__(self) -> None:
        self._evidence_by_request: dict[bytes, Evidence] = {}
        self._held_until_by_request: dict[bytes, float] = {}
        self._answered = AnsweredRequests()
        self._withdrawn = WithdrawnRequests()
        self._trial_by_request: dict[bytes, Trial] = {}
        self._cause_by_incarnation: dict[Incarnation, bytes] = {}
        """The request to which a crash is attributed, or one of several that may have caused it."""
        self._commands: list[Command] = []
        self._due_at = NEVER

    @property
    def held_count(self) -> int:
        """Return the number of held requests."""
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
        in_progress = self._trial_by_request[request].is_in_progress(now)
        return SendPermission.WAIT if in_progress else SendPermission.ONE

    def start_trial(self, request: bytes, now: float) -> None:
        """Record that a request goes to its single target; others of the same content wait."""
        self._trial_by_request[request].started_at = now

    def retry_after_s(self, request: bytes, now: float) -> float:
        """Return the seconds until a request may be sent again, 0 if it may be sent now."""
        match self.permission(request, now):
            case SendPermission.SHUT:
                return self._held_until_by_request[request] - now
            case SendPermission.WAIT:
                return DECISION_DELAY_S
            case SendPermission.OPEN | SendPermission.ONE:
                return 0.0

    def connection_closed(self, request: bytes, incarnation: Incarnation, now: float) -> None:
        """Record that a target closed the connection of a request without an answer."""
        self._record_own_crash(request, incarnation, now)
        self.connection_refused(incarnation, now)

    def connection_refused(self, incarnation: Incarnation, now: float) -> None:
        """Record that a target is down; requests withdrawn recently may have crashed it."""
        for request in self._withdrawn.pop_recent(incarnation, now):
            self._record_own_crash(request, incarnation, now)

    def request_withdrawn(self, request: bytes, incarnation: Incarnation, now: float) -> None:
        """Record that a request was withdrawn from a target, which may still run it."""
        self._withdrawn.add(request, incarnation, now)

    def request_answered(self, request: bytes, now: float) -> None:
        """Record that a target answered a request, which therefore crashes none."""
        self._answered.add(request, now)
        evidence = self._evidence_by_request.get(request)
        known = request in self._held_until_by_request or request in self._trial_by_request
        if known or (evidence is not None and evidence.is_known_to_peers):
            self._commands.append(Broadcast(RequestsAnswered([request])))
        self._clear(request)

    def handle_crash_report(self, report: CrashReport, now: float) -> None:
        """Record the crashes that another box reports."""
        reported = [row.fingerprint for row in report.rows]
        answered = [request for request in reported if self._answered.is_recent(request, now)]
        if answered:
            self._commands.append(Broadcast(RequestsAnswered(answered)))
        for request, incarnations in report.rows:
            evidence = self._record_crashes(request, incarnations, now)
            if evidence is not None:
                evidence.is_known_to_peers = True

    def handle_requests_answered(self, message: RequestsAnswered, now: float) -> None:
        """Clear the requests that were answered at another box."""
        for request in message.fingerprints:
            self._answered.add(request, now)
            self._clear(request)

    def handle_requests_held(self, message: RequestsHeld, now: float) -> None:
        """Hold the requests that another box holds."""
        for request, left_ms in message.rows:
            until = now + min(HOLD_DURATION_S, max(0.0, left_ms / MILLISECONDS))
            if self._answered.is_recent(request, now):
                continue
            if self._held_until_by_request.get(request, 0.0) <= now < until:
                self._hold(request, until, now)

    def held_requests(self, now: float) -> RequestsHeld:
        """Return the message that lists the held requests."""
        rows = [
            HeldRequest(request, (until - now) * MILLISECONDS)
            for request, until in self._held_until_by_request.items()
            if until > now
        ]
        return RequestsHeld(rows)

    def tick(self, now: float) -> list[Command]:
        """Report crashes, decide on suspects, release expired holds; return the commands."""
        self._report(now)
        self._decide(now)
        self._release_expired(now)
        evidence = self._evidence_by_request.values()
        self._due_at = min((one.due_at for one in evidence), default=NEVER)
        commands, self._commands = self._commands, []
        return commands

    def next_due_at(self) -> float:
        """Return when `tick` is next due (monotonic seconds); 0 if commands are pending."""
        return 0.0 if self._commands else self._due_at

    def _record_own_crash(self, request: bytes, incarnation: Incarnation, now: float) -> None:
        """Count a crash seen by this box against a request, and schedule its report."""
        evidence = self._record_crashes(request, [incarnation], now)
        if evidence is None:
            return
        evidence.add_own(incarnation, now)
        if self._is_on_trial(request, now):
            # Report at once: until then another box may try the request too.
            evidence.report_at = now
        self._due_at = min(self._due_at, evidence.due_at)

    def _record_crashes(
        self, request: bytes, incarnations: Iterable[Incarnation], now: float
    ) -> Evidence | None:
        """Count crashes against a request; return None if none of them counts."""
        if self._answered.is_recent(request, now):
            return None
        if request in self._held_until_by_request:
            self._cause_by_incarnation.update(dict.fromkeys(incarnations, request))
            return None
        unattributed = [
            incarnation
            for incarnation in incarnations
            if incarnation not in self._cause_by_incarnation
        ]
        if not unattributed:
            return None
        evidence = self._evidence(request)
        evidence.add(
            unattributed, 1 if self._is_on_trial(request, now) else MIN_CRASHES_TO_HOLD, now
        )
        self._due_at = min(self._due_at, evidence.due_at)
        return evidence

    def _is_on_trial(self, request: bytes, now: float) -> bool:
        trial = self._trial_by_request.get(request)
        return trial is not None and trial.is_active(now)

    def _evidence(self, request: bytes) -> Evidence:
        evidence = self._evidence_by_request.get(request)
        if evidence is None:
            evidence = self._evidence_by_request[request] = Evidence()
            if len(self._evidence_by_request) > MAX_SUSPECTS:
                del self._evidence_by_request[next(iter(self._evidence_by_request))]
        return evidence

    def _clear(self, request: bytes) -> None:
        """Drop the evidence, trial and hold of a request."""
        self._evidence_by_request.pop(request, None)
        self._trial_by_request.pop(request, None)
        if self._held_until_by_request.pop(request, None) is None:
            return
        self._drop_causes({request})
        self._commands.append(HoldCleared(request))

    def _report(self, now: float) -> None:
        """Report the crashes seen by this box under requests that nothing has answered."""
        due = [
            (request, evidence)
            for request, evidence in self._evidence_by_request.items()
            if evidence.report_at <= now
        ]
        due.sort(key=lambda one: len(one[1].own_incarnations), reverse=True)
        rows = []
        for request, evidence in due[:MAX_ROWS_PER_REPORT]:
            evidence.mark_reported()
            rows.append(
                RequestCrashes(
                    request, sorted(evidence.own_incarnations)[:MAX_INCARNATIONS_PER_ROW]
                )
            )
        if rows:
            self._commands.append(Broadcast(CrashReport(rows)))

    def _decide(self, now: float) -> None:
        """Hold the suspect with the most crashes, then decide on what remains."""
        while suspects := {
            request: evidence
            for request, evidence in self._evidence_by_request.items()
            if evidence.suspect_since < NEVER
        }:
            worst = max(suspects.values(), key=lambda evidence: len(evidence.incarnations))
            longest_wait_s = now - min(evidence.suspect_since for evidence in suspects.values())
            if (
                now - worst.suspect_since < DECISION_DELAY_S
                and longest_wait_s < MAX_DECISION_DELAY_S
            ):
                return
            incarnations = frozenset(worst.incarnations)
            tied = [
                request for request in suspects if suspects[request].incarnations == incarnations
            ]
            # Requests with identical crashes are told apart by a trial at one target each.
            confirmed = [one for one in tied if len(tied) == 1 or self._is_on_trial(one, now)]
            for request in confirmed:
                self._hold(request, now + HOLD_DURATION_S, now)
            if not confirmed:
                self._attribute(incarnations, tied[0], now)

    def _hold(self, request: bytes, until: float, now: float) -> None:
        """Hold a request and attribute its crashes to it alone."""
        evidence = self._evidence_by_request.pop(request, Evidence())
        self._trial_by_request.pop(request, None)
        self._held_until_by_request.pop(request, None)
        self._held_until_by_request[request] = until
        if len(self._held_until_by_request) > MAX_HELD_REQUESTS:
            self._release({next(iter(self._held_until_by_request))})
        self._attribute(evidence.incarnations, request, now)
        self._commands.append(HoldStarted(request, len(evidence.incarnations), until - now))
        if evidence.own_incarnations:
            # Only boxes that saw a crash themselves announce the hold, which bounds the messages:
            # otherwise every box of the fleet would broadcast it.
            row = HeldRequest(request, (until - now) * MILLISECONDS)
            self._commands.append(Broadcast(RequestsHeld([row])))

    def _attribute(self, incarnations: Set[Incarnation], cause: bytes, now: float) -> None:
        """Attribute crashes to one request; others that had three or more go on trial."""
        self._cause_by_incarnation.update(dict.fromkeys(incarnations, cause))
        for request, evidence in list(self._evidence_by_request.items()):
            crash_count = len(evidence.incarnations)
            evidence.remove_attributed(incarnations)
            if crash_count >= MIN_CRASHES_TO_HOLD > len(evidence.incarnations):
                self._trial_by_request[request] = Trial(now + EVIDENCE_RETENTION_S)
                self._commands.append(TrialStarted(request, crash_count))
            if not evidence.incarnations:
                del self._evidence_by_request[request]

    def _release(self, requests: set[bytes]) -> None:
        for request in requests:
            del self._held_until_by_request[request]
        self._drop_causes(requests)

    def _drop_causes(self, requests: set[bytes]) -> None:
        self._cause_by_incarnation = {
            incarnation: cause
            for incarnation, cause in self._cause_by_incarnation.items()
            if cause not in requests
        }

    def _release_expired(self, now: float) -> None:
        """Release expired holds, putting the requests on trial, and drop old evidence."""
        expired = {
            request for request, until in self._held_until_by_request.items() if until <= now
        }
        if expired:
            self._release(expired)
            self._trial_by_request.update(
                {request: Trial(now + EVIDENCE_RETENTION_S) for request in expired}
            )
        for request, evidence in list(self._evidence_by_request.items()):
            if now - evidence.last_crash_at >= EVIDENCE_RETENTION_S:
                del self._evidence_by_request[request]

    def evict_expired(self, now: float) -> None:
        """Evict expired answers, withdrawals, trials and attributed crashes."""
        self._answered.evict_expired(now)
        self._withdrawn.evict_expired(now)
        self._trial_by_request = {
            request: trial
            for request, trial in self._trial_by_request.items()
            if trial.is_active(now)
        }
        known = self._held_until_by_request.keys() | self._trial_by_request.keys()
        self._drop_causes(set(self._cause_by_incarnation.values()) - known)
