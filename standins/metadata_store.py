"""A stand-in for the users' metadata store: items, ranges in pages, watches, forgotten history."""

import asyncio
import base64
import copy
from collections.abc import Callable
from typing import Any, NamedTuple

from aiohttp import web

from standins.http import Running, listen

PAGE_ITEMS = 50


class StoreCopy(NamedTuple):
    """Hold what a store held at some moment."""

    revision: int
    item_by_key: dict[str, dict[str, Any]]


class MetadataStore:
    """Serve ranges and watches; faults are attributes that a test sets."""

    def __init__(self) -> None:
        self.revision = 0
        self.era = 1
        """How often the store has come back from a copy, and one."""
        self.calls = 0
        self.down = False
        self.mute = False
        self.refused_hosts: set[str] = set()
        self.after_first_page: Callable[[], None] | None = None
        """What happens once, between the first page of a range and the next one."""
        self._item_by_key: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._oldest = 0
        self._leases = 0
        self._changed = asyncio.Event()

    async def start(self, address: str) -> Running:
        """Listen on `IP:PORT`."""
        return await listen(
            [
                web.get("/kv-range", self._range),
                web.get("/kv-watch", self._watch),
                web.post("/kv-lease", self._lease),
                web.post("/kv-txn", self._change),
            ],
            address,
        )

    def put(self, key: str, value: bytes) -> int:
        """Write an item as the operator or a target would; return its revision."""
        self.revision += 1
        item = {
            "tls_key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": self.revision,
            "lease": 0,
        }
        self._item_by_key[key] = item
        self._note(item)
        return self.revision

    def written_keys(self) -> list[str]:
        """Return the keys of all items."""
        return sorted(self._item_by_key)

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        self._item_by_key.pop(key, None)
        self._note({"tls_key": key, "revision": self.revision, "deleted": True})

    def copy(self) -> StoreCopy:
        """Return what the store holds now."""
        return StoreCopy(self.revision, copy.deepcopy(self._item_by_key))

    def come_back_from(self, earlier: StoreCopy) -> None:
        """Hold what a copy holds; what was written since is gone, its revisions are given again."""
        self.era += 1
        self.revision = earlier.revision
        self._item_by_key = copy.deepcopy(earlier.item_by_key)
        self.forget_history()

    def forget_history(self) -> None:
        """Drop what watches would be told of the past."""
        self._history.clear()
        self._oldest = self.revision

    def _note(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _enter(self, request: web.Request) -> None:
        self.calls += 1
        if self.mute:
            await asyncio.sleep(60.0)
        if self.down or request.remote in self.refused_hosts:
            raise web.HTTPServiceUnavailable(headers=self._headers)

    @property
    def _headers(self) -> dict[str, str]:
        return {"Store-Era": str(self.era)}

    def _answer(self, content: dict[str, Any], status: int = 200) -> web.Response:
        return web.json_response(content, status=status, headers=self._headers)

    async def _range(self, request: web.Request) -> web.StreamResponse:
        await self._enter(request)
        prefix, after = request.query["path_prefix"], request.query.get("after", "")
        keys = sorted(key for key in self._item_by_key if key.startswith(prefix) and key > after)
        items = [self._item_by_key[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        page = self._answer({"items": items, "has_more": more, "as_of": self.revision})
        if more and not after and "stale_ok" not in request.query:
            self._pass_first_page()
        return page

    def _pass_first_page(self) -> None:
        happens, self.after_first_page = self.after_first_page, None
        if happens is not None:
            happens()

    async def _lease(self, request: web.Request) -> web.StreamResponse:
        """Give a lease; it never runs out here."""
        await self._enter(request)
        self._leases += 1
        return self._answer({"lease": self._leases, **await request.json()})

    async def _change(self, request: web.Request) -> web.StreamResponse:
        await self._enter(request)
        change = await request.json()
        for row in change["expected_revision"]:
            item = self._item_by_key.get(row["tls_key"], {"revision": 0})
            if item["revision"] != row["revision"]:
                return self._answer({"items": [item]}, status=412)
        for row in change["puts"]:
            self.put(row["tls_key"], base64.b64decode(row["value"]))
        for key in change["remove"]:
            self.remove(key)
        return self._answer({"revision": self.revision})

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        await self._enter(request)
        prefix, after = request.query["path_prefix"], int(request.query["after"])
        end = asyncio.get_running_loop().time() + int(request.query["wait_ms"]) / 1000
        while True:
            if not self._oldest <= after <= self.revision:
                raise web.HTTPGone(headers=self._headers)
            found = [
                event
                for event in self._history
                if event["revision"] > after and event["tls_key"].startswith(prefix)
            ]
            left = end - asyncio.get_running_loop().time()
            if found or left <= 0:
                return self._answer({"events": found, "as_of": self.revision})
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue
