"""Errors of the clients of the platform's services."""

from trackwheel.errors import Problem, TrackwheelError


class PlatformError(TrackwheelError):
    """A call to the platform failed; it may nevertheless have taken effect."""


def platform_error(step: str, peer: str, error: object) -> PlatformError:
    """Return the error for a failed call."""
    detail = repr(error) if isinstance(error, Exception) else str(error)
    return PlatformError(Problem("platform_unavailable", step, peer, detail, "Try again later"))
