"""Errors that callers see; docs/CALLERS.md lists the codes."""

from enum import StrEnum

from trackwheel.errors import Problem, TrackwheelError


class Code(StrEnum):
    """Name every reason for which a caller gets no answer."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_SERVICE = "unknown_service"
    NOT_READY = "not_ready"
    OVERLOADED = "overloaded"
    HELD = "held"
    COVERAGE_TOO_LOW = "coverage_too_low"
    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ID_MISSING = "id_missing"
    ID_INVALID = "id_invalid"
    ID_REUSED = "id_reused"
    INTERNAL = "internal"


class CallerError(TrackwheelError):
    """Carry a refusal to the caller (seconds until it may come back; 0 for no advice)."""

    def __init__(self, problem: Problem, retry_after_s: float = 0.0) -> None:
        super().__init__(problem)
        self.retry_after_s = retry_after_s


def refuse(
    code: Code, step: str, detail: str, remedy: str, retry_after_s: float = 0.0
) -> CallerError:
    """Return the error for a refusal by this box."""
    return CallerError(Problem(code, step, "gateway", detail, remedy), retry_after_s)
