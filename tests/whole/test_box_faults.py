"""Boxes that are killed, frozen and stopped under load, and requests that must run only once."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from pathlib import Path

import pytest

from bench.load import Callers, Results, run_queries
from bench.once import OnceReport, run_once_stream, send_once, take_ids
from standins.file_maker import ServiceShape
from standins.fleet import BoxPlace, SmallFleet, wait_until
from tests.conftest import PLACES, write_file
from tests.whole.test_target_faults import target_addresses

SERVICE = "ledger"
Disturbance = Callable[[SmallFleet, BoxPlace], Coroutine[None, None, None]]


@pytest.fixture
def own_fleet(tmp_path: Path) -> Iterator[SmallFleet]:
    """Run three boxes for a single test, which may kill them."""
    path = write_file(tmp_path, [ServiceShape(SERVICE, 6, 2, deadline="400ms", wait="400ms")])
    with SmallFleet(PLACES, [path]) as started_fleet:
        assert started_fleet.apply(path)["outcome"] == "accepted"
        yield started_fleet


async def kill(fleet: SmallFleet, box: BoxPlace) -> None:
    fleet.signal_box(box, signal.SIGKILL)


async def freeze(fleet: SmallFleet, box: BoxPlace) -> None:
    fleet.signal_box(box, signal.SIGSTOP)


async def freeze_and_resume(fleet: SmallFleet, box: BoxPlace) -> None:
    fleet.signal_box(box, signal.SIGSTOP)
    await asyncio.sleep(2.5)
    fleet.signal_box(box, signal.SIGCONT)


def query_during_disturbance(
    fleet: SmallFleet, disturb: Disturbance, rate: float = 60, seconds: float = 5.0
) -> tuple[Results, float]:
    """Query the first two boxes; disturb the third one after a second."""
    disturbed_at: list[float] = []

    async def meanwhile(callers: Callers) -> None:
        await asyncio.sleep(1.0)
        disturbed_at.append(time.monotonic())
        await disturb(fleet, fleet.boxes[2])

    addresses = [box.callers for box in fleet.boxes[:2]]
    results = run_queries(addresses, "clerks", SERVICE, rate, seconds, meanwhile)
    return results, disturbed_at[0]


@pytest.mark.parametrize("disturb", [kill, freeze, freeze_and_resume], ids=lambda d: d.__name__)
def test_queries_survive_a_lost_box(own_fleet: SmallFleet, disturb: Disturbance) -> None:
    results, _ = query_during_disturbance(own_fleet, disturb)
    assert results.broken == []
    assert results.cut_off == []
    assert results.answered >= 0.98 * 300, (results.answered, results.codes)
    assert min(results.coverage) == 1.0


@pytest.mark.parametrize("disturb", [kill, freeze], ids=lambda d: d.__name__)
def test_lost_box_is_detected_within_two_seconds(
    own_fleet: SmallFleet, disturb: Disturbance
) -> None:
    asyncio.run(disturb(own_fleet, own_fleet.boxes[2]))
    started = time.monotonic()
    wait_until(lambda: own_fleet.members_seen(own_fleet.boxes[0]) == 2, 5.0, "noticing")
    wait_until(lambda: own_fleet.members_seen(own_fleet.boxes[1]) == 2, 5.0, "noticing")
    assert time.monotonic() - started < 2.2


def test_planned_stop_cuts_off_nothing(own_fleet: SmallFleet) -> None:
    """The load balancer learns of the stop a second late; nothing is cut off or refused."""
    leaving = own_fleet.boxes[2]

    async def stop(callers: Callers) -> None:
        await asyncio.sleep(1.0)
        own_fleet.signal_box(leaving, signal.SIGTERM)
        await asyncio.sleep(1.0)
        callers.set_addresses([box.callers for box in own_fleet.boxes[:2]])

    addresses = [box.callers for box in own_fleet.boxes]
    results = run_queries(addresses, "clerks", SERVICE, 60, 5.0, stop)
    assert results.cut_off == []
    assert results.broken == []
    assert results.codes == {}
    assert results.answered == 300
    process = own_fleet.process_by_name[leaving.box_id]
    assert process.wait(timeout=10) == 0, own_fleet.log(leaving.box_id)
    assert "All work is finished" in own_fleet.log(leaving.box_id)


def test_planned_stop_beside_paused_boxes_cuts_off_nothing(own_fleet: SmallFleet) -> None:
    """A stopping box whose peers were all paused found no owner for its work and crashed."""
    leaving = own_fleet.boxes[2]
    staying = own_fleet.boxes[:2]

    async def stop(callers: Callers) -> None:
        await asyncio.sleep(0.5)
        own_fleet.signal_box(leaving, signal.SIGTERM)
        await asyncio.sleep(0.3)
        for box in staying:
            own_fleet.signal_box(box, signal.SIGSTOP)
        await asyncio.sleep(0.15)
        for box in staying:
            own_fleet.signal_box(box, signal.SIGCONT)
        await asyncio.sleep(0.5)
        callers.set_addresses([box.callers for box in staying])

    addresses = [box.callers for box in own_fleet.boxes]
    results = run_queries(addresses, "clerks", SERVICE, 60, 3.0, stop)
    assert results.cut_off == []
    assert results.broken == []
    assert results.codes == {}
    assert results.answered == 180
    assert own_fleet.process_by_name[leaving.box_id].wait(timeout=10) == 0


def test_planned_stop_finishes_a_slow_query_in_flight(own_fleet: SmallFleet) -> None:
    for replicas in target_addresses(own_fleet):
        for address in replicas:
            own_fleet.control(address, service_s=0.3)
    results = Results()
    leaving = own_fleet.boxes[0]

    async def main() -> None:
        callers = Callers([leaving.callers])
        pending_query = asyncio.ensure_future(callers.query("clerks", SERVICE, results))
        await asyncio.sleep(0.05)
        own_fleet.signal_box(leaving, signal.SIGTERM)
        await pending_query
        await callers.close()

    asyncio.run(main())
    assert results.cut_off == []
    assert results.answered == 1, results.codes


def test_planned_stop_answers_what_its_drain_time_is_too_short_for(tmp_path: Path) -> None:
    """Requests still in flight at the end of the drain time were cut off, whenever they came."""
    path = write_file(tmp_path, [ServiceShape(SERVICE, 6, 2, deadline="4s", wait="4s")])
    settings = "[fleet]\ndrain = 1500ms\n"
    with SmallFleet(PLACES, [path], fleet_settings=settings) as fleet:
        assert fleet.apply(path)["outcome"] == "accepted"
        for replicas in target_addresses(fleet):
            for address in replicas:
                fleet.control(address, service_s=3.0)
        leaving = fleet.boxes[0]
        process = fleet.process_by_name[leaving.box_id]

        async def stop(callers: Callers) -> None:
            await asyncio.sleep(0.3)
            fleet.signal_box(leaving, signal.SIGTERM)

        queries = run_queries([leaving.callers], "clerks", SERVICE, 20, 1.5, stop)
        assert queries.cut_off == []
        assert queries.broken == []
        assert queries.codes.total() == 30
        assert process.wait(timeout=10) == 0, fleet.log(leaving.box_id)


def test_planned_stop_awaits_the_box_that_a_request_was_forwarded_to(tmp_path: Path) -> None:
    """A leaving box did not count what it had forwarded to the box of its id, and cut it off."""
    path = write_file(tmp_path, [ServiceShape(SERVICE, 6, 2, deadline="6s", wait="6s")])
    with SmallFleet(PLACES, [path]) as fleet:
        assert fleet.apply(path)["outcome"] == "accepted"
        for replicas in target_addresses(fleet):
            for address in replicas:
                fleet.control(address, service_s=3.0)
        leaving, issuer = fleet.boxes[:2]
        report = OnceReport()

        async def main() -> None:
            callers = Callers([issuer.callers])
            (request_id,) = await take_ids(callers, 1)
            callers.set_addresses([leaving.callers])
            fleet.signal_box(leaving, signal.SIGTERM)
            # By then the targets have other owners, so that only the forward is in flight here.
            await asyncio.sleep(0.7)
            await send_once(callers, SERVICE, request_id, "pallet", report, repeats=1)
            await callers.close()

        asyncio.run(main())
        assert list(report.last_told_by_id.values()) == ["done"]
        process = fleet.process_by_name[leaving.box_id]
        assert process.wait(timeout=10) == 0, fleet.log(leaving.box_id)


def send_once_requests(
    fleet: SmallFleet, count: int, rate: float, disturb: Callable[[Callers], Awaitable[None]]
) -> OnceReport:
    report = OnceReport()

    async def main() -> None:
        callers = Callers([box.callers for box in fleet.boxes])
        stream = run_once_stream(callers, SERVICE, count, rate, report)
        await asyncio.gather(stream, disturb(callers))
        await callers.close()

    asyncio.run(main())
    for replicas in target_addresses(fleet):
        for address in replicas:
            report.count_runs(fleet.counts(address))
    return report


def test_requests_run_at_most_once_while_boxes_freeze_die_and_targets_lose_replies(
    own_fleet: SmallFleet,
) -> None:
    targets = target_addresses(own_fleet)

    async def disturb(callers: Callers) -> None:
        first, second, third = own_fleet.boxes
        await asyncio.sleep(0.5)
        await asyncio.to_thread(own_fleet.control, targets[0][0], reply_lost=True)
        await asyncio.to_thread(own_fleet.control, targets[1][1], shed=True)
        await asyncio.sleep(0.5)
        own_fleet.signal_box(second, signal.SIGSTOP)
        await asyncio.sleep(1.5)
        own_fleet.signal_box(second, signal.SIGCONT)
        await asyncio.sleep(1.0)
        own_fleet.signal_box(third, signal.SIGKILL)
        await asyncio.sleep(0.5)
        own_fleet.start_box(third)

    report = send_once_requests(own_fleet, 600, 100, disturb)
    assert len(report.told_by_id) == 600
    assert report.twice() == []
    assert report.lies() == []
    assert report.share_told("done") > 0.6
    assert any("unknown" in told for told in report.told_by_id.values())
