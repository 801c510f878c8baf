"""Callers for measurements and tests: an open stream of queries, every answer checked."""

import asyncio
import hashlib
import json
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Final

import aiohttp

from standins.file_maker import demo_key

TIMEOUT_S: Final = 10.0


@dataclass
class Results:
    """Collect what callers saw (seconds)."""

    latencies_s: list[float] = field(default_factory=list)
    refused_s: list[float] = field(default_factory=list)
    ended_at: list[float] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)
    codes: Counter[str] = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)
    cut_off: list[str] = field(default_factory=list)
    coverage: list[float] = field(default_factory=list)
    answered_by_group: Counter[str] = field(default_factory=Counter)

    @property
    def answered(self) -> int:
        """Return how many queries were answered."""
        return len(self.latencies_s)

    def percentile(self, part: float) -> float:
        """Return a percentile of the answers' latencies."""
        ordered = sorted(self.latencies_s)
        if not ordered:
            return float("nan")
        return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def check_answer(answer: dict[str, Any]) -> str:
    """Return what is untrue in an answer, or nothing.

    Items are named `VERSION|SERVICE-SHARD-NUMBER` or `SERVICE-SHARD-NUMBER`.
    """
    covered = set(answer["covered"])
    lacking = {lack["shard"] for lack in answer["lacking"]}
    if covered & lacking or covered | lacking != set(range(answer["map_size"])):
        return f"coverage does not add up: {covered} {lacking} of {answer['map_size']}"
    if answer["whole"] is not (not lacking):
        return "whole and lacking contradict each other"
    if {shard["shard"] for shard in answer["items"]} != covered:
        return "items of other shards than the covered ones"
    items = [item for shard in answer["items"] for item in shard["items"]]
    if len(items) != len(set(items)):
        return "an item is there twice"
    versions = {item.split("|")[0] for item in items if "|" in item}
    if len(versions) > 1 or (versions and versions != {str(answer["version"])}):
        return f"versions {versions} in an answer of version {answer['version']}"
    return ""


class Callers:
    """Send requests to boxes as one group's callers do."""

    def __init__(self, addresses: list[str]) -> None:
        self._addresses = addresses
        self._turn = 0
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
        )

    def set_addresses(self, addresses: list[str]) -> None:
        """Take the boxes that the balancer would send to."""
        self._addresses = addresses

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    def next_address(self) -> str:
        """Return the next box in turn."""
        self._turn += 1
        return self._addresses[self._turn % len(self._addresses)]

    async def post(
        self, group: str, path: str, body: dict[str, Any], address: str | None = None
    ) -> tuple[int, dict[str, Any]]:
        """Send one request; raise when its answer is cut off or not whole."""
        headers = {"Authorization": f"Bearer {demo_key(group)}"}
        url = f"http://{address or self.next_address()}{path}"
        async with self._session.post(url, json=body, headers=headers) as response:
            content = await response.read()
            digest = "sha256=" + hashlib.sha256(content).hexdigest()
            if response.headers.get("Trackwheel-Digest") != digest:
                raise ValueError("the answer is not whole")
            return response.status, json.loads(content)

    async def query(self, group: str, service: str, results: Results) -> None:
        """Send one query and check its answer."""
        started = time.monotonic()
        try:
            status, answer = await self.post(group, "/v1/query", {"service": service})
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            results.cut_off.append(repr(error))
            return
        took_s = time.monotonic() - started
        results.statuses[status] += 1
        if "error" in answer:
            results.codes[answer["error"]["code"]] += 1
            results.refused_s.append(took_s)
            return
        wrong = check_answer(answer)
        if wrong:
            results.broken.append(wrong)
        results.latencies_s.append(took_s)
        results.ended_at.append(time.monotonic())
        results.coverage.append(answer["coverage"])
        results.answered_by_group[group] += 1


async def open_stream(send: Callable[[], Awaitable[None]], rate: float, seconds: float) -> None:
    """Start requests at a steady rate, whether or not earlier ones have ended."""
    running: set[asyncio.Task[None]] = set()
    started = time.monotonic()
    count = int(rate * seconds)
    for number in range(count):
        wait_s = started + number / rate - time.monotonic()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        task = asyncio.ensure_future(_as_coroutine(send))
        running.add(task)
        task.add_done_callback(running.discard)
    if running:
        await asyncio.gather(*running)


async def _as_coroutine(send: Callable[[], Awaitable[None]]) -> None:
    await send()


def run_queries(
    addresses: list[str],
    group: str,
    service: str,
    rate: float,
    seconds: float,
    meanwhile: Callable[[Callers], Awaitable[None]] | None = None,
) -> Results:
    """Send a stream of queries, do something meanwhile, and return what callers saw."""
    results = Results()

    async def main() -> None:
        callers = Callers(addresses)
        try:
            stream = open_stream(lambda: callers.query(group, service, results), rate, seconds)
            if meanwhile is None:
                await stream
            else:
                await asyncio.gather(stream, meanwhile(callers))
        finally:
            await callers.close()

    asyncio.run(main())
    return results
