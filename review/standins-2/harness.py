"""Stand-ins for the cases of the second review, with the standard library only.

A store, back ends and clients as the users' PROTOCOL page describes them, on loopback addresses in
one process, and the project's own boxes as separate processes with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "search.example"
ZONES = {"halle-muc": "oberbayern", "halle-nue": "franken", "halle-aug": "schwaben"}
PAGE_ITEMS = 200
SETTINGS = """\
node_name={name}
role=entry
machine_class=front
serves=front,control
ip={ip}
zone={zone}
region={region}
{zones}
listen.front={ip}:{front}
listen.readiness={ip}:{readiness}
listen.control={ip}:{control}
internal_port_range=7380,7395
seeds={seeds}
bootstrap=true
in_fault_budget=false
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,scatter,platform
fault_tolerance.machines=2
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.addr_reuse_s=2
bounds.contact_ms=4000
bounds.ack_ms=5000
bounds.catch_up_s=4
bounds.drain_ms=3000
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=3000
bounds.rollback_slack_ms=250
bounds.max_skew_ms=12000
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=10
bounds.retry_extra=54
bounds.recovery_s=12
platform.address={store}
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.min_ttl_ms=1000
"""

Headers = dict[str, str]


class Case:
    """One run: its record, its temporary folder, its stand-ins and its processes."""

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started = time.monotonic()
        self._record = (folder / "record.txt").open("w")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.servers: list[asyncio.Server] = []
        self.boxes: list[Box] = []
        # Each run has loopback addresses of its own.
        self._net = f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}"
        self._next_host = 10

    def note(self, text: str) -> None:
        """Write one line with the time since the start to the record."""
        self._record.write(f"{time.monotonic() - self.started:8.3f}  {text}\n")
        self._record.flush()

    def new_ip(self) -> str:
        """Return a loopback address that no other stand-in or box of this run has."""
        self._next_host += 1
        return f"{self._net}.{self._next_host}"

    async def close(self) -> None:
        """End every process and server, and remove the temporary folder."""
        for box in self.boxes:
            box.end()
        for server in self.servers:
            server.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()


def free_port(ip: str) -> int:
    """Return a port that is free at an address now."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


class Message:
    """One HTTP message as it was read."""

    def __init__(self, first: str, headers: Headers, body: bytes) -> None:
        self.first = first
        self.headers = headers
        self.body = body


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a length; None at the end of the connection before its first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(first, headers, body)


