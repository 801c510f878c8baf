"""Bounded records of recently answered and withdrawn requests (monotonic seconds)."""

from collections.abc import Iterator

from trackwheel.quarantine.const import (
    ANSWER_RETENTION_S,
    MAX_ANSWERED_REQUESTS,
    MAX_WITHDRAWN_TARGETS,
    NEVER,
    WITHDRAWN_RETENTION_S,
)
from trackwheel.relay.models import Incarnation


class AnsweredRequests:
    """Requests that targets have answered recently."""

    def __init__(self) -> None:
        self._at_by_request: dict[bytes, float] = {}

    def __len__(self) -> int:
        return len(self._at_by_request)

    def add(self, request: bytes, now: float) -> None:
        """Record that a target answered a request."""
        self._at_by_request[request] = now

    def is_recent(self, request: bytes, now: float) -> bool:
        """Return whether a request was answered within the retention time."""
        return now - self._at_by_request.get(request, -NEVER) < ANSWER_RETENTION_S

    def evict_expired(self, now: float) -> None:
        """Evict answers past the retention time, and the oldest ones above the limit."""
        kept = [
            (request, at)
            for request, at in self._at_by_request.items()
            if now - at < ANSWER_RETENTION_S
        ]
        self._at_by_request = dict(kept[-MAX_ANSWERED_REQUESTS:])


class WithdrawnRequests:
    """Requests that were withdrawn from targets recently, by target."""

    def __init__(self) -> None:
        self._withdrawn_by_incarnation: dict[Incarnation, list[tuple[bytes, float]]] = {}

    def __len__(self) -> int:
        return len(self._withdrawn_by_incarnation)

    def add(self, request: bytes, incarnation: Incarnation, now: float) -> None:
        """Record that a request was withdrawn from a target, which may still run it."""
        if len(self._withdrawn_by_incarnation) < MAX_WITHDRAWN_TARGETS:
            self._withdrawn_by_incarnation.setdefault(incarnation, []).append((request, now))

    def pop_recent(self, incarnation: Incarnation, now: float) -> Iterator[bytes]:
        """Remove and yield the requests that a crashed target may still have been running."""
        for request, withdrawn_at in self._withdrawn_by_incarnation.pop(incarnation, ()):
            if now - withdrawn_at < WITHDRAWN_RETENTION_S:
                yield request

    def evict_expired(self, now: float) -> None:
        """Evict targets whose last withdrawal is past the retention time."""
        self._withdrawn_by_incarnation = {
            incarnation: rows
            for incarnation, rows in self._withdrawn_by_incarnation.items()
            if now - rows[-1][1] < WITHDRAWN_RETENTION_S
        }
