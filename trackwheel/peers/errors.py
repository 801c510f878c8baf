"""Errors of the links between boxes."""

from trackwheel.errors import TrackwheelError


class FrameError(TrackwheelError):
    """A frame could not be encoded, or one from a peer could not be decoded."""
