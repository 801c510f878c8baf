"""Which requests end the targets that run them, decided without I/O.

Every box notes under which requests targets ended, and tells the others. A request is held once
three targets ended under it and no target, at any box, has answered it. Held requests go to no
target: a request that ended forty targets within 150 ms came again every few seconds, at any box,
with another id, and took each service that came back down again.

Others are at the same targets when those end. Whichever request has the most ends explains them,
so that they no longer count against the others.
"""

from collections.abc import Iterable

from trackwheel.quarantine.const import (
    ANSWER_MEMORY_S,
    ENDS_TO_HOLD,
    EVIDENCE_MEMORY_S,
    HOLD_S,
    LONGEST_SETTLE_S,
    MOST_ANSWERED,
    MOST_HELD,
    MOST_LIVES_TOLD,
    MOST_ROWS_TOLD,
    MOST_SUSPECTS,
    REPORT_AFTER_S,
    SETTLE_S,
)
from trackwheel.quarantine.models import (
    Cleared,
    Command,
    CrashReport,
    EndsUnder,
    Held,
    HeldRequest,
    RequestsAnswered,
    RequestsHeld,
    TellAll,
)
from trackwheel.relay.models import Life, Passage
from trackwheel.units import MILLISECONDS

NEVER = float("inf")


class _Evidence:
    """The targets that ended under one request, none of which was answered (monotonic seconds)."""

    def __init__(self) -> None:
        self.lives: set[Life] = set()
        self.own: set[Life] = set()
        """Those that ended under it at this box."""
        self.last_at = 0.0
        self.report_at = NEVER
        self.is_told = False
        """Whether other boxes know of it too."""
        self.suspect_since = NEVER

    def add(self, lives: Iterable[Life], now: float) -> None:
        """Take ends of targets."""
        self.lives.update(lives)
        self.last_at = now
        if len(self.lives) >= ENDS_TO_HOLD and self.suspect_since == NEVER:
            self.suspect_since = now

    def take_out(self, explained: set[Life]) -> None:
        """Take that another request ended some of the targets."""
        self.lives -= explained
        self.own -= explained
        if len(self.lives) < ENDS_TO_HOLD:
            self.suspect_since = NEVER