def answer_bytes(status: int, headers: Headers, body: bytes = b"") -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {text}" for name, text in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store."""

    def __init__(self, case: Case) -> None:
        self._case = case
        self.address = ""
        self.revision = 100
        self._items: dict[str, dict[str, object]] = {}
        self._history: list[dict[str, object]] = []
        self._changed = asyncio.Event()
        self._leases = 0
        self._writers_by_address: dict[str, set[asyncio.StreamWriter]] = {}

    async def start(self) -> asyncio.Server:
        """Listen on a free port of a new address; the store then has this address."""
        ip = self._case.new_ip()
        server = await asyncio.start_server(self._serve, ip, 0)
        self._case.servers.append(server)
        self.address = f"{ip}:{server.sockets[0].getsockname()[1]}"
        return server

    def close_connections(self, address: str) -> None:
        """Close the connections to an address at which the store no longer listens."""
        for writer in self._writers_by_address.pop(address, set()):
            writer.transport.abort()

    def put(self, key: str, value: object, lease: int = 0) -> None:
        """Write an item."""
        self.revision += 1
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        item: dict[str, object] = {
            "tls_key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self.revision,
            "created": self.revision,
            "lease": lease,
        }
        self._items[key] = item
        self._add_event(item)

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._add_event({"tls_key": key, "revision": self.revision, "deleted": True})

    def _add_event(self, event: dict[str, object]) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ip, port = writer.get_extra_info("sockname")
        writers = self._writers_by_address.setdefault(f"{ip}:{port}", set())
        writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message.first.split(" ")
                status, body = await self._answer(method, target, message.body)
                headers = {"Content-Type": "application/json"}
                writer.write(answer_bytes(status, headers, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, object]:
        await asyncio.sleep(0.004)
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/kv-range":
            prefix, after = query["path_prefix"], query.get("after", "")
            keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
            items = [self._items[key] for key in keys[:PAGE_ITEMS]]
            return 200, {
                "items": items,
                "has_more": len(keys) > PAGE_ITEMS,
                "as_of": self.revision,
            }
        if parts.path == "/kv-watch":
            return 200, await self._watch(
                query["path_prefix"], int(query["after"]), int(query["wait_ms"]) / 1000
            )
        if parts.path == "/kv-lease":
            self._leases += 1
            return 200, {"lease": self._leases, **json.loads(body)}
        if parts.path == "/kv-txn":
            change = json.loads(body)
            for row in change.get("expected_revision", []):
                item = self._items.get(row["tls_key"])
                if (item["revision"] if item else 0) != row["revision"]:
                    return 412, {"items": [item] if item else []}
            for row in change.get("puts", []):
                self.put(row["tls_key"], base64.b64decode(row["value"]), row.get("lease", 0))
            for key in change.get("remove", []):
                self.remove(key)
            return 200, {"revision": self.revision}
        return 404, {}

    async def _watch(self, prefix: str, after: int, wait_s: float) -> object:
        until = time.monotonic() + wait_s
        while True:
            events = [
                event
                for event in self._history
                if int(str(event["revision"])) > after and str(event["tls_key"]).startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "as_of": self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue


class Proxy:
    """Passes connections on to an address; open ones can go silent while new ones work."""

    def __init__(self, case: Case, target: str) -> None:
        self._case = case
        self._target = target
        self.address = ""
        self._silences: list[asyncio.Event] = []

    async def start(self) -> None:
        """Listen on a free port."""
        ip = self._case.new_ip()
        server = await asyncio.start_server(self._serve, ip, 0)
        self._case.servers.append(server)
        self.address = f"{ip}:{server.sockets[0].getsockname()[1]}"

    def silence_open_connections(self) -> int:
        """Pass nothing more on over the connections that are open now; return their number."""
        silences, self._silences = self._silences, []
        for silence in silences:
            silence.set()
        return len(silences)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        silence = asyncio.Event()
        self._silences.append(silence)
        host, _, port = self._target.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))

        async def pump(source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
            try:
                while data := await source.read(65536):
                    if not silence.is_set():
                        sink.write(data)
                        await sink.drain()
            except ConnectionError:
                pass
            if not silence.is_set():
                sink.close()

        try:
            await asyncio.gather(pump(reader, far_writer), pump(far_reader, writer))
        except asyncio.CancelledError:
            pass
        finally:
            if silence in self._silences:
                self._silences.remove(silence)
            writer.close()
            far_writer.close()


class Arrival:
    """One request at a back end."""

    def __init__(self, backend: "Backend", message: Message) -> None:
        self.backend = backend
        self.message = message
        self.attempt = message.headers.get("x-attempt-id", "")
        self.at = time.monotonic()


Work = Callable[[Arrival], Awaitable[tuple[int, Headers, bytes]]]


class Backend:
    """One back end of a service, with an entry of its own in the store."""

    def __init__(self, case: Case, store: Store, service: str, zone: str, work: Work) -> None:
        self._case = case
        self._store = store
        self.instance = f"i-{uuid.uuid4().hex[:8]}"
        self.service = service
        self.zone = zone
        self._work = work
        self.address = ""
        self.arrivals: list[Arrival] = []
        self._sequence = 0
        self._beat: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen on a free port and write the entry, again at each heartbeat."""
        ip = self._case.new_ip()
        server = await asyncio.start_server(self._serve, ip, 0)
        self._case.servers.append(server)
        self.address = f"{ip}:{server.sockets[0].getsockname()[1]}"
        self._beat = asyncio.create_task(self._write_entries())

    async def _write_entries(self) -> None:
        while True:
            self._sequence += 1
            entry = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "warmup_left_ms": 0,
                "sequence": self._sequence,
            }
            self._store.put(f"servers/{self.instance}", entry)
            await asyncio.sleep(1.2)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                status, headers, body = await self._answer(message)
                writer.write(answer_bytes(status, headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, message: Message) -> tuple[int, Headers, bytes]:
        attempt = message.headers.get("x-attempt-id", "")
        if message.first.split(" ")[1] == "/health":
            return 200, {"X-Instance-Id": self.instance}, b""
        if message.headers.get("x-expect-instance", self.instance) != self.instance:
            return 421, {"X-Attempt-Id": attempt}, b""
        arrival = Arrival(self, message)
        self.arrivals.append(arrival)
        status, headers, body = await self._work(arrival)
        return status, {"X-Attempt-Id": attempt, **headers}, body


class Box:
    """One box of the system, started with the command of the deploy file."""

    def __init__(self, case: Case, name: str, zone: str) -> None:
        self._case = case
        self.name = name
        self.zone = zone
        self.ip = case.new_ip()
        self.front = free_port(self.ip)
        self.readiness = free_port(self.ip)
        self.control = free_port(self.ip)
        self.process: subprocess.Popen[bytes] | None = None
        self._settings = case.folder / f"{name}.conf"
        self.log = case.folder / f"{name}.log"
        case.boxes.append(self)

    @property
    def control_address(self) -> str:
        """Return where peers reach it."""
        return f"{self.ip}:{self.control}"

    def write_settings(self, store: str, seeds: list[str]) -> None:
        """Write the settings file, as the platform does at a start and when something changes."""
        zones = "\n".join(f"zones.{zone}={region}" for zone, region in ZONES.items())
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            region=ZONES[self.zone],
            zones=zones,
            front=self.front,
            readiness=self.readiness,
            control=self.control,
            seeds=",".join(seeds),
            store=store,
        )
        self._settings.write_text(text)

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        environment = {
            **os.environ,
            **role.get("env", {}),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "TRACKWHEEL_CONFIG": str(self._settings),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._case.note(f"{self.name} started, process {self.process.pid}")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)
        self._case.note(f"{self.name} got {number.name}")

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether it answers the platform's question with 200."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.readiness)
            writer.write(f"GET /ready HTTP/1.1\r\nHost: {self.ip}\r\n\r\n".encode())
            answer = await asyncio.wait_for(read_message(reader), 1.0)
            writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer is not None and answer.first.split(" ")[1] == "200"

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until it calls itself ready; raise `CannotRunError` if it does not."""
        until = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > until:
                raise CannotRunError(f"{self.name} did not become ready")
            await asyncio.sleep(0.1)


class CannotRunError(Exception):
    """The case could not run."""


def config(version: int, routes: list[dict[str, object]], services: list[str]) -> object:
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/health", "max_connections": 100} for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def request_bytes(
    method: str, path: str, attempt: str, deadline_ms: int, headers: Headers, body: bytes = b""
) -> bytes:
    """Return a client's request."""
    fields = {
        "Host": HOST,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(deadline_ms),
        **headers,
    }
    if body:
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {text}" for name, text in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def run(folder: Path, main: Callable[[Case], Awaitable[bool]]) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

    async def play() -> int:
        case = Case(folder)
        try:
            async with asyncio.timeout(110.0):
                broken = await main(case)
            case.note(f"rule {'BROKEN' if broken else 'held'}")
            return 1 if broken else 0
        except (CannotRunError, OSError, TimeoutError) as error:
            case.note(f"could not run: {error!r}")
            return 2
        finally:
            await case.close()

    return asyncio.run(play())
