"""Which connection gives way when there are too many, without a network."""

import pytest

from trackwheel.http1.connection_table import ConnectionTable, Use


class FakeConnection:
    """A connection that remembers whether it gave way."""

    def __init__(self, use: Use) -> None:
        self.use = use
        self.gave_way = False

    def give_way(self) -> None:
        """Remember it."""
        self.gave_way = True


@pytest.mark.parametrize(
    ("uses", "touched", "chosen"),
    [
        pytest.param([Use.IDLE] * 3, [], 0, id="idle-for-longest"),
        pytest.param([Use.IDLE] * 3, [0], 1, id="read-again"),
        pytest.param([Use.READING, Use.SENDING, Use.IDLE], [], 2, id="idle-before-others"),
        pytest.param([Use.SENDING, Use.IN_PROGRESS, Use.READING], [], 2, id="reading"),
        pytest.param([Use.IN_PROGRESS, Use.SENDING, Use.SENDING], [], 1, id="sending"),
        pytest.param([Use.IN_PROGRESS] * 3, [], None, id="new-one"),
    ],
)
def test_connection_of_least_use_gives_way(
    uses: list[Use], touched: list[int], chosen: int | None
) -> None:
    """Idle clients took all descriptors of a box, and a new client was not accepted."""
    table: ConnectionTable[FakeConnection] = ConnectionTable(len(uses))
    connections = [FakeConnection(use) for use in uses]
    assert all(table.add(connection) for connection in connections)
    for number in touched:
        table.touch(connections[number])
    assert table.add(FakeConnection(Use.IDLE)) is (chosen is not None)
    assert [c.gave_way for c in connections] == [n == chosen for n in range(len(uses))]
    assert len(table) == len(uses)


def test_touch_does_not_add_a_connection_that_was_removed() -> None:
    table: ConnectionTable[FakeConnection] = ConnectionTable(3)
    table.touch(FakeConnection(Use.IDLE))
    assert len(table) == 0
