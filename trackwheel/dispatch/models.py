"""Work for targets, and the messages between gateways and owners."""

from enum import StrEnum
from typing import NamedTuple


class Outcome(StrEnum):
    """Say how one sub-request ended."""

    OK = "ok"
    WRONG_VERSION = "wrong_version"
    SHED = "shed"
    LATE = "late"
    LEAVING = "leaving"
    EJECTED = "ejected"
    FAILED = "failed"
    UNKNOWN_TARGET = "unknown_target"
    NO_OWNER = "no_owner"
    HELD = "held"


class RunOutcome(StrEnum):
    """Say what is known of a request that may run only once."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Ask(NamedTuple):
    """Name one sub-request of a query; as a last resort it goes to an ejected target too."""

    nonce: int
    target: str
    last_resort: bool


class Scatter(NamedTuple):
    """Carry all of a query's sub-requests for one owner."""

    query_id: str
    service: str
    group: str
    deadline_ms: float
    version: int | None
    query: str
    asks: list[Ask]


class Withdraw(NamedTuple):
    """Take back sub-requests of a query, or executions that have no permit yet."""

    query_id: str
    asks: list[Ask]


class SubAnswer(NamedTuple):
    """Carry the end of one sub-request back to its gateway."""

    query_id: str
    nonce: int
    outcome: Outcome
    body: bytes
    holds: list[int]
    delay_ms: float
    service_ms: float
    retry_after_ms: float


class ExecuteAsk(NamedTuple):
    """Carry one request that may run only once; `query_id` names this attempt."""

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
    """Ask the gateway, immediately before sending, whether the request may run."""

    query_id: str
    nonce: int
    target: str
    request_id: str
    gateway_boot: str


class PermitReply(NamedTuple):
    """Grant or deny a permit; a grant is given once."""

    query_id: str
    nonce: int
    target: str
    granted: bool


class ExecuteAnswer(NamedTuple):
    """Say how an execution ended."""

    query_id: str
    nonce: int
    outcome: RunOutcome
    reason: str
    body: bytes
    retry_after_ms: float


class Ping(NamedTuple):
    """Ask an owner for a sign of life."""

    sequence: int


class Pong(NamedTuple):
    """Give a sign of life."""

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
    """Identify work: who asked, in which query, under which nonce, of which target."""

    gateway: str
    query_id: str
    nonce: int
    target: str

    def wire(self) -> str:
        """Return the nonce that the target must echo."""
        return f"{self.query_id}.{self.nonce}"


class Work(NamedTuple):
    """Hold one unit of work for one target; `deadline` is on this box's monotonic clock."""

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
        """Return the target that the work is for."""
        return self.key.target

    @property
    def once(self) -> bool:
        """Return whether the work may run only once."""
        return bool(self.request_id)


class SendQuery(NamedTuple):
    """Command: send a sub-request to its target."""

    work: Work


class AskPermit(NamedTuple):
    """Command: ask the work's gateway for a permit."""

    work: Work


class SendExecute(NamedTuple):
    """Command: run permitted work at its target."""

    work: Work


class CancelSend(NamedTuple):
    """Command: stop waiting for a target's answer and close that connection."""

    key: WorkKey


class Refuse(NamedTuple):
    """Command: tell the gateway that work was not sent (seconds)."""

    work: Work
    outcome: Outcome
    delay_s: float
    retry_after_s: float


class PermitUnused(NamedTuple):
    """Command: tell the gateway that a permit came too late and that nothing was sent."""

    key: WorkKey


class Warm(NamedTuple):
    """Command: open connections to a target ahead of need."""

    target: str
    connections: int


class CheckHealth(NamedTuple):
    """Command: read a target's health page as a hint."""

    target: str


class ReportLeaving(NamedTuple):
    """Command: tell the fleet that a target is leaving."""

    target: str
    target_boot: str


DispatchCommand = (
    SendQuery
    | AskPermit
    | SendExecute
    | CancelSend
    | Refuse
    | PermitUnused
    | Warm
    | CheckHealth
    | ReportLeaving
)


class TargetEstimate(NamedTuple):
    """Describe what an owner expects of a target (seconds)."""

    mean_s: float
    likely_s: float
    learnt_at: float
    running: int
    waiting: int
    limit: int


class Ended(NamedTuple):
    """Say how a request at a target ended, for the target's own record."""

    key: WorkKey
    outcome: Outcome
    service_s: float
    target_boot: str = ""
    leaving: bool = False
