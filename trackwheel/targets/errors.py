"""Errors of exchanges with targets."""

from trackwheel.errors import Problem, TrackwheelError


class TargetUnreachableError(TrackwheelError):
    """Raised when no connection could be opened, so that nothing was sent."""


class TargetBrokenError(TrackwheelError):
    """Raised when the exchange failed after the request may have been sent."""


class TargetClosedError(TargetBrokenError):
    """Raised when the target closed the connection before it answered; it may have crashed."""


class TargetOversizedError(TargetBrokenError):
    """Raised when the target sent more bytes than an answer may have."""


def unreachable_error(target: str, error: Exception) -> TargetUnreachableError:
    """Return the error for a connection that could not be opened."""
    return TargetUnreachableError(Problem("unreachable", "connect", target, repr(error)))


def broken_error(target: str, error: Exception) -> TargetBrokenError:
    """Return the error for an exchange that failed."""
    return TargetBrokenError(Problem("broken", "exchange", target, repr(error)))


def closed_error(target: str, error: Exception) -> TargetClosedError:
    """Return the error for a connection that the target closed during a request."""
    return TargetClosedError(Problem("closed", "exchange", target, repr(error)))


def oversized_error(target: str, error: Exception) -> TargetOversizedError:
    """Return the error for an answer that exceeds a limit."""
    return TargetOversizedError(Problem("oversized", "exchange", target, str(error)))
