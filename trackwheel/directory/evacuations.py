"""Which failure domains are evacuated: merges updates of any source in any order, without I/O."""

from collections.abc import Iterable
from typing import Final

from trackwheel.directory.models import Evacuation
from trackwheel.directory.revisions import era_of

NO_ERA: Final = -1
"""Era before the first read."""


class Evacuations:
    """Keep the latest state of each failure domain; the revision in the store decides.

    An evacuation that was cancelled is kept as such, so that an older state which arrives late from
    a peer or from a stale copy does not reactivate it.
    """

    def __init__(self) -> None:
        self._latest_by_domain: dict[str, Evacuation] = {}
        self._era = NO_ERA
        self.after_restore = False
        """Whether the last complete read was the first one after the store was restored from a
        copy."""

    @property
    def domains(self) -> frozenset[str]:
        """Return the failure domains whose targets get no new work."""
        return frozenset(
            evacuation.failure_domain for evacuation in self.latest if evacuation.active
        )

    @property
    def latest(self) -> list[Evacuation]:
        """Return the latest state of each failure domain, for peers."""
        return list(self._latest_by_domain.values())

    def merge(self, evacuations: Iterable[Evacuation]) -> bool:
        """Merge updates; return whether any of them changes a domain."""
        return any([self._merge_one(evacuation) for evacuation in evacuations])

    def merge_snapshot(self, evacuations: Iterable[Evacuation], as_of: int) -> bool:
        """Merge a complete read of the active evacuations; those that it lacks were cancelled.

        It does not cover changes after the revision `as_of`. The first read after the store was
        restored from a copy does not change domains that are known: what was requested or cancelled
        since that copy is written again.
        """
        listed = list(evacuations)
        era = era_of(as_of)
        self.after_restore = NO_ERA < self._era < era
        self._era = max(era, self._era)
        if self.after_restore:
            return self.merge(
                evacuation
                for evacuation in listed
                if evacuation.failure_domain not in self._latest_by_domain
            )
        named = {evacuation.failure_domain for evacuation in listed}
        missing = [
            Evacuation(domain, False, as_of) for domain in self.domains if domain not in named
        ]
        return self.merge(listed + missing)

    def _merge_one(self, evacuation: Evacuation) -> bool:
        known = self._latest_by_domain.get(evacuation.failure_domain)
        if known is not None and known.revision >= evacuation.revision:
            return False
        self._latest_by_domain[evacuation.failure_domain] = evacuation
        return known is None or known.active is not evacuation.active
