"""Errors of the links between boxes."""

from trackwheel.errors import TrackwheelError


class FrameError(TrackwheelError):
    """Say that a frame from a peer could not be read."""
