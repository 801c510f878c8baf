"""Boxes that rely on a watcher which has lost the store and the other failure domains."""

import anyio
import pytest

from tests.directory.memory_fleet import MemoryFleet
from trackwheel.clock import steady_now
from trackwheel.directory.const import REMOTE_ASKERS

DRAIN_S = 3.0
"""Time in which a leaving target may get its last work."""


async def time_until_known(boxes: int, cut_off: set[str]) -> float:
    """Return how long boxes in touch take to learn of a target that leaves after the cut."""
    fleet = MemoryFleet(boxes)
    async with anyio.create_task_group() as tasks:
        await fleet.run(tasks)
        # All boxes are in sync, and the watch that the cut ends has begun.
        await anyio.sleep(3.5)
        fleet.cut_off, fleet.store.silent = cut_off, cut_off
        in_touch = [box for name, box in fleet.box_by_address.items() if name not in cut_off]
        fleet.store.start_leaving("t-a")
        began = steady_now()
        with anyio.fail_after(10.0):
            while any(box.excluded != {"a"} for box in in_touch):
                await anyio.sleep(0.01)
        took_s = steady_now() - began
        tasks.cancel_scope.cancel()
    return took_s


@pytest.mark.parametrize(
    ("boxes", "cut_off"),
    [
        pytest.param(18, {"a:0", "a:1"}, id="three-a-domain"),
        pytest.param(60, {"a:0"}, id="watcher"),
        pytest.param(60, {"a:0", "a:1"}, id="watcher-and-next"),
        pytest.param(60, {"a:0", "a:1", "b:0"}, id="and-watcher-of-another-domain"),
        pytest.param(60, {f"a:{place}" for place in range(REMOTE_ASKERS)}, id="first-askers"),
    ],
)
def test_box_in_touch_learns_of_a_leaving_target_in_time(boxes: int, cut_off: set[str]) -> None:
    """A box sent queries to targets that had left: its watcher did not know that it was cut off."""
    assert anyio.run(time_until_known, boxes, cut_off) < DRAIN_S
