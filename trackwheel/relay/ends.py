"""What the quarantine learns of how requests end at targets."""

from trackwheel.quarantine.service import Quarantine
from trackwheel.relay.models import Outcome, Target
from trackwheel.relay.transport import TargetAttempt, TargetTransport


def tell_ends(transport: TargetTransport, quarantine: Quarantine) -> None:
    """Let the quarantine know how each request of this box ends at its target."""

    def ended(attempt: TargetAttempt, outcome: Outcome, sent_at: float) -> None:
        match outcome:
            case Outcome.OK:
                # No other answer clears a request: a failing target may not have begun to run it.
                quarantine.answered(attempt.request.fingerprint)
            case Outcome.CLOSED:
                quarantine.closed(attempt.request.fingerprint, attempt.target.life)
            case Outcome.NOT_SENT:
                quarantine.refused(attempt.target.life)

    def taken_back(fingerprint: bytes, target: Target) -> None:
        quarantine.taken_back(fingerprint, target.life)

    transport.on_attempt_end(ended)
    transport.on_withdrawn(taken_back)
