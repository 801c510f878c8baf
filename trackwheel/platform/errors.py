"""Errors of the connection to the users' platform."""

from trackwheel.errors import Problem, TrackwheelError


class StoreError(TrackwheelError):
    """The store did not answer, or its content cannot be decoded."""


def store_error(code: str, step: str, peer: str, error: object) -> StoreError:
    """Return the error for a failed call or an unusable item."""
    detail = repr(error) if isinstance(error, Exception) else str(error)
    return StoreError(Problem(code, step, peer, detail))
