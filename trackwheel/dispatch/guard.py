"""Quarantine checks before sending, and reports of request outcomes to the quarantine."""

from typing import Final

from trackwheel.dispatch.models import Outcome, Work
from trackwheel.quarantine.service import Quarantine
from trackwheel.relay.fingerprint import fingerprint
from trackwheel.targets.errors import TargetClosedError, TargetUnreachableError
from trackwheel.targets.models import TargetReply

_QUERY: Final = b"query"
_EXECUTE: Final = b"execute"


def query_fingerprint(service: str, query: str) -> bytes:
    """Return the fingerprint that all attempts at a query share."""
    return fingerprint(service, _QUERY, b"", query.encode())


def execute_fingerprint(service: str, body: str) -> bytes:
    """Return the fingerprint that all attempts at a request that may run only once share."""
    return fingerprint(service, _EXECUTE, b"", body.encode())


class SendGuard:
    """Report how requests end at this owner's targets, and hold those that crash targets.

    One life of a target is identified by its address and the boot that it last reported.
    """

    def __init__(self, quarantine: Quarantine) -> None:
        self._quarantine = quarantine
        self._boot_by_target: dict[str, str] = {}

    def retry_after_s(self, request: bytes) -> float:
        """Return the delay before a request may be sent (seconds), 0 if it is not held."""
        return self._quarantine.retry_after_s(request)

    def record_boot(self, target: str, boot: str) -> None:
        """Record the boot that a target reported."""
        if boot:
            self._boot_by_target[target] = boot

    def record_reply(self, work: Work, outcome: Outcome, reply: TargetReply) -> None:
        """Record the reply of a target to a request."""
        self.record_boot(work.target, reply.boot)
        if outcome is Outcome.OK:
            self._quarantine.request_answered(_fingerprint(work))

    def record_failure(self, work: Work, error: Exception) -> None:
        """Record a request that got no reply."""
        life = f"{work.target} {self._boot_by_target.get(work.target, '')}", 0
        match error:
            case TargetClosedError():
                self._quarantine.connection_closed(_fingerprint(work), life)
            case TargetUnreachableError():
                self._quarantine.connection_refused(life)


def _fingerprint(work: Work) -> bytes:
    if work.once:
        return execute_fingerprint(work.service, work.text)
    return query_fingerprint(work.service, work.text)
