"""State machine of one attempt at an at-most-once request."""

from typing import NamedTuple

from trackwheel.dispatch.models import ExecuteAnswer, Outcome, PermitRequest, RunOutcome
from trackwheel.gateway.const import MIN_RETRY_AFTER_S
from trackwheel.gateway.ledger import Ledger
from trackwheel.gateway.target_selector import TargetSelector


class EnqueueExecution(NamedTuple):
    """Command: enqueue the request at a target."""

    nonce: int
    target: str


class CancelExecution(NamedTuple):
    """Command: remove the request from the queue of a target."""

    nonce: int
    target: str


class SendPermitReply(NamedTuple):
    """Command: reply to the permit request of an owner."""

    nonce: int
    target: str
    granted: bool


class Settled(NamedTuple):
    """Command: return the outcome to the caller (seconds until a retry)."""

    outcome: RunOutcome
    reason: str
    body: bytes
    retry_after_s: float


ExecutionCommand = EnqueueExecution | CancelExecution | SendPermitReply | Settled


class ExecutionPlan(NamedTuple):
    """Input of one attempt at a request (deadline on the monotonic clock of this box)."""

    query_id: str
    request_id: str
    attempt: int
    targets: tuple[str, ...]
    deadline: float


class Execution:
    """Turn events and time into commands for one attempt; does no I/O."""

    def __init__(self, plan: ExecutionPlan, ledger: Ledger, selector: TargetSelector) -> None:
        self.plan = plan
        self._ledger = ledger
        self._selector = selector
        self._nonce = 0
        self._target = ""
        self._permitted = False
        self._tried: set[str] = set()
        self._reason = "no_target"
        self._retry_after_s = MIN_RETRY_AFTER_S
        self.settled = False

    def start(self, now: float) -> list[ExecutionCommand]:
        """Enqueue the request at the first target."""
        return self._enqueue_next(now)

    def handle_permit_request(self, request: PermitRequest) -> list[ExecutionCommand]:
        """Grant a permit to the current target only, deny it to all others."""
        plan = self.plan
        current = request.nonce == self._nonce and request.target == self._target
        granted = (
            current
            and not self.settled
            and request.request_id == plan.request_id
            and self._ledger.grant_permit(plan.request_id, plan.attempt)
        )
        self._permitted = self._permitted or granted
        return [SendPermitReply(request.nonce, request.target, granted)]

    def handle_answer(self, answer: ExecuteAnswer, now: float) -> list[ExecutionCommand]:
        """Process an answer; a late `done` is recorded even after the attempt is settled."""
        if answer.nonce != self._nonce:
            return []
        plan = self.plan
        if answer.outcome is RunOutcome.DONE:
            self._ledger.record_done(plan.request_id, plan.attempt, answer.body)
            return self._settle(RunOutcome.DONE, "", answer.body)
        if self.settled:
            return []
        if answer.outcome is RunOutcome.UNKNOWN:
            return self._fail(answer.reason)
        self._ledger.release_permit(plan.request_id, plan.attempt)
        self._permitted = False
        self._reason = answer.reason
        self._retry_after_s = max(self._retry_after_s, answer.retry_after_ms / 1000)
        if answer.reason == Outcome.LEAVING:
            self._selector.mark_leaving(self._target, now)
        elif answer.reason == Outcome.EJECTED:
            self._selector.mark_ejected(self._target, now)
        return self._enqueue_next(now)

    def handle_owner_lost(self, now: float) -> list[ExecutionCommand]:
        """Settle as unknown if a permit was granted, else try another target."""
        if self.settled:
            return []
        if self._permitted:
            return self._fail("owner_lost")
        self._reason = Outcome.NO_OWNER
        return self._enqueue_next(now)

    def expire(self) -> list[ExecutionCommand]:
        """Settle the attempt at its deadline."""
        if self.settled:
            return []
        cancel = CancelExecution(self._nonce, self._target)
        return [cancel, *self._fail("deadline")]

    @property
    def target(self) -> str:
        """Return the target at which the request was last enqueued."""
        return self._target

    def _enqueue_next(self, now: float) -> list[ExecutionCommand]:
        target = self._selector.choose(self.plan.targets, self._tried, now)
        if target is None or now >= self.plan.deadline:
            return self._fail(self._reason)
        self._nonce += 1
        self._target = target
        self._tried.add(target)
        return [EnqueueExecution(self._nonce, target)]

    def _fail(self, reason: str) -> list[ExecutionCommand]:
        outcome = self._ledger.end_attempt(self.plan.request_id, self.plan.attempt)
        return self._settle(outcome, reason, b"")

    def _settle(self, outcome: RunOutcome, reason: str, body: bytes) -> list[ExecutionCommand]:
        if self.settled:
            return []
        self.settled = True
        return [Settled(outcome, reason, body, self._retry_after_s)]
