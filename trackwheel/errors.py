"""Base of all errors: what failed, in which step, at which peer, and the remedy."""

from typing import NamedTuple


class Problem(NamedTuple):
    """Description of a failure for callers and operators."""

    code: str
    step: str
    peer: str
    detail: str
    remedy: str = ""

    def sentence(self) -> str:
        """Return the description as a single line."""
        remedy = f" Remedy: {self.remedy}" if self.remedy else ""
        return f"{self.code} at {self.step} ({self.peer}): {self.detail}.{remedy}"


class TrackwheelError(Exception):
    """Base class of exceptions that are described by a `Problem`."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.sentence())
        self.problem = problem


class CommandError(Exception):
    """A command failed; the message is a single line for the user."""
