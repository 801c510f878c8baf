"""The base of every error: what failed, at which step, at which peer, and the remedy."""

from typing import NamedTuple


class Problem(NamedTuple):
    """Describe one failure in the terms that a caller or operator can act on."""

    code: str
    step: str
    peer: str
    detail: str
    remedy: str = ""

    def sentence(self) -> str:
        """Return the failure as one readable line."""
        remedy = f" Remedy: {self.remedy}" if self.remedy else ""
        return f"{self.code} at {self.step} ({self.peer}): {self.detail}.{remedy}"


class TrackwheelError(Exception):
    """Carry a `Problem` through code that raises."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.sentence())
        self.problem = problem


class CommandError(Exception):
    """Say in one line why a command did not do what was asked."""
