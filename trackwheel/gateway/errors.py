"""Errors that are returned to callers; docs/CALLERS.md lists the codes."""

from enum import StrEnum

from trackwheel.errors import Problem, TrackwheelError


class Code(StrEnum):
    """Error codes for requests that get no answer."""

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
    """Error that is returned to the caller (seconds until a retry; 0 for no advice)."""

    def __init__(self, problem: Problem, retry_after_s: float = 0.0) -> None:
        super().__init__(problem)
        self.retry_after_s = retry_after_s


def refusal(
    code: Code, step: str, detail: str, remedy: str, retry_after_s: float = 0.0
) -> CallerError:
    """Return the error with which this box refuses a request."""
    return CallerError(Problem(code, step, "gateway", detail, remedy), retry_after_s)
