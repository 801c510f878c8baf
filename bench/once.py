"""Callers of requests that may run only once, and the count of what really ran."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from bench.load import Callers

GROUP = "clerks"


@dataclass
class OnceReport:
    """Compare what callers were told with what targets ran."""

    told_by_id: dict[str, set[str]] = field(default_factory=dict)
    runs_by_id: Counter[str] = field(default_factory=Counter)
    last_told_by_id: dict[str, str] = field(default_factory=dict)

    def twice(self) -> list[str]:
        """Return the ids that ran more than once."""
        return [request_id for request_id, runs in self.runs_by_id.items() if runs > 1]

    def lies(self) -> list[str]:
        """Return the ids last told `not_run` that ran, or told `done` that did not."""
        return [
            request_id
            for request_id, told in self.last_told_by_id.items()
            if (told == "not_run" and self.runs_by_id[request_id] > 0)
            or ("done" in self.told_by_id[request_id] and self.runs_by_id[request_id] == 0)
        ]

    def share_told(self, what: str) -> float:
        """Return the share of ids whose last word was this."""
        last = list(self.last_told_by_id.values())
        return last.count(what) / len(last) if last else 0.0

    def tell(self, request_id: str, told: str) -> None:
        """Note what a caller was told."""
        self.told_by_id.setdefault(request_id, set()).add(told)
        self.last_told_by_id[request_id] = told

    def count_runs(self, counts: dict[str, Any]) -> None:
        """Add what one target ran."""
        self.runs_by_id.update(counts["runs_by_request_id"])


async def take_ids(callers: Callers, count: int) -> list[str]:
    """Return fresh ids from the next box that answers."""
    while True:
        try:
            status, body = await callers.post(GROUP, "/v1/ids", {"count": count})
            if status == 200:
                return list(body["ids"])
        except (aiohttp.ClientError, TimeoutError, ValueError):
            pass
        await asyncio.sleep(0.05)


async def send_once(
    callers: Callers, service: str, request_id: str, key: str, report: OnceReport, repeats: int
) -> None:
    """Send one request, and again after `not_run`, unknown or a broken connection."""
    body = {"service": service, "key": key, "body": f"promise {key}", "id": request_id}
    for _ in range(repeats):
        told = await _send(callers, body)
        report.tell(request_id, told)
        if told == "done":
            return
        await asyncio.sleep(0.05)


async def _send(callers: Callers, body: dict[str, Any]) -> str:
    try:
        _, answer = await callers.post(GROUP, "/v1/execute", body)
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return "nothing"
    if "error" not in answer:
        return str(answer["outcome"])
    outcome = answer.get("outcome")
    return str(outcome or f"error:{answer['error']['code']}")


async def run_once_stream(
    callers: Callers, service: str, count: int, rate: float, report: OnceReport, repeats: int = 3
) -> None:
    """Send many requests at a steady rate, a tenth of them twice at once."""
    running: list[asyncio.Task[None]] = []
    ids: list[str] = []
    for number in range(count):
        if not ids:
            ids = await take_ids(callers, 50)
        request_id = ids.pop()
        key = f"pallet-{number}"
        copies = 2 if number % 10 == 0 else 1
        for _ in range(copies):
            job = send_once(callers, service, request_id, key, report, repeats)
            running.append(asyncio.ensure_future(job))
        await asyncio.sleep(1.0 / rate)
    await asyncio.gather(*running)
