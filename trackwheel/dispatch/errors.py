"""Errors of dispatch."""

from trackwheel.errors import TrackwheelError


class TargetError(TrackwheelError):
    """Say that a target did not answer as its contract says."""
