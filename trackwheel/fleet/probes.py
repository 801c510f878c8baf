"""Pending probes: when to probe indirectly, when to suspect, and to whom to report."""

from typing import NamedTuple


class _PendingProbe(NamedTuple):
    """One pending probe, until it is answered or its subject is suspected."""

    subject: str
    probe_indirectly_at: float
    suspect_at: float


class IndirectProbe(NamedTuple):
    """A probe on behalf of another box."""

    requester: str
    requested_sequence: int
    subject: str
    until: float


class ProbeTracker:
    """Keep the probes of this box and those on behalf of others (seconds)."""

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._pending_by_sequence: dict[int, _PendingProbe] = {}
        self._indirect_by_sequence: dict[int, IndirectProbe] = {}

    def add(self, sequence: int, subject: str, now: float) -> None:
        """Record that a probe was sent."""
        indirect_at = now + self._timeout_s
        self._pending_by_sequence[sequence] = _PendingProbe(
            subject, indirect_at, indirect_at + self._timeout_s
        )

    def add_indirect(
        self, sequence: int, requester: str, requested_sequence: int, subject: str, now: float
    ) -> None:
        """Record that a probe was sent on behalf of another box."""
        until = now + self._timeout_s
        self._indirect_by_sequence[sequence] = IndirectProbe(
            requester, requested_sequence, subject, until
        )

    def answered(self, sequence: int) -> None:
        """Record that a probe was answered, directly or to a helper."""
        self._pending_by_sequence.pop(sequence, None)

    def take_indirect(self, sequence: int) -> IndirectProbe | None:
        """Return for whom an answered probe was sent, None if for this box itself."""
        return self._indirect_by_sequence.pop(sequence, None)

    def take_overdue(self, now: float) -> list[tuple[int, str]]:
        """Return sequence and subject of each probe that is due for indirect probes, once."""
        late = []
        for sequence, pending in self._pending_by_sequence.items():
            if now >= pending.probe_indirectly_at:
                late.append((sequence, pending.subject))
        for sequence, _ in late:
            pending = self._pending_by_sequence[sequence]
            self._pending_by_sequence[sequence] = pending._replace(probe_indirectly_at=float("inf"))
        return late

    def take_unanswered(self, now: float) -> list[str]:
        """Return the subjects that answered neither this box nor a helper; drop expired help."""
        unanswered = [
            (sequence, pending.subject)
            for sequence, pending in self._pending_by_sequence.items()
            if now >= pending.suspect_at
        ]
        for sequence, _ in unanswered:
            del self._pending_by_sequence[sequence]
        for sequence, indirect in list(self._indirect_by_sequence.items()):
            if now >= indirect.until:
                del self._indirect_by_sequence[sequence]
        return [subject for _, subject in unanswered]

    def clear(self) -> None:
        """Discard all pending probes."""
        self._pending_by_sequence.clear()
        self._indirect_by_sequence.clear()

    def next_wake(self) -> float:
        """Return when indirect probes or suspicions are due next."""
        return min(
            (min(p.probe_indirectly_at, p.suspect_at) for p in self._pending_by_sequence.values()),
            default=float("inf"),
        )