class Suspects:
    """Decide, from how requests end here and at other boxes, which ones are held."""

    def __init__(self) -> None:
        self._evidence_by_request: dict[bytes, _Evidence] = {}
        self._held_until_by_request: dict[bytes, float] = {}
        self._answered_at_by_request: dict[bytes, float] = {}
        self._cause_by_life: dict[Life, bytes] = {}
        """Which held request ended a target."""
        self._commands: list[Command] = []

    @property
    def held(self) -> int:
        """Return how many requests are held."""
        return len(self._held_until_by_request)

    def passage(self, request: bytes, now: float) -> Passage:
        """Return whether a request may go to a target."""
        if self._held_until_by_request.get(request, 0.0) > now:
            return Passage.SHUT
        evidence = self._evidence_by_request.get(request)
        if evidence is not None and evidence.suspect_since < NEVER:
            return Passage.WAIT
        return Passage.OPEN

    def waits_s(self, request: bytes, now: float) -> float:
        """Return in how many seconds a request may be tried again, 0 for now."""
        match self.passage(request, now):
            case Passage.SHUT:
                return self._held_until_by_request[request] - now
            case Passage.WAIT:
                evidence = self._evidence_by_request[request]
                return max(REPORT_AFTER_S, evidence.suspect_since + SETTLE_S - now)
            case Passage.OPEN:
                return 0.0

    def closed(self, request: bytes, life: Life, now: float) -> None:
        """Take that a target ended the connection under a request, without an answer."""
        evidence = self._add(request, [life], now)
        if evidence is None:
            return
        evidence.own.add(life)
        if evidence.report_at == NEVER:
            evidence.report_at = now + REPORT_AFTER_S

    def answered(self, request: bytes, now: float) -> None:
        """Take that a target answered a request: it lives on, so that the request ends none."""
        self._answered_at_by_request[request] = now
        evidence = self._evidence_by_request.get(request)
        if request in self._held_until_by_request or (evidence is not None and evidence.is_told):
            self._commands.append(TellAll(RequestsAnswered([request])))
        self._clear(request)

    def take_report(self, report: CrashReport, now: float) -> None:
        """Take under which requests targets ended at another box."""
        answered = [row.fingerprint for row in report.rows if self._was_answered(row, now)]
        if answered:
            self._commands.append(TellAll(RequestsAnswered(answered)))
        for request, lives in report.rows:
            evidence = self._add(request, lives, now)
            if evidence is not None:
                evidence.is_told = True

    def take_answered(self, news: RequestsAnswered, now: float) -> None:
        """Take which requests targets have answered at another box."""
        for request in news.fingerprints:
            self._answered_at_by_request[request] = now
            self._clear(request)

    def take_held(self, news: RequestsHeld, now: float) -> None:
        """Take which requests another box holds."""
        for request, left_ms in news.rows:
            until = now + min(HOLD_S, max(0.0, left_ms / MILLISECONDS))
            if self._answered_lately(request, now):
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
        commands, self._commands = self._commands, []
        return commands

    def next_wake(self) -> float:
        """Return when `tick` is next needed (monotonic seconds)."""
        if self._commands:
            return 0.0
        evidence = self._evidence_by_request.values()
        report_at = min((one.report_at for one in evidence), default=NEVER)
        suspect_since = min((one.suspect_since for one in evidence), default=NEVER)
        return min(report_at, suspect_since + SETTLE_S)

    def _add(self, request: bytes, lives: Iterable[Life], now: float) -> _Evidence | None:
        """Count ends of targets against a request; return nothing where none of them counts."""
        if self._answered_lately(request, now):
            return None
        if request in self._held_until_by_request:
            self._cause_by_life.update(dict.fromkeys(lives, request))
            return None
        counting = [life for life in lives if life not in self._cause_by_life]
        if not counting:
            return None
        evidence = self._evidence(request)
        evidence.add(counting, now)
        return evidence

    def _evidence(self, request: bytes) -> _Evidence:
        evidence = self._evidence_by_request.get(request)
        if evidence is None:
            evidence = self._evidence_by_request[request] = _Evidence()
            if len(self._evidence_by_request) > MOST_SUSPECTS:
                del self._evidence_by_request[next(iter(self._evidence_by_request))]
        return evidence

    def _answered_lately(self, request: bytes, now: float) -> bool:
        return now - self._answered_at_by_request.get(request, -NEVER) < ANSWER_MEMORY_S

    def _was_answered(self, row: EndsUnder, now: float) -> bool:
        return self._answered_lately(row.fingerprint, now)

    def _clear(self, request: bytes) -> None:
        """Drop what is held against a request."""
        self._evidence_by_request.pop(request, None)
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
            evidence.report_at = NEVER
            evidence.is_told = True
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
            # Those with the very same ends cannot be told apart; one of them is to blame.
            lives = frozenset(worst.lives)
            for request in [request for request in suspects if suspects[request].lives == lives]:
                self._hold(request, now + HOLD_S, now)

    def _hold(self, request: bytes, until: float, now: float) -> None:
        """Keep a request from targets, and count its ends against no other one."""
        evidence = self._evidence_by_request.pop(request, _Evidence())
        self._held_until_by_request.pop(request, None)
        self._held_until_by_request[request] = until
        if len(self._held_until_by_request) > MOST_HELD:
            self._release({next(iter(self._held_until_by_request))})
        self._cause_by_life.update(dict.fromkeys(evidence.lives, request))
        for other in list(self._evidence_by_request):
            self._evidence_by_request[other].take_out(evidence.lives)
            if not self._evidence_by_request[other].lives:
                del self._evidence_by_request[other]
        self._commands.append(Held(request, len(evidence.lives), until - now))
        if evidence.own:
            # Only boxes that met it tell, so that a fleet does not tell itself a thousand times.
            row = HeldRequest(request, (until - now) * MILLISECONDS)
            self._commands.append(TellAll(RequestsHeld([row])))

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
        for request, evidence in list(self._evidence_by_request.items()):
            if now - evidence.last_at >= EVIDENCE_MEMORY_S:
                del self._evidence_by_request[request]

    def forget_answers(self, now: float) -> None:
        """Drop answers that clear nothing any more, and the oldest ones beyond a number."""
        kept = {
            request: at
            for request, at in self._answered_at_by_request.items()
            if now - at < ANSWER_MEMORY_S
        }
        surplus = max(0, len(kept) - MOST_ANSWERED)
        self._answered_at_by_request = dict(list(kept.items())[surplus:])
