"""What owners tell the quarantine of their targets, and what they refuse to send."""

from typing import Final

from trackwheel.dispatch.models import Outcome, Work
from trackwheel.quarantine.service import Quarantine
from trackwheel.relay.fingerprint import fingerprint
from trackwheel.targets.errors import TargetClosedError, TargetUnreachableError
from trackwheel.targets.models import TargetReply

_QUERY: Final = b"query"
_EXECUTE: Final = b"execute"


def query_fingerprint(service: str, query: str) -> bytes:
    """Return what is the same in each attempt at a query."""
    return fingerprint(service, _QUERY, b"", query.encode())


def execute_fingerprint(service: str, body: str) -> bytes:
    """Return what is the same in each attempt at a request that may run only once."""
    return fingerprint(service, _EXECUTE, b"", body.encode())


class SendGuard:
    """Follow how work ends at this owner's targets; keep what ends them from them.

    A target's life is its address and the boot that it told last.
    """

    def __init__(self, quarantine: Quarantine) -> None:
        self._quarantine = quarantine
        self._boot_by_target: dict[str, str] = {}

    def retry_after_s(self, request: bytes) -> float:
        """Return in how many seconds a request may be sent again, 0 for now."""
        return self._quarantine.retry_after_s(request)

    def heard(self, target: str, boot: str) -> None:
        """Take a target's word which boot it is."""
        if boot:
            self._boot_by_target[target] = boot

    def replied(self, work: Work, outcome: Outcome, reply: TargetReply) -> None:
        """Take a target's reply to some work."""
        self.heard(work.target, reply.boot)
        if outcome is Outcome.OK:
            self._quarantine.request_answered(_fingerprint(work))

    def failed(self, work: Work, error: Exception) -> None:
        """Take that work brought no reply."""
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
