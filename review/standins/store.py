"""A stand-in for the platform's metadata store: ranges, watches, transactions and leases."""

import asyncio
import base64
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.standins.http import Answer, Request, encode_answer, read_request

PAGE_ITEMS = 500


class Store:
    """Holds items in memory; the operator and the backends write to it directly."""

    def __init__(self) -> None:
        self.revision = 1
        self._item_by_key: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self._leases = 0
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> str:
        """Listen on a free port and return the address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        return f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def put(self, key: str, value: bytes) -> None:
        """Write an item."""
        self.revision += 1
        created = self._item_by_key.get(key, {}).get("created", self.revision)
        text = base64.b64encode(value).decode()
        item = {"tls_key": key, "value": text, "revision": self.revision}
        self._item_by_key[key] = {**item, "created": created, "lease": 0}
        self._note(self._item_by_key[key])

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self._item_by_key.pop(key, None) is not None:
            self.revision += 1
            self._note({"tls_key": key, "revision": self.revision, "deleted": True})

    def _note(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                answer = await self._answer(await read_request(reader))
                writer.write(encode_answer(answer))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Request) -> Answer:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        match request.method, url.path:
            case "GET", "/kv-range":
                return self._range(query["path_prefix"], query.get("after", ""))
            case "GET", "/kv-watch":
                wait_s = int(query["wait_ms"]) / 1000
                return await self._watch(query["path_prefix"], int(query["after"]), wait_s)
            case "POST", "/kv-lease":
                self._leases += 1
                return _json({"lease": self._leases, **json.loads(request.body)})
            case "POST", "/kv-txn":
                return self._change(json.loads(request.body))
        return Answer(404, {}, b"")

    def _range(self, prefix: str, after: str) -> Answer:
        keys = sorted(key for key in self._item_by_key if key.startswith(prefix) and key > after)
        items = [self._item_by_key[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return _json({"items": items, "has_more": more, "as_of": self.revision})

    async def _watch(self, prefix: str, after: int, wait_s: float) -> Answer:
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_s
        while True:
            changed = self._changed
            found = [
                event
                for event in self._events
                if event["revision"] > after and event["tls_key"].startswith(prefix)
            ]
            if found or loop.time() >= end:
                return _json({"events": found, "as_of": self.revision})
            try:
                async with asyncio.timeout(end - loop.time()):
                    await changed.wait()
            except TimeoutError:
                continue

    def _change(self, change: dict[str, Any]) -> Answer:
        for row in change.get("expected_revision", ()):
            item = self._item_by_key.get(row["tls_key"], {"revision": 0})
            if item["revision"] != row["revision"]:
                return _json({"items": [item]}, 412)
        for row in change.get("puts", ()):
            self.put(row["tls_key"], base64.b64decode(row["value"]))
        for key in change.get("remove", ()):
            self.remove(key)
        return _json({"revision": self.revision})


def _json(content: dict[str, Any], status: int = 200) -> Answer:
    return Answer(status, {"content-type": "application/json"}, json.dumps(content).encode())
