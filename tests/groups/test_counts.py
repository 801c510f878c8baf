"""Load: configurations storm, and groups come and go while their requests end."""

from trackwheel.groups.counts import GroupCounts


def test_counts_of_groups_that_are_gone_are_dropped() -> None:
    counts = GroupCounts()
    for number in range(1000):
        counts.set_groups([f"g{number}", "stays"])
        counts.add(f"g{number}", "whole")
        counts.add("stays", "refused")
        # A request that began before its group was taken away.
        counts.add(f"g{number - 1}", "whole")
    assert counts.number_by_group_and_kind == {("g999", "whole"): 1, ("stays", "refused"): 1000}


def test_requests_without_a_group_are_not_counted() -> None:
    counts = GroupCounts()
    counts.add("", "whole")
    assert not counts.number_by_group_and_kind
