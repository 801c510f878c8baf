"""One query's way: processor time and latency of the whole tier over a plain fan-out."""

import asyncio
import time

import msgspec
import uvloop

from bench.load import Results, run_queries
from bench.processes import cpu_seconds
from bench.report import Report
from bench.setting import SERVICE, small_setting
from standins.file_maker import ServiceShape
from standins.fleet import SmallFleet
from trackwheel.targets.client import AiohttpTargetClient

FAN_OUT = 30
RATE = 25.0
SECONDS = 10.0


async def _plain_fan_out(targets: list[str], rate: float, seconds: float) -> Results:
    """Ask one target of each instance at once, as a caller without the tier would."""
    client = AiohttpTargetClient()
    results = Results()
    started = time.monotonic()

    async def ask(target: str) -> None:
        body = {"nonce": "q.1", "service": SERVICE, "group": "g", "version": None, "query": ""}
        reply = await client.post(target, "/query", msgspec.json.encode(body), 1000.0)
        msgspec.json.decode(reply.body)

    async def query() -> None:
        began = time.monotonic()
        await asyncio.gather(*(ask(target) for target in targets))
        results.latencies_s.append(time.monotonic() - began)

    running = []
    for number in range(int(rate * seconds)):
        await asyncio.sleep(max(0.0, started + number / rate - time.monotonic()))
        running.append(asyncio.ensure_future(query()))
    await asyncio.gather(*running)
    await client.close()
    return results


def box_cpu(fleet: SmallFleet) -> float:
    """Return the processor time that all boxes have used."""
    return sum(cpu_seconds(fleet.process_by_name[box.box_id].pid) for box in fleet.boxes)


def measure(long: bool) -> Report:
    """Send the same queries through three boxes and straight to the targets."""
    seconds = SECONDS * (3 if long else 1)
    service = ServiceShape(SERVICE, FAN_OUT, 2, slots=4, deadline="1s", wait="1s")
    with small_setting(3, service) as (fleet, targets):
        addresses = [box.callers for box in fleet.boxes]
        run_queries(addresses, "clerks", SERVICE, RATE, 3.0)
        time.sleep(0.5)
        before = box_cpu(fleet)
        time.sleep(3.0)
        idle = (box_cpu(fleet) - before) / 3.0
        before = box_cpu(fleet)
        results = run_queries(addresses, "clerks", SERVICE, RATE, seconds)
        tier_cpu = (box_cpu(fleet) - before - idle * seconds) / results.answered
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            first = [instance[0] for instance in targets]
            runner.run(_plain_fan_out(first, RATE, 1.0))
            cpu = time.process_time()
            plain = runner.run(_plain_fan_out(first, RATE, seconds))
            plain_cpu = (time.process_time() - cpu) / len(plain.latencies_s)
    tier_p99, plain_p99 = results.percentile(0.99), plain.percentile(0.99)
    figures = {
        "cpu_ratio": tier_cpu / plain_cpu,
        "p99_ratio": tier_p99 / plain_p99,
        "p50_ratio": results.percentile(0.5) / plain.percentile(0.5),
        "tier_cpu_ms": tier_cpu * 1000,
        "plain_cpu_ms": plain_cpu * 1000,
        "tier_p99_ms": tier_p99 * 1000,
        "plain_p99_ms": plain_p99 * 1000,
        "idle_core_share_3_boxes": idle,
    }
    rows = [
        ("answered through the tier, whole", f"{results.answered}"),
        ("refused or cut off", f"{sum(results.codes.values())} / {len(results.cut_off)}"),
        ("CPU of all boxes a query", f"{tier_cpu * 1000:.2f} ms"),
        ("CPU of the plain fan-out a query", f"{plain_cpu * 1000:.2f} ms"),
        (
            "p50 / p99 through the tier",
            f"{results.percentile(0.5) * 1000:.1f} / {tier_p99 * 1000:.1f} ms",
        ),
        (
            "p50 / p99 of the plain fan-out",
            f"{plain.percentile(0.5) * 1000:.1f} / {plain_p99 * 1000:.1f} ms",
        ),
        ("idle boxes", f"{idle / 3 * 100:.2f}% of a core each"),
    ]
    return Report(
        "path",
        0,
        "plain fan-out with the same client",
        figures,
        {"queries": results.answered, "plain": len(plain.latencies_s)},
        rows,
        [],
    )
