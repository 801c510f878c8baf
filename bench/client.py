"""The client towards targets: processor time of one sub-request, by library."""

import asyncio
import itertools
import os
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import httpx
import msgspec

from bench.report import Report
from standins.file_maker import GroupShape, ServiceShape, render_file
from standins.fleet import free_ports
from trackwheel.targets.client import AiohttpTargetClient

FAN_OUT = 30
SECONDS = 3.0
BODY = msgspec.json.encode(
    {"nonce": "q.1", "service": "s", "group": "g", "version": None, "query": "x"}
)
Ask = Callable[[str], Awaitable[Any]]


async def _cpu_per_request(ask: Ask, targets: list[str], seconds: float) -> tuple[float, int]:
    """Return the processor time for each sub-request of queries with the full fan-out."""
    for _ in range(3):
        await asyncio.gather(*(ask(target) for target in targets))
    started, cpu = time.monotonic(), time.process_time()
    count = 0
    while time.monotonic() - started < seconds:
        await asyncio.gather(*(ask(target) for target in targets))
        count += len(targets)
    return (time.process_time() - cpu) / count, count


async def _measure_all(targets: list[str], seconds: float) -> dict[str, tuple[float, int]]:
    results: dict[str, tuple[float, int]] = {}
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=None)
    async with httpx.AsyncClient(trust_env=False, limits=limits) as plain:

        async def ask_httpx(target: str) -> None:
            response = await plain.post(f"http://{target}/query", content=BODY)
            response.read()

        results["httpx"] = await _cpu_per_request(ask_httpx, targets, seconds)
    client = AiohttpTargetClient()

    async def ask_aiohttp(target: str) -> None:
        await client.post(target, "/query", BODY, 1000.0)

    results["aiohttp"] = await _cpu_per_request(ask_aiohttp, targets, seconds)
    await client.close()
    return results


async def _measure_over_transport(targets: list[str], seconds: float) -> tuple[float, int]:
    from httpx_aiohttp import AiohttpTransport  # noqa: PLC0415

    async with httpx.AsyncClient(transport=AiohttpTransport(), trust_env=False) as client:

        async def ask(target: str) -> None:
            response = await client.post(f"http://{target}/query", content=BODY)
            response.read()

        return await _cpu_per_request(ask, targets, seconds)


def measure(long: bool) -> Report:
    """Compare httpx, httpx over aiohttp, and aiohttp, at a fan-out of 30."""
    seconds = SECONDS * (4 if long else 1)
    folder = Path("build") / "client"
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "targets.ini"
    services = [ServiceShape("s", FAN_OUT, 1, slots=100)]
    groups = [GroupShape("g", "1", "s")]
    path.write_text(render_file("c", groups, services, itertools.chain(free_ports(FAN_OUT))))
    targets = [
        line.rsplit("/", 1)[1].strip()
        for line in path.read_text().splitlines()
        if "127.0.0.1:" in line
    ]
    command = [sys.executable, "-m", "standins", "targets", str(path), "--service-ms=0"]
    process = subprocess.Popen(command, env={**os.environ, "PYTHONPATH": "."})
    try:
        time.sleep(1.5)
        results = asyncio.run(_measure_all(targets, seconds))
        results["httpx over aiohttp"] = asyncio.run(_measure_over_transport(targets, seconds))
        import uvloop  # noqa: PLC0415

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            on_uvloop = runner.run(_measure_all(targets, seconds))
            results["httpx on uvloop"] = on_uvloop["httpx"]
            results["aiohttp on uvloop"] = on_uvloop["aiohttp"]
    finally:
        process.kill()
        process.wait()
    base = results["httpx"][0]
    chosen = results["aiohttp on uvloop"][0]
    rows = [
        (f"{name}: CPU a sub-request", f"{cpu * 1e6:7.0f} us   {cpu / base:5.2f} x")
        for name, (cpu, _) in results.items()
    ]
    return Report(
        name="client",
        seed=0,
        baseline="plain httpx on asyncio",
        figures={
            "cpu_ratio": chosen / base,
            "chosen_cpu_us": chosen * 1e6,
            "cpu_ratio_over_transport": results["httpx over aiohttp"][0] / base,
        },
        samples={name.replace(" ", "_"): count for name, (_, count) in results.items()},
        rows=rows,
        series=[],
        x_label="ratio",
    )
