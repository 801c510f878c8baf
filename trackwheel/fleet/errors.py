"""Errors of the fleet."""

from trackwheel.errors import TrackwheelError


class BoxListError(TrackwheelError):
    """The box list of the platform could not be read."""
