"""Work for targets, scheduler commands, and messages between gateways and owners."""

from enum import StrEnum
from typing import NamedTuple


class Outcome(StrEnum):
    """Outcome of a sub-request."""

    OK = "ok"
    WRONG_VERSION = "wrong_version"
    SHED = "shed"
    LATE = "late"
    LEAVING = "leaving"
    EJECTED = "ejected"
    FAILED = "failed"
    OVERSIZED = "oversized"
    UNKNOWN_TARGET = "unknown_target"
    NO_OWNER = "no_owner"
    HELD = "held"


class RunOutcome(StrEnum):
    """Known outcome of a request that may run only once."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class SubRequest(NamedTuple):
    """Identify one sub-request of a query; as a last resort an ejected target is used too."""

    nonce: int
    target: str
    last_resort: bool


class Scatter(NamedTuple):
    """Submit all sub-requests of a query for one owner."""

    query_id: str
    service: str
    group: str
    deadline_ms: float
    version: int | None
    query: str
    sub_requests: list[SubRequest]


class Withdraw(NamedTuple):
    """Withdraw sub-requests of a query, or executions that have no permit yet."""

    query_id: str
    sub_requests: list[SubRequest]


class SubAnswer(NamedTuple):
    """Return the outcome of one sub-request to its gateway."""

    query_id: str
    nonce: int
    outcome: Outcome
    body: bytes
    holds: list[int]
    delay_ms: float
    service_ms: float
    retry_after_ms: float


class ExecuteAsk(NamedTuple):
    """Submit a request that may run only once; `query_id` identifies this attempt."""

    query_id: str
    nonce: int
    request_id: str
    gateway_boot: str
    service: str
    group: str
    target: str
    deadline_ms: float
    body: str


class PermitRequest(NamedTuple):
    """Request permission from the gateway to run a request, immediately before sending it."""

    query_id: str
    nonce: int
    target: str
    request_id: str
    gateway_boot: str


class PermitReply(NamedTuple):
    """Grant or deny a permit; a permit is granted at most once."""

    query_id: str
    nonce: int
    target: str
    granted: bool


class ExecuteAnswer(NamedTuple):
    """Return the outcome of an execution."""

    query_id: str
    nonce: int
    outcome: RunOutcome
    reason: str
    body: bytes
    retry_after_ms: float


class Ping(NamedTuple):
    """Check whether an owner is alive."""

    sequence: int


class Pong(NamedTuple):
    """Reply to a `Ping`."""

    sequence: int


DISPATCH_MESSAGES = (
    Scatter,
    Withdraw,
    SubAnswer,
    ExecuteAsk,
    PermitRequest,
    PermitReply,
    ExecuteAnswer,
    Ping,
    Pong,
)


class WorkKey(NamedTuple):
    """Identify work by its gateway, query, nonce and target."""

    gateway: str
    query_id: str
    nonce: int
    target: str

    def wire_nonce(self) -> str:
        """Return the nonce that the target must echo."""
        return f"{self.query_id}.{self.nonce}"


class Work(NamedTuple):
    """One request for one target; `deadline` is on this box's monotonic clock."""

    key: WorkKey
    service: str
    group: str
    deadline: float
    version: int | None
    text: str
    last_resort: bool
    request_id: str = ""
    gateway_boot: str = ""

    @property
    def target(self) -> str:
        """Return the address of the target."""
        return self.key.target

    @property
    def once(self) -> bool:
        """Return whether the work may run only once."""
        return bool(self.request_id)


class SendQuery(NamedTuple):
    """Command: send a sub-request to its target."""

    work: Work


class AskPermit(NamedTuple):
    """Command: request a permit from the work's gateway."""

    work: Work


class SendExecute(NamedTuple):
    """Command: execute permitted work at its target."""

    work: Work


class CancelSend(NamedTuple):
    """Command: cancel a request to a target and close its connection."""

    key: WorkKey


class Refuse(NamedTuple):
    """Command: report to the gateway that work was not sent (times in seconds)."""

    work: Work
    outcome: Outcome
    delay_s: float
    retry_after_s: float


class ReturnPermit(NamedTuple):
    """Command: report to the gateway that a permit came too late and nothing was sent."""

    key: WorkKey


class OpenConnections(NamedTuple):
    """Command: open connections to a target in advance."""

    target: str
    connections: int


class CheckHealth(NamedTuple):
    """Command: read the health page of a target."""

    target: str


class ReportLeaving(NamedTuple):
    """Command: report to the fleet that a target is leaving."""

    target: str
    target_boot: str


DispatchCommand = (
    SendQuery
    | AskPermit
    | SendExecute
    | CancelSend
    | Refuse
    | ReturnPermit
    | OpenConnections
    | CheckHealth
    | ReportLeaving
)


class TargetEstimate(NamedTuple):
    """Estimates for a target (times in seconds)."""

    mean_s: float
    likely_s: float
    learnt_at: float
    running: int
    waiting: int
    limit: int


class RequestEnded(NamedTuple):
    """Outcome of a request at a target, used for its limits and ejection."""

    key: WorkKey
    outcome: Outcome
    service_s: float
    target_boot: str = ""
    leaving: bool = False
