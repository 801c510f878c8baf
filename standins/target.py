"""A stand-in target: answers queries for its shards, and misbehaves on request.

Control it with `POST /control` and a JSON object of the fields of `Faults`; read what it
counted with `GET /counts`.
"""

import asyncio
import itertools
import json
import os
import time
from dataclasses import dataclass, field, fields, replace
from typing import TypedDict

from aiohttp import web

from standins.http import Running, listen

RUN_HEADER = "Trackwheel-Run"
DRAINING_HEADER = "Trackwheel-Draining"
BOOT_HEADER = "Trackwheel-Target-Boot"


@dataclass
class Faults:
    """The faults that can be switched while the target runs (seconds, shares, counts)."""

    service_s: float = 0.004
    slots: int = 2
    slow_factor: float = 1.0
    slow_share: float = 0.0
    shed: bool = False
    shed_share: float = 0.0
    draining: bool = False
    lie_healthy: bool = False
    half_answer: bool = False
    wrong_nonce: bool = False
    hang: bool = False
    reply_lost: bool = False
    new_connection_s: float = 0.0
    max_queue: int = 50
    ignore_deadline: bool = False
    ends_under: str = ""
    """Text of queries and bodies under which the target ends as soon as it runs them."""


@dataclass
class Shards:
    """What the target holds: for each index version its shards and the size of the map."""

    items_by_shard_by_version: dict[int, dict[int, list[str]]]
    map_size_by_version: dict[int, int]


@dataclass
class Counts:
    """What the target saw."""

    queries: int = 0
    finished: int = 0
    cancelled: int = 0
    shed: int = 0
    slot_s: float = 0.0
    connections: int = 0
    peak_running: int = 0
    last_new_work: float = 0.0
    runs_by_request_id: dict[str, int] = field(default_factory=dict)
    slot_s_by_group: dict[str, float] = field(default_factory=dict)


