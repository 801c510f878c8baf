"""Errors of operators' files and of putting them in force."""

from trackwheel.errors import TrackwheelError


class ApplyError(TrackwheelError):
    """Say that a file was not accepted, and why."""


class StoreError(TrackwheelError):
    """Say that the platform's key-value service did not answer as needed."""
