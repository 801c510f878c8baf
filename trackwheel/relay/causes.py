"""Causes of requests that are not served, and of shards that an answer leaves out."""

from collections import Counter
from collections.abc import Iterable
from enum import StrEnum


class Cause(StrEnum):
    """Why a request, or one shard of a query, has no answer."""

    HELD = "held"
    """Targets end under requests of this content."""
    NO_CONFIGURATION = "no_configuration"
    NO_TARGET = "no_target"
    HOMES = "homes"
    BARRED = "barred"
    COLD = "cold"
    UNREACHABLE = "unreachable"
    """All targets refuse connections."""
    SHED = "shed"
    """All targets have just refused to run it."""
    RETRY_BUDGET = "retry_budget"
    ATTEMPTS = "attempts"
    """As many targets may have run it as the route allows."""
    SENDS = "sends"
    """It was sent as often as a box may send one request."""
    TARGETS_TRIED = "targets_tried"
    MAY_HAVE_RUN = "may_have_run"
    """A target may have run it, and it must not run twice."""
    TARGET_SILENT = "target_silent"
    """A target has not answered yet."""
    PEER_SILENT = "peer_silent"
    """A peer has not reported yet."""
    STOPPING = "stopping"
    """This box stops before an answer could arrive."""
    SUSPECTED = "suspected"
    """It may be crashing targets, and answers that will tell are outstanding."""


def most_frequent(causes: Iterable[Cause]) -> Cause | None:
    """Return the most frequent cause, the first one by name among equals; None without any."""
    counts = Counter(causes)
    return min(counts, key=lambda cause: (-counts[cause], cause), default=None)


class Phase(StrEnum):
    """When a request was given up: before its deadline, or at it."""

    EARLY = "early"
    DEADLINE = "deadline"
