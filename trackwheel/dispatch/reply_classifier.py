"""Classification of target replies; only a reply that echoes the nonce is trusted."""

from typing import Final

import msgspec

from trackwheel.dispatch.models import Outcome, RunOutcome, Work
from trackwheel.targets.models import (
    AnswerHead,
    ExecuteRefusal,
    ExecuteReply,
    TargetReply,
    WrongVersion,
)

STATUS_OK: Final = 200
STATUS_CONFLICT: Final = 409
STATUSES_SHED: Final = (429, 503)


def classify_query_reply(work: Work, reply: TargetReply) -> tuple[Outcome, list[int]]:
    """Return the outcome of a sub-request; an answer with a foreign nonce counts as failed."""
    try:
        if reply.status == STATUS_OK:
            head = msgspec.json.decode(reply.body, type=AnswerHead)
            own = head.nonce == work.key.wire_nonce() and head.end
            return (Outcome.OK if own else Outcome.FAILED), []
        if reply.status == STATUS_CONFLICT:
            wrong = msgspec.json.decode(reply.body, type=WrongVersion)
            return Outcome.WRONG_VERSION, wrong.holds
    except msgspec.DecodeError:
        return Outcome.FAILED, []
    if reply.status in STATUSES_SHED:
        return (Outcome.LEAVING if reply.draining else Outcome.SHED), []
    return Outcome.FAILED, []


def classify_execute_reply(work: Work, reply: TargetReply) -> tuple[RunOutcome, str]:
    """Return the outcome of permitted work, unknown unless the reply echoes its nonce."""
    try:
        if reply.status == STATUS_OK:
            done = msgspec.json.decode(reply.body, type=ExecuteReply)
            if done.nonce == work.key.wire_nonce() and done.end:
                return RunOutcome.DONE, ""
            return RunOutcome.UNKNOWN, "foreign_answer"
        if reply.not_run:
            refusal = msgspec.json.decode(reply.body, type=ExecuteRefusal)
            if refusal.nonce == work.key.wire_nonce():
                return RunOutcome.NOT_RUN, refusal.code
    except msgspec.DecodeError:
        return RunOutcome.UNKNOWN, "broken_answer"
    return RunOutcome.UNKNOWN, f"status_{reply.status}"


def outcome_of_run(run: RunOutcome, reply: TargetReply | None) -> Outcome:
    """Return the outcome with which a run counts for its target's limits and ejection."""
    if run is RunOutcome.DONE:
        return Outcome.OK
    if run is RunOutcome.NOT_RUN and reply is not None:
        return Outcome.LEAVING if reply.draining else Outcome.SHED
    return Outcome.FAILED
