"""Errors of the fleet."""

from trackwheel.errors import TrackwheelError


class BoxListError(TrackwheelError):
    """Say that the platform's box list could not be read."""
