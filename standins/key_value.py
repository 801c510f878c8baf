"""A stand-in for the platform's key-value service: compare-and-swap, leases and watches.

Control it with `POST /control`: down, slow_s, lose_replies, restore (an older state).
"""

import asyncio
import base64
import time
from dataclasses import dataclass, field

from aiohttp import web

from standins.http import Running, listen


@dataclass
class Faults:
    """Faults that can be switched while the service runs."""

    down: bool = False
    slow_s: float = 0.0
    lose_replies: int = 0


@dataclass
class State:
    """What the service holds; the revision grows with every write."""

    revision: int = 0
    value_and_revision_by_key: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    holder_and_expiry_by_lease: dict[str, tuple[str, float]] = field(default_factory=dict)

    def copy(self) -> "State":
        """Return a copy that later writes leave as it is."""
        return State(
            self.revision,
            dict(self.value_and_revision_by_key),
            dict(self.holder_and_expiry_by_lease),
        )


class StandinKeyValue:
    """Serve the key-value contract of docs/PLATFORM.md."""

    def __init__(self) -> None:
        self.state = State()
        self.faults = Faults()
        self.calls = 0
        self.calls_by_kind: dict[str, int] = {}
        self._saved: State | None = None
        self._changed = asyncio.Event()

    async def start(self, address: str) -> Running:
        """Listen on `IP:PORT`."""
        routes = [
            web.get("/kv/{key:.+}", self._get),
            web.put("/kv/{key:.+}", self._put),
            web.get("/watch/{key:.+}", self._watch),
            web.post("/lease/{key:.+}", self._lease),
            web.post("/control", self._control),
            web.get("/counts", self._counts),
        ]
        return await listen(routes, address)

    async def _enter(self, kind: str) -> None:
        self.calls += 1
        self.calls_by_kind[kind] = self.calls_by_kind.get(kind, 0) + 1
        if self.faults.down:
            raise web.HTTPServiceUnavailable(headers={"Retry-After": "1"})
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)

    def _read(self, key: str) -> web.Response:
        held = self.state.value_and_revision_by_key.get(key)
        if held is None:
            return web.json_response({"value": None, "revision": 0})
        value = base64.b64encode(held[0]).decode()
        return web.json_response({"value": value, "revision": held[1]})

    async def _get(self, request: web.Request) -> web.StreamResponse:
        await self._enter("get")
        return self._read(request.match_info["key"])

    async def _put(self, request: web.Request) -> web.StreamResponse:
        await self._enter("put")
        key = request.match_info["key"]
        body = await request.json()
        held = self.state.value_and_revision_by_key.get(key)
        current = held[1] if held else 0
        if body["if_revision"] != current:
            return web.json_response({"written": False, "revision": current}, status=409)
        self.state.revision += 1
        value = base64.b64decode(body["value"])
        self.state.value_and_revision_by_key[key] = (value, self.state.revision)
        self._changed.set()
        self._changed = asyncio.Event()
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            if request.transport is not None:
                request.transport.close()
            return web.Response()
        return web.json_response({"written": True, "revision": self.state.revision})

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        await self._enter("watch")
        key = request.match_info["key"]
        after = int(request.query["after"])
        end = time.monotonic() + min(30.0, float(request.query.get("wait_s", "10")))
        while time.monotonic() < end:
            if self.faults.down:
                raise web.HTTPServiceUnavailable(headers={"Retry-After": "1"})
            held = self.state.value_and_revision_by_key.get(key)
            if (held[1] if held else 0) != after:
                break
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), min(0.5, end - time.monotonic()))
            except TimeoutError:
                continue
        return self._read(key)

    async def _lease(self, request: web.Request) -> web.StreamResponse:
        await self._enter("lease")
        key = request.match_info["key"]
        body = await request.json()
        holder, expiry = self.state.holder_and_expiry_by_lease.get(key, ("", 0.0))
        if holder not in ("", body["holder"]) and expiry > time.monotonic():
            return web.json_response({"held": False, "holder": holder}, status=409)
        expires = time.monotonic() + float(body["ttl_s"])
        self.state.holder_and_expiry_by_lease[key] = (body["holder"], expires)
        return web.json_response({"held": True, "holder": body["holder"]})

    async def _control(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        if body.pop("save", False):
            self._saved = self.state.copy()
        if body.pop("restore", False) and self._saved is not None:
            self.state = self._saved.copy()
            self._changed.set()
            self._changed = asyncio.Event()
        for name, value in body.items():
            setattr(self.faults, name, value)
        return web.json_response({"ok": True})

    async def _counts(self, request: web.Request) -> web.StreamResponse:
        return web.json_response({"calls": self.calls, "by_kind": self.calls_by_kind})
