"""Errors of the edge towards the platform."""

from trackwheel.errors import Problem, TrackwheelError


class PlatformError(TrackwheelError):
    """Say that the platform did not answer; what was asked of it may have taken effect."""


def platform_error(step: str, peer: str, error: object) -> PlatformError:
    """Return the error for a call that did not succeed."""
    detail = repr(error) if isinstance(error, Exception) else str(error)
    return PlatformError(Problem("platform_unavailable", step, peer, detail, "Try again later"))
