"""Suspended machines: the clock includes that time, and all modules use this clock."""

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from trackwheel.clock import steady_now
from trackwheel.fleet.membership import Membership, Timing
from trackwheel.fleet.models import Member, Rejoined, Status
from trackwheel.relay.timer import MAX_SLEEP_S, Timer

SOURCES = sorted(Path(__file__).parent.parent.joinpath("trackwheel").rglob("*.py"))
SUSPENDED_S = 8.0


Suspend = Callable[[], None]


@pytest.fixture
def suspend(monkeypatch: pytest.MonkeyPatch) -> Suspend:
    """Return a function that simulates a suspension: only CLOCK_BOOTTIME advances."""
    read = time.clock_gettime

    def clock_gettime(clock: int) -> float:
        return read(clock) + (SUSPENDED_S if clock == time.CLOCK_BOOTTIME else 0.0)

    return lambda: monkeypatch.setattr(time, "clock_gettime", clock_gettime)


def test_clock_counts_the_time_in_which_the_machine_was_suspended(suspend: Suspend) -> None:
    before, monotonic_before = steady_now(), time.monotonic()
    suspend()
    assert steady_now() - before >= SUSPENDED_S
    assert time.monotonic() - monotonic_before < SUSPENDED_S


def test_no_module_uses_the_clock_that_stops_during_suspension() -> None:
    assert SOURCES
    assert not [path.name for path in SOURCES if "monotonic()" in path.read_text()]


def test_timer_that_was_due_while_suspended_fires_soon_after(suspend: Suspend) -> None:
    """The event loop's own timers are late by the duration of the suspension."""

    async def scenario() -> float:
        fired = asyncio.Event()
        Timer(fired.set).set(steady_now() + SUSPENDED_S)
        suspend()
        woke_at = time.monotonic()
        await asyncio.wait_for(fired.wait(), SUSPENDED_S / 2)
        return time.monotonic() - woke_at

    assert asyncio.run(scenario()) < 2 * MAX_SLEEP_S


def test_timer_is_not_early() -> None:
    async def scenario() -> None:
        fired = asyncio.Event()
        at = steady_now() + 2.5 * MAX_SLEEP_S
        Timer(fired.set).set(at)
        await fired.wait()
        assert at - 0.01 < steady_now() < at + 0.3

    asyncio.run(scenario())


def test_box_that_was_suspended_joins_again(suspend: Suspend) -> None:
    own = Member("own:1", "own", "boot", "r", "d", 1, Status.ALIVE)
    membership = Membership(own, Timing(0.5, 0.3, 1.0), seed=1)
    membership.tick(steady_now())
    suspend()
    commands = membership.tick(steady_now())
    (rejoined,) = [command for command in commands if isinstance(command, Rejoined)]
    assert rejoined.paused_s >= SUSPENDED_S
