"""The groups of shards that one query has handed to peers."""

from trackwheel.relay.attempts import NEVER
from trackwheel.relay.const import REPORT_SLACK_S
from trackwheel.relay.gather_models import GroupPlan


class HandedGroup:
    """Follow one group; `spare` of its shards may be left out by the peer."""

    def __init__(self, plan: GroupPlan, spare: int) -> None:
        self.plan = plan
        self.spare = spare
        self.check_at = plan.accept_by
        self.accepted = False

    @property
    def least_coverage(self) -> float:
        """Return the share of its shards that the answer needs of the peer."""
        held = len(self.plan.shards)
        return (held - self.spare) / held

    def accept(self) -> None:
        """Take that the peer works on its shards; it reports in time."""
        if not self.accepted:
            self.accepted = True
            self.check_at = self.plan.report_by + REPORT_SLACK_S

    def report(self) -> None:
        """Take that the peer has reported; there is nothing more to check."""
        self.accepted = True
        self.check_at = NEVER


class HandedGroups:
    """Keep the groups that are out, by the numbers under which peers tell of them."""

    def __init__(self) -> None:
        self._group_by_number: dict[int, HandedGroup] = {}
        self._next_number = 0

    def __contains__(self, number: int) -> bool:
        return number in self._group_by_number

    def __getitem__(self, number: int) -> HandedGroup:
        return self._group_by_number[number]

    def get(self, number: int) -> HandedGroup | None:
        """Return a group that is out, None for another number."""
        return self._group_by_number.get(number)

    def add(self, group: HandedGroup) -> int:
        """Take a new group and return its number."""
        number = self._next_number
        self._next_number += 1
        self._group_by_number[number] = group
        return number

    def pop(self, number: int) -> HandedGroup:
        """Await nothing more of a group and return it."""
        return self._group_by_number.pop(number)

    def address(self, number: int) -> str:
        """Return the address of a group's peer."""
        return self._group_by_number[number].plan.address

    @property
    def spare(self) -> int:
        """Return how many shards the peers may leave out together."""
        return sum(group.spare for group in self._group_by_number.values())

    def next_check(self) -> float:
        """Return when the next peer has to have accepted or reported."""
        return min((group.check_at for group in self._group_by_number.values()), default=NEVER)

    def take_silent(self, now: float) -> list[int]:
        """Return the groups whose peers did not accept or report in time, each once."""
        silent = [n for n, group in self._group_by_number.items() if group.check_at <= now]
        for number in silent:
            self._group_by_number[number].check_at = NEVER
        return silent

    def take_all(self) -> dict[int, HandedGroup]:
        """Return what is still out, and await nothing more of it."""
        out, self._group_by_number = self._group_by_number, {}
        return out
