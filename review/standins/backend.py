"""A stand-in for a backend that keeps itself in the store and works on a few requests at once."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

from review.standins.http import Answer, Request, encode_answer, read_request
from review.standins.store import Store

QUEUE = 16
NOT_EXECUTED = {"x-not-executed": "1"}

Note = Callable[..., None]
"""Writes one event to the record."""


class Backend:
    """Serves one service; `work_s` is how long it works on a request."""

    def __init__(
        self, store: Store, instance: str, service: str, zone: str, slots: int, note: Note
    ) -> None:
        self.instance, self.service, self.zone, self.slots = instance, service, zone, slots
        self.work_s = 0.05
        self.max_connections = 100
        self.address = ""
        self._store = store
        self._note = note
        self._waiting = 0
        self._running = 0
        self._slot = asyncio.Semaphore(slots)
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task[None] | None = None

    async def start(self, host: str, heartbeat_s: float = 1.2) -> None:
        """Listen on a free port, and write the entry with each heartbeat."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        self._write_entry("ready")
        self._beats = asyncio.create_task(self._beat(heartbeat_s))

    def end(self) -> None:
        """End, with every connection."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def _write_entry(self, state: str) -> None:
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": self._sequence,
        }
        self._store.put(f"servers/{self.instance}", json.dumps(entry).encode())

    async def _beat(self, period_s: float) -> None:
        while True:
            await asyncio.sleep(period_s)
            self._write_entry("ready")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._writers) >= self.max_connections:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                working = asyncio.create_task(self._answer(request))
                # One request at a time on a connection: more bytes or an end drop this one.
                closing = asyncio.create_task(reader.read(1))
                await asyncio.wait({working, closing}, return_when=asyncio.FIRST_COMPLETED)
                if not working.done():
                    working.cancel()
                    attempt = request.headers.get("x-attempt-id", "")
                    self._note("backend_dropped", backend=self.instance, attempt=attempt)
                    return
                closing.cancel()
                await asyncio.gather(closing, return_exceptions=True)
                writer.write(encode_answer(working.result()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Request) -> Answer:
        attempt = request.headers.get("x-attempt-id", "")
        if request.target == "/health":
            return Answer(200, {"x-instance-id": self.instance, **self._load()}, b"")
        if request.headers.get("x-expect-instance", self.instance) != self.instance:
            return Answer(421, {}, b"")
        if not attempt:
            return Answer(400, NOT_EXECUTED, b"")
        self._note("backend_got", backend=self.instance, attempt=attempt)
        left_s = int(request.headers.get("x-deadline-ms", "30000")) / 1000
        echo: dict[str, str] = {"x-attempt-id": attempt}
        if self._waiting >= QUEUE:
            return Answer(503, {**NOT_EXECUTED, **echo, **self._load()}, b"")
        loop = asyncio.get_running_loop()
        end = loop.time() + left_s
        self._waiting += 1
        try:
            async with asyncio.timeout(left_s):
                await self._slot.acquire()
        except TimeoutError:
            return Answer(503, {**NOT_EXECUTED, **echo, **self._load()}, b"")
        finally:
            self._waiting -= 1
        self._running += 1
        self._note("backend_runs", backend=self.instance, attempt=attempt)
        try:
            async with asyncio.timeout(max(0.0, end - loop.time())):
                await asyncio.sleep(self.work_s)
        except TimeoutError:
            return Answer(504, {**self._stamp(attempt), **echo}, b"")
        finally:
            self._running -= 1
            self._slot.release()
        self._note("backend_done", backend=self.instance, attempt=attempt)
        return Answer(200, {**self._stamp(attempt), **echo, **self._load()}, b"done " * 20)

    def _stamp(self, attempt: str) -> dict[str, str]:
        return {"x-response-stamp": f"{self.instance}.{attempt}"}

    def _load(self) -> dict[str, str]:
        return {"x-server-load": f"{self._running},{self._waiting},{self.slots}"}


def route(name: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration to one service."""
    common = {"name": name, "host": "pantry.example", "path_prefix": f"/{name}/"}
    return {**common, "service": service, "priority": 1, "max_attempts": 2, **fields}


def configuration(
    version: int, routes: list[dict[str, Any]], max_connections: dict[str, int]
) -> bytes:
    """Return a configuration as the operator writes it."""
    services = [
        {"name": name, "health_path": "/health", "max_connections": limit}
        for name, limit in max_connections.items()
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    content = {"version": version, "routes": routes, "services": services, "limits": limits}
    return json.dumps(content).encode()