class StandinTarget:
    """Serve the target contract for one instance of one service."""

    def __init__(self, shards: Shards, faults: Faults | None = None) -> None:
        self.shards = shards
        self.faults = faults or Faults()
        self.counts = Counts()
        self.boot = os.urandom(4).hex()
        self._running = 0
        self._waiters: list[asyncio.Future[None]] = []
        self._sequence = itertools.count()
        self._seen_connections: set[asyncio.Transport] = set()

    async def start(self, address: str) -> Running:
        """Listen on `IP:PORT`."""
        routes = [
            web.post("/query", self._query),
            web.post("/execute", self._execute),
            web.get("/health", self._health),
            web.get("/load", self._load),
            web.post("/control", self._control),
            web.get("/counts", self._counts),
        ]
        return await listen(routes, address)

    def headers(self) -> dict[str, str]:
        """Return the headers that every answer carries."""
        headers = {BOOT_HEADER: self.boot}
        if self.faults.draining:
            headers[DRAINING_HEADER] = "1"
        return headers

    def _refuse(self, status: int, code: str, nonce: str, **extra: object) -> web.Response:
        headers = self.headers() | {RUN_HEADER: "no", "Retry-After": "1"}
        body = {"nonce": nonce, "code": code, **extra}
        return web.json_response(body, status=status, headers=headers)

    async def _note_connection(self, request: web.Request) -> None:
        transport = request.transport
        if not isinstance(transport, asyncio.Transport) or transport in self._seen_connections:
            return
        self._seen_connections.add(transport)
        self.counts.connections += 1
        if self.faults.new_connection_s:
            await asyncio.sleep(self.faults.new_connection_s)

    async def _work(self, group: str) -> None:
        """Wait for a slot, then hold it for the service time."""
        while self._running >= self.faults.slots:
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            try:
                await waiter
            finally:
                if waiter in self._waiters:
                    self._waiters.remove(waiter)
        self._running += 1
        self.counts.peak_running = max(self.counts.peak_running, self._running)
        started = time.monotonic()
        try:
            await asyncio.sleep(self._service_time())
        finally:
            held = time.monotonic() - started
            self.counts.slot_s += held
            total = self.counts.slot_s_by_group.get(group, 0.0)
            self.counts.slot_s_by_group[group] = total + held
            self._running -= 1
            if self._waiters:
                first = self._waiters.pop(0)
                if not first.done():
                    first.set_result(None)

    async def _end_if_told(self, request: web.Request, text: str) -> None:
        """End under a request: every connection is cut, and another boot listens at once."""
        if not self.faults.ends_under or self.faults.ends_under not in text:
            return
        await asyncio.sleep(self.faults.service_s)
        self.boot = os.urandom(4).hex()
        for transport in self._seen_connections:
            transport.abort()
        self._seen_connections.clear()

    def _service_time(self) -> float:
        number = next(self._sequence)
        share = self.faults.slow_share
        slow = share > 0 and (number * 2654435761 % 1000) / 1000 < share
        return self.faults.service_s * (self.faults.slow_factor if slow else 1.0)

    def _shedding(self) -> bool:
        number = next(self._sequence)
        if self.faults.shed or len(self._waiters) >= self.faults.max_queue:
            return True
        share = self.faults.shed_share
        return share > 0 and (number * 2654435761 % 1000) / 1000 < share

    async def _query(self, request: web.Request) -> web.StreamResponse:
        await self._note_connection(request)
        body = await request.json()
        nonce = body["nonce"]
        if self._shedding():
            self.counts.shed += 1
            return self._refuse(503, "shed", nonce)
        version = body.get("version")
        held = self.shards.items_by_shard_by_version
        if version is not None and version not in held:
            return self._refuse(409, "version", nonce, holds=sorted(held))
        self.counts.queries += 1
        self.counts.last_new_work = time.time()
        await self._end_if_told(request, str(body.get("query", "")))
        if version is None:
            version = max(held)
        items_by_shard = held[version]
        map_size = self.shards.map_size_by_version[version]
        try:
            if self.faults.hang:
                await asyncio.sleep(3600)
            await self._work(body.get("group", ""))
        except asyncio.CancelledError:
            self.counts.cancelled += 1
            raise
        self.counts.finished += 1
        text = str(body.get("query", ""))
        shards = {
            str(shard): [item for item in items if text in item]
            for shard, items in items_by_shard.items()
        }
        answer = {
            "nonce": "wrong" if self.faults.wrong_nonce else nonce,
            "version": version,
            "map_size": map_size,
            "shards": shards,
            "end": True,
        }
        return await self._send(request, answer)

    async def _send(self, request: web.Request, answer: dict[str, object]) -> web.StreamResponse:
        payload = json.dumps(answer).encode()
        if not self.faults.half_answer:
            return web.Response(
                body=payload, content_type="application/json", headers=self.headers()
            )
        response = web.StreamResponse(headers=self.headers())
        response.content_length = len(payload)
        await response.prepare(request)
        await response.write(payload[: len(payload) // 2])
        if request.transport is not None:
            request.transport.close()
        return response

    async def _execute(self, request: web.Request) -> web.StreamResponse:
        await self._note_connection(request)
        body = await request.json()
        nonce = body["nonce"]
        if self._shedding() or self.faults.draining:
            self.counts.shed += 1
            return self._refuse(503, "draining" if self.faults.draining else "shed", nonce)
        request_id = body["id"]
        runs = self.counts.runs_by_request_id
        runs[request_id] = runs.get(request_id, 0) + 1
        self.counts.last_new_work = time.time()
        await self._end_if_told(request, str(body.get("body", "")))
        await asyncio.shield(self._work(body.get("group", "")))
        if self.faults.reply_lost:
            if request.transport is not None:
                request.transport.close()
            return web.Response()
        return await self._send(request, {"nonce": nonce, "result": "recorded", "end": True})

    async def _health(self, request: web.Request) -> web.StreamResponse:
        await self._note_connection(request)
        draining = self.faults.draining and not self.faults.lie_healthy
        headers = self.headers()
        if self.faults.lie_healthy:
            headers.pop(DRAINING_HEADER, None)
        body = {"draining": draining, "boot": self.boot}
        return web.json_response(body, headers=headers)

    async def _load(self, request: web.Request) -> web.StreamResponse:
        running = 0 if self.faults.lie_healthy else self._running
        return web.json_response({"running": running, "queued": len(self._waiters)})

    async def _control(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        if "new_boot" in body:
            self.boot = os.urandom(4).hex()
        if "shards" in body:
            self.shards = shards_from_json(body["shards"])
        names = {item.name for item in fields(Faults)}
        changes = {name: value for name, value in body.items() if name in names}
        self.faults = replace(self.faults, **changes)
        return web.json_response({"ok": True})

    async def _counts(self, request: web.Request) -> web.StreamResponse:
        return web.json_response(self.counts.__dict__)


class VersionContent(TypedDict):
    """What a target holds at one version."""

    map_size: int
    shards: dict[str, list[str]]


def shards_from_json(content_by_version: dict[str, VersionContent]) -> Shards:
    """Return shards from `{version: {"map_size": n, "shards": {shard: [items]}}}`."""
    items: dict[int, dict[int, list[str]]] = {}
    sizes: dict[int, int] = {}
    for version, content in content_by_version.items():
        shards = content["shards"]
        items[int(version)] = {int(shard): list(lots) for shard, lots in shards.items()}
        sizes[int(version)] = content["map_size"]
    return Shards(items, sizes)


def one_shard(shard: int, map_size: int, service: str, version: int = 1) -> Shards:
    """Return a target's content with one shard of three items at one version."""
    items = [f"{service}-{shard}-{number}" for number in range(3)]
    return Shards({version: {shard: items}}, {version: map_size})
