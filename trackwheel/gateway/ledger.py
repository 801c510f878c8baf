"""The ledger of at-most-once requests: ids, permits and outcomes.

Only the box that issued an id decides about it. The ledger is kept in memory and lost with the
process; no other box takes it over. Each attempt gets at most one live permit, and none after it
has ended.
"""

import hashlib
import hmac
from collections import OrderedDict
from enum import StrEnum
from typing import NamedTuple

from trackwheel.dispatch.models import RunOutcome
from trackwheel.gateway.const import ID_LIFETIME_S, MAX_RECORDS

_MAC_DIGITS = 16
_ID_PARTS = 4


class Verdict(StrEnum):
    """What to do with a request of a caller."""

    START = "start"
    JOIN = "join"
    FINAL = "final"
    ELSEWHERE = "elsewhere"
    INVALID = "invalid"
    REUSED = "reused"
    EXPIRED = "expired"
    FULL = "full"


class Decision(NamedTuple):
    """A verdict with the attempt to start or join, or the known outcome."""

    verdict: Verdict
    attempt: int = 0
    outcome: RunOutcome = RunOutcome.UNKNOWN
    body: bytes = b""


class RequestId(NamedTuple):
    """The parts of a request id: boot of the issuer, time of issue, number and MAC."""

    boot: str
    issued_ms: int
    number: int
    mac: str


class _Record:
    """State of one request; `permitted` is set while its attempt holds a permit."""

    __slots__ = ("attempt", "body", "digest", "outcome", "permitted", "running")

    def __init__(self, digest: bytes) -> None:
        self.digest = digest
        self.attempt = 0
        self.running = False
        self.permitted = False
        self.outcome: RunOutcome | None = None
        self.body = b""


def parse_id(request_id: str) -> RequestId | None:
    """Return the parts of an id, None if it is malformed."""
    parts = request_id.split("-")
    if len(parts) != _ID_PARTS or not parts[1].isdigit() or not parts[2].isdigit():
        return None
    if len(request_id) > 120:
        return None
    return RequestId(parts[0], int(parts[1]), int(parts[2]), parts[3])


class Ledger:
    """Issue ids, grant permits and record outcomes for one boot of one box."""

    def __init__(self, boot: str, secret: bytes) -> None:
        self._boot = boot
        self._secret = secret
        self._number = 0
        self._record_by_id: OrderedDict[str, _Record] = OrderedDict()

    def issue(self, group: str, count: int, now: float) -> list[str]:
        """Return new ids that only this group can use."""
        issued_ms = int(now * 1000)
        ids = []
        for _ in range(count):
            self._number += 1
            unsigned_id = f"{self._boot}-{issued_ms}-{self._number}"
            ids.append(f"{unsigned_id}-{self._mac(unsigned_id, group)}")
        return ids

    def begin(self, request_id: str, group: str, content: bytes, now: float) -> Decision:
        """Decide whether to start, join or refuse a new or repeated request."""
        parsed = parse_id(request_id)
        if parsed is None:
            return Decision(Verdict.INVALID)
        if parsed.boot != self._boot:
            return Decision(Verdict.ELSEWHERE)
        unsigned_id = request_id.rpartition("-")[0]
        if not hmac.compare_digest(parsed.mac, self._mac(unsigned_id, group)):
            return Decision(Verdict.INVALID)
        self._evict_expired(now)
        digest = hashlib.sha256(content).digest()
        record = self._record_by_id.get(request_id)
        if record is None:
            return self._begin_first(request_id, parsed, digest, now)
        if record.digest != digest:
            return Decision(Verdict.REUSED)
        if record.running:
            return Decision(Verdict.JOIN, record.attempt)
        if record.outcome is not None:
            return Decision(Verdict.FINAL, record.attempt, record.outcome, record.body)
        return self._start(record)

    def grant_permit(self, request_id: str, attempt: int) -> bool:
        """Grant the permit of a running attempt, once; the request may run from now on."""
        record = self._record_by_id.get(request_id)
        if record is None or not record.running or record.attempt != attempt:
            return False
        if record.permitted:
            return False
        record.permitted = True
        return True

    def release_permit(self, request_id: str, attempt: int) -> None:
        """Release a permit whose target certainly did not run the request."""
        record = self._record_by_id.get(request_id)
        if record is not None and record.attempt == attempt and record.running:
            record.permitted = False

    def end_attempt(self, request_id: str, attempt: int) -> RunOutcome:
        """End an attempt; the request was not run if and only if no permit is outstanding."""
        record = self._record_by_id.get(request_id)
        if record is None or record.attempt != attempt:
            return RunOutcome.UNKNOWN
        record.running = False
        if record.permitted:
            record.outcome = record.outcome or RunOutcome.UNKNOWN
            return record.outcome
        return RunOutcome.NOT_RUN

    def record_done(self, request_id: str, attempt: int, body: bytes) -> None:
        """Record that a permitted attempt ran, even if the answer is late."""
        record = self._record_by_id.get(request_id)
        if record is None or record.attempt != attempt or not record.permitted:
            return
        record.running = False
        record.outcome = RunOutcome.DONE
        record.body = body

    def _begin_first(
        self, request_id: str, parsed: RequestId, digest: bytes, now: float
    ) -> Decision:
        if now * 1000 - parsed.issued_ms > ID_LIFETIME_S * 1000:
            # Its record may have been evicted, so the outcome is no longer known.
            return Decision(Verdict.EXPIRED)
        if len(self._record_by_id) >= MAX_RECORDS:
            return Decision(Verdict.FULL)
        record = self._record_by_id[request_id] = _Record(digest)
        return self._start(record)

    def _start(self, record: _Record) -> Decision:
        record.attempt += 1
        record.running = True
        record.permitted = False
        return Decision(Verdict.START, record.attempt)

    def _evict_expired(self, now: float) -> None:
        """Drop the oldest records whose ids have expired."""
        while self._record_by_id:
            request_id, record = next(iter(self._record_by_id.items()))
            parsed = parse_id(request_id)
            assert parsed is not None, "only valid ids are recorded"
            old = now * 1000 - parsed.issued_ms > 2 * ID_LIFETIME_S * 1000
            if not old or record.running:
                return
            del self._record_by_id[request_id]

    def _mac(self, unsigned_id: str, group: str) -> str:
        digest = hmac.new(self._secret, f"{unsigned_id}|{group}".encode(), hashlib.sha256)
        return digest.hexdigest()[:_MAC_DIGITS]
