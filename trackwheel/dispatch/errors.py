"""Errors of dispatch."""

from trackwheel.errors import TrackwheelError


class TargetError(TrackwheelError):
    """Raised when a target violates its protocol."""
