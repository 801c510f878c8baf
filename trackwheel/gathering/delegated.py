"""The groups of shards of one query that are delegated to peers."""

from trackwheel.gathering.const import REPORT_SLACK_S
from trackwheel.gathering.gather_models import GroupPlan
from trackwheel.selection.attempts import NEVER


class DelegatedGroup:
    """State of one group; the peer may leave out up to `max_missing` of its shards."""

    def __init__(self, plan: GroupPlan, max_missing: int) -> None:
        self.plan = plan
        self.max_missing = max_missing
        self.check_at = plan.accept_by
        self.accepted = False

    @property
    def least_coverage(self) -> float:
        """Return the share of the group's shards that the peer has to deliver."""
        total = len(self.plan.shards)
        return (total - self.max_missing) / total

    def accept(self) -> None:
        """Record that the peer accepted the group; its report is due next."""
        if not self.accepted:
            self.accepted = True
            self.check_at = self.plan.report_by + REPORT_SLACK_S

    def report(self) -> None:
        """Record that the peer has reported; no further check is due."""
        self.accepted = True
        self.check_at = NEVER


class DelegatedGroups:
    """The outstanding groups, by the numbers that identify them in a peer's messages."""

    def __init__(self) -> None:
        self._group_by_number: dict[int, DelegatedGroup] = {}
        self._next_number = 0

    def __contains__(self, number: int) -> bool:
        return number in self._group_by_number

    def __getitem__(self, number: int) -> DelegatedGroup:
        return self._group_by_number[number]

    def get(self, number: int) -> DelegatedGroup | None:
        """Return an outstanding group, or None for an unknown number."""
        return self._group_by_number.get(number)

    def add(self, group: DelegatedGroup) -> int:
        """Add a group and return its number."""
        number = self._next_number
        self._next_number += 1
        self._group_by_number[number] = group
        return number

    def pop(self, number: int) -> DelegatedGroup:
        """Remove and return a group."""
        return self._group_by_number.pop(number)

    def address(self, number: int) -> str:
        """Return the address of a group's peer."""
        return self._group_by_number[number].plan.address

    @property
    def max_missing(self) -> int:
        """Return how many shards all peers together may leave out."""
        return sum(group.max_missing for group in self._group_by_number.values())

    def next_check_at(self) -> float:
        """Return the earliest time by which a peer must have accepted or reported."""
        return min((group.check_at for group in self._group_by_number.values()), default=NEVER)

    def pop_overdue(self, now: float) -> list[int]:
        """Return the groups whose peers did not accept or report in time, each once."""
        overdue = [n for n, group in self._group_by_number.items() if group.check_at <= now]
        for number in overdue:
            self._group_by_number[number].check_at = NEVER
        return overdue

    def pop_all(self) -> dict[int, DelegatedGroup]:
        """Remove and return all outstanding groups."""
        outstanding, self._group_by_number = self._group_by_number, {}
        return outstanding
