"""A stand-in for a target of the users' platform, scriptable with faults."""

import asyncio
import json
import time
from collections.abc import Callable

from aiohttp import web

from standins.endless_server import FORM_BY_NAME, write_without_end
from standins.http import Running, listen

RECORDS = 3
HEALTH_PATH = "/health"
CRASH_AFTER_S = 0.03
"""How long a request runs before the target ends under it."""
ODD_STATUS_CLOSE_S = 10.0


ODD_STATUSES = ("000", "099", "600", "999")
"""Faults: an answer with this status, which HTTP does not have."""


async def _write_status(transport: asyncio.Transport, status: str, headers: dict[str, str]) -> None:
    """Write an answer with any status and close the connection."""
    lines = [f"HTTP/1.1 {status} Odd", *(f"{name}: {value}" for name, value in headers.items())]
    transport.write("\r\n".join([*lines, "Content-Length: 3", "", "odd"]).encode())
    # So long that the close is not what ends the exchange.
    await asyncio.sleep(ODD_STATUS_CLOSE_S)
    transport.close()


class ShardTarget:
    """Serve one service; `runs` notes the id of each request that ran, `run_times` when."""

    def __init__(self, instance: str, service: str) -> None:
        self.instance = instance
        self.service = service
        self.address = ""
        self.delay_s = 0.0
        self.fault = ""
        self.runs: list[str] = []
        self.run_times: list[float] = []
        self.headers_by_run: list[dict[str, str]] = []
        """The headers of each request that ran, with names in lower case."""
        self.left = 0
        self.born_ms = int(time.time() * 1000)
        self.cold_ms = 0
        self.load = "0,0,2,100"
        self.filler = b""
        """Sent at the end of each answer."""
        self.ends_under = ""
        """A part of paths; a request with it ends the target as soon as that runs it."""
        self.ended = False
        self.ran_ending_by_path: dict[str, list[float]] = {}
        """When it began to run requests that end it (monotonic seconds)."""
        self.comes_back: Callable[[], None] | None = None
        """What to do when it has ended and is back at once, in another life."""
        self._sequence = 0
        self._running: Running | None = None
        self._stopping: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        routes = [web.route("*", "/{path:.*}", self._serve)]
        self._running = await listen(routes, "127.0.0.1:0")
        self.address = self._running.address

    async def stop(self) -> None:
        """End as a crash would."""
        assert self._running is not None
        await self._running.stop()

    def _end_itself(self) -> None:
        """End at once, with every connection, as a process does that crashes."""
        assert self._running is not None
        server = self._running.runner.server
        for handler in server.connections if server is not None else ():
            if handler.transport is not None:
                handler.transport.abort()
        if self.comes_back is not None:
            self.start_again()
            self.comes_back()
            return
        self.ended = True
        self._stopping = asyncio.get_running_loop().create_task(self._running.stop())

    def entry(self, state: str = "ready", zone: str = "a") -> bytes:
        """Return the entry that the target writes of itself."""
        self._sequence += 1
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": 2,
            "state": state,
            "warmup_left_ms": self.cold_ms,
            "sequence": self._sequence,
            "born": self.born_ms,
        }
        return json.dumps(fields).encode()

    def start_again(self, cold_ms: int = 0) -> None:
        """Begin another life under the same name."""
        self.born_ms += 1
        self.cold_ms = cold_ms
        self._sequence = 0

    def records(self) -> list[bytes]:
        """Return the records that an answer holds."""
        return [f"{self.service}-{number}".encode().ljust(16) for number in range(RECORDS)]

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        attempt = request.headers.get("X-Attempt-Id", "")
        if request.path == HEALTH_PATH:
            headers = {"X-Instance-Id": self.instance, "X-Server-Load": self.load}
            if self.cold_ms:
                headers["X-Warmup-Ms"] = str(self.cold_ms)
            return web.Response(headers=headers)
        if request.headers.get("X-Expect-Instance", self.instance) != self.instance:
            return web.Response(status=421)
        if self.fault == "shed":
            return web.Response(status=503, headers={"X-Not-Executed": "1"})
        self.runs.append(attempt)
        self.run_times.append(time.monotonic())
        self.headers_by_run.append({name.lower(): text for name, text in request.headers.items()})
        body = await request.read()
        if self.ends_under and self.ends_under in request.path:
            self.ran_ending_by_path.setdefault(request.path, []).append(time.monotonic())
            await asyncio.sleep(CRASH_AFTER_S)
            self._end_itself()
        try:
            await asyncio.sleep(self.delay_s)
        except asyncio.CancelledError:
            self.left += 1
            raise
        headers = {
            "X-Attempt-Id": attempt,
            "X-Response-Stamp": f"{self.instance}.{attempt}",
            "X-Server-Load": self.load,
        }
        if self.fault == "error":
            return web.Response(status=500, headers=headers, body=b"failed")
        if self.fault in ODD_STATUSES:
            assert request.transport is not None
            await _write_status(request.transport, self.fault, headers)
        if self.fault in FORM_BY_NAME:
            assert request.transport is not None
            await write_without_end(request.transport, FORM_BY_NAME[self.fault])
        if self.fault == "reset":
            assert request.transport is not None
            request.transport.abort()
        return web.Response(headers=headers, body=b"".join(self.records()) + body + self.filler)
