"""Reports the outcomes of requests at targets to the quarantine."""

from trackwheel.quarantine.service import Quarantine
from trackwheel.relay.models import Outcome, Target
from trackwheel.relay.transport import TargetAttempt, TargetTransport


def report_outcomes(transport: TargetTransport, quarantine: Quarantine) -> None:
    """Report to the quarantine how each request of this box ends at its target."""

    def ended(attempt: TargetAttempt, outcome: Outcome, sent_at: float) -> None:
        match outcome:
            case Outcome.OK:
                # Only a success clears a request: a failing target may not have started it.
                quarantine.request_answered(attempt.request.fingerprint)
            case Outcome.CLOSED:
                quarantine.connection_closed(
                    attempt.request.fingerprint, attempt.target.incarnation
                )
            case Outcome.NOT_SENT:
                quarantine.connection_refused(attempt.target.incarnation)

    def taken_back(fingerprint: bytes, target: Target) -> None:
        quarantine.request_withdrawn(fingerprint, target.incarnation)

    transport.on_attempt_end(ended)
    transport.on_withdrawn(taken_back)
