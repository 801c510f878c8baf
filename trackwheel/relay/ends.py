"""What the quarantine learns of how requests end at targets."""

from trackwheel.quarantine.service import Quarantine
from trackwheel.relay.models import Outcome, Target
from trackwheel.relay.transport import Sending, TargetTransport


def tell_ends(transport: TargetTransport, quarantine: Quarantine) -> None:
    """Let the quarantine know how each request of this box ends at its target."""

    def ended(sending: Sending, outcome: Outcome, sent_at: float) -> None:
        match outcome:
            case Outcome.OK:
                # No other answer clears a request: a failing target may not have begun to run it.
                quarantine.request_answered(sending.request.fingerprint)
            case Outcome.CLOSED:
                quarantine.connection_closed(sending.request.fingerprint, sending.target.life)
            case Outcome.NOT_SENT:
                quarantine.connection_refused(sending.target.life)

    def taken_back(fingerprint: bytes, target: Target) -> None:
        quarantine.request_withdrawn(fingerprint, target.life)

    transport.on_any_end(ended)
    transport.on_taken_back(taken_back)
