"""Probes that are under way: when to ask helpers, when to suspect, whom to report to."""

from typing import NamedTuple


class _Probing(NamedTuple):
    """Follow one probe until it is answered or its subject is suspected."""

    subject: str
    ask_helpers_at: float
    suspect_at: float


class Helping(NamedTuple):
    """Remember for whom another box is probed."""

    asker: str
    asked_sequence: int
    subject: str
    until: float


class Probes:
    """Keep the probes of this box and those that it sends for others (seconds)."""

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._probing_by_sequence: dict[int, _Probing] = {}
        self._helping_by_sequence: dict[int, Helping] = {}

    def begin(self, sequence: int, subject: str, now: float) -> None:
        """Take that a probe was sent."""
        helpers_at = now + self._timeout_s
        self._probing_by_sequence[sequence] = _Probing(
            subject, helpers_at, helpers_at + self._timeout_s
        )

    def help(
        self, sequence: int, asker: str, asked_sequence: int, subject: str, now: float
    ) -> None:
        """Take that a probe was sent for another box."""
        until = now + self._timeout_s
        self._helping_by_sequence[sequence] = Helping(asker, asked_sequence, subject, until)

    def answered(self, sequence: int) -> None:
        """Take that a probe was answered, directly or to a helper."""
        self._probing_by_sequence.pop(sequence, None)

    def helped(self, sequence: int) -> Helping | None:
        """Return for whom an answered probe was sent, None when it was this box's own."""
        return self._helping_by_sequence.pop(sequence, None)

    def take_late(self, now: float) -> list[tuple[int, str]]:
        """Return sequence and subject of each probe for which helpers are due, once."""
        late = []
        for sequence, probing in self._probing_by_sequence.items():
            if now >= probing.ask_helpers_at:
                late.append((sequence, probing.subject))
        for sequence, _ in late:
            probing = self._probing_by_sequence[sequence]
            self._probing_by_sequence[sequence] = probing._replace(ask_helpers_at=float("inf"))
        return late

    def take_unanswered(self, now: float) -> list[str]:
        """Return the subjects that neither this box nor helpers heard, and forget old help."""
        unanswered = [
            (sequence, probing.subject)
            for sequence, probing in self._probing_by_sequence.items()
            if now >= probing.suspect_at
        ]
        for sequence, _ in unanswered:
            del self._probing_by_sequence[sequence]
        for sequence, helping in list(self._helping_by_sequence.items()):
            if now >= helping.until:
                del self._helping_by_sequence[sequence]
        return [subject for _, subject in unanswered]

    def clear(self) -> None:
        """Forget everything that is under way."""
        self._probing_by_sequence.clear()
        self._helping_by_sequence.clear()

    def next_wake(self) -> float:
        """Return when helpers or suspicions are next due."""
        return min(
            (min(p.ask_helpers_at, p.suspect_at) for p in self._probing_by_sequence.values()),
            default=float("inf"),
        )
