"""Errors of the edge towards the users' platform."""

from trackwheel.errors import Problem, TrackwheelError


class StoreError(TrackwheelError):
    """Say that the store did not answer, or that what it holds cannot be read."""


def store_error(code: str, step: str, peer: str, error: object) -> StoreError:
    """Return the error for a call or an item that is of no use."""
    detail = repr(error) if isinstance(error, Exception) else str(error)
    return StoreError(Problem(code, step, peer, detail))
