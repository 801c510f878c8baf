"""Errors of the edge towards targets."""

from trackwheel.errors import Problem, TrackwheelError


class TargetUnreachableError(TrackwheelError):
    """Say that nothing was sent: no connection could be opened."""


class TargetBrokenError(TrackwheelError):
    """Say that the exchange broke after the request may have been sent."""


class TargetClosedError(TargetBrokenError):
    """Say that the target ended the connection before an answer began: it may have ended itself."""


def unreachable(target: str, error: Exception) -> TargetUnreachableError:
    """Return the error for a connection that could not be opened."""
    return TargetUnreachableError(Problem("unreachable", "connect", target, repr(error)))


def broken(target: str, error: Exception) -> TargetBrokenError:
    """Return the error for an exchange that broke."""
    return TargetBrokenError(Problem("broken", "exchange", target, repr(error)))


def closed(target: str, error: Exception) -> TargetClosedError:
    """Return the error for a connection that its target ended under a request."""
    return TargetClosedError(Problem("closed", "exchange", target, repr(error)))
