"""Memories of the quarantine that grow with the load, each bounded (monotonic seconds)."""

from collections.abc import Iterator

from trackwheel.quarantine.const import ANSWER_MEMORY_S, LEFT_S, MOST_ANSWERED, MOST_LEFT, NEVER
from trackwheel.relay.models import Incarnation


class AnsweredRequests:
    """Remember which requests targets have answered lately."""

    def __init__(self) -> None:
        self._at_by_request: dict[bytes, float] = {}

    def __len__(self) -> int:
        return len(self._at_by_request)

    def add(self, request: bytes, now: float) -> None:
        """Take that a target answered a request."""
        self._at_by_request[request] = now

    def lately(self, request: bytes, now: float) -> bool:
        """Return whether an answer to a request still counts."""
        return now - self._at_by_request.get(request, -NEVER) < ANSWER_MEMORY_S

    def forget_old(self, now: float) -> None:
        """Drop answers that count no more, and the oldest ones beyond a number."""
        kept = [
            (request, at)
            for request, at in self._at_by_request.items()
            if now - at < ANSWER_MEMORY_S
        ]
        self._at_by_request = dict(kept[-MOST_ANSWERED:])


class TakenBackRequests:
    """Remember which requests were taken back from targets a moment ago."""

    def __init__(self) -> None:
        self._left_by_life: dict[Incarnation, list[tuple[bytes, float]]] = {}

    def __len__(self) -> int:
        return len(self._left_by_life)

    def add(self, request: bytes, life: Incarnation, now: float) -> None:
        """Take that a request was taken back from a target, which may run it all the same."""
        if len(self._left_by_life) < MOST_LEFT:
            self._left_by_life.setdefault(life, []).append((request, now))

    def take(self, life: Incarnation, now: float) -> Iterator[bytes]:
        """Give the requests that a target which has ended may have run, each once."""
        for request, left_at in self._left_by_life.pop(life, ()):
            if now - left_at < LEFT_S:
                yield request

    def forget_old(self, now: float) -> None:
        """Drop what was taken back too long ago."""
        self._left_by_life = {
            life: left for life, left in self._left_by_life.items() if now - left[-1][1] < LEFT_S
        }
