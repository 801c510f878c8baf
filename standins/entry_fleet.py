"""A small fleet on the users' platform: stand-ins in a thread, boxes as separate processes."""

import asyncio
import itertools
import json
import os
import signal
import subprocess
import sys
import threading
import uuid
from collections.abc import Coroutine, Sequence
from pathlib import Path
from types import TracebackType
from typing import Any, NamedTuple, Self, TypeVar

import httpx

from standins.fleet import free_ports, wait_until
from standins.http import Running
from standins.metadata_store import MetadataStore, StoreCopy
from standins.shard_target import ShardTarget

T = TypeVar("T")

START_TIMEOUT_S = 15.0
HOST = "search.example"
SETTINGS = """\
node_name={name}
ip={ip}
zone={zone}
region={region}
zones.a=east
zones.b=west
listen.front={ip}:{front}
listen.readiness={ip}:{readiness}
listen.control={ip}:{control}
internal_port_range=7380,7395
seeds={seeds}
bounds.drain_ms=3000
bounds.grace_s=4
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=1
bounds.retry_extra=200
platform.address={store}
"""


class EntryPlace(NamedTuple):
    """Say where one box stands and listens."""

    name: str
    zone: str
    front: str
    readiness: str


class EntryFleet:
    """Start, disturb and stop a store, targets and boxes."""

    def __init__(self, zones: list[str], folder: Path, more_settings: str = "") -> None:
        self.store = MetadataStore()
        self.target_by_instance: dict[str, ShardTarget] = {}
        self._zone_by_instance: dict[str, str] = {}
        self.boxes: list[EntryPlace] = []
        self._zones = zones
        self._folder = folder
        self._more_settings = more_settings
        self._process_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._store_running: Running | None = None
        self._versions = itertools.count(1)
        self.version = 0
        self.content = b""
        """The configuration in force, as it was written."""

    def __enter__(self) -> Self:
        self._thread.start()
        self._store_running = self.call(self.store.start("127.0.0.1:0"))
        ports = free_ports(3 * len(self._zones))
        controls = [f"127.0.0.1:{port}" for port in ports[2::3]]
        for number, zone in enumerate(self._zones):
            front, readiness, control = ports[3 * number : 3 * number + 3]
            name = f"box-{number}"
            text = SETTINGS.format(
                name=name,
                ip="127.0.0.1",
                zone=zone,
                region={"a": "east", "b": "west"}[zone],
                front=front,
                readiness=readiness,
                control=control,
                seeds=",".join(controls[:3]),
                store=self.reach(f"store-of-{name}", self._store_running.address),
            )
            (self._folder / f"{name}.conf").write_text(text + self._more_settings)
            self.boxes.append(
                EntryPlace(name, zone, f"127.0.0.1:{front}", f"127.0.0.1:{readiness}")
            )
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for process in self._process_by_name.values():
            process.kill()
            process.wait()
        for target in self.target_by_instance.values():
            self.call(target.stop())
        assert self._store_running is not None
        self.call(self._store_running.stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def reach(self, name: str, address: str) -> str:
        """Return the address at which boxes reach a store or a target; a proxy has another one."""
        return address

    def call(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine among the stand-ins and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(10.0)

    def put(self, key: str, value: bytes) -> None:
        """Write an item to the store."""

        async def write() -> None:
            self.store.put(key, value)

        self.call(write())

    def remove(self, key: str) -> None:
        """Remove an item from the store."""

        async def write() -> None:
            self.store.remove(key)

        self.call(write())

    def keys(self, prefix: str) -> list[str]:
        """Return the keys of the store that begin so."""
        return [key for key in self.store.written_keys() if key.startswith(prefix)]

    def evacuate(self, zone: str, asked: bool = True) -> None:
        """Ask for nothing more to be sent to a zone's targets, or take that back."""
        if asked:
            self.put(f"op/evacuate/{zone}", b"{}")
        else:
            self.remove(f"op/evacuate/{zone}")

    def add_target(self, instance: str, service: str, zone: str = "a") -> ShardTarget:
        """Start a target and let it write its entry."""
        target = ShardTarget(instance, service)
        self.call(target.start())
        target.address = self.reach(instance, target.address)
        self.target_by_instance[instance] = target
        self._zone_by_instance[instance] = zone
        self.put(f"servers/{instance}", target.entry(zone=zone))
        return target

    def write_entry(self, instance: str, state: str) -> None:
        """Let a target write its entry."""
        entry = self.target_by_instance[instance].entry(state, self._zone_by_instance[instance])
        self.put(f"servers/{instance}", entry)

    def add_entry(self, instance: str, service: str) -> None:
        """Write the entry of a target that nobody asks."""
        self.put(f"servers/{instance}", self.entry_of(instance, service, "ready"))

    def entry_of(self, instance: str, service: str, state: str) -> bytes:
        """Return the entry of a target that nobody asks."""
        target = ShardTarget(instance, service)
        target.address = "127.0.0.1:9"
        return target.entry(state)

    def copy_store(self) -> StoreCopy:
        """Return what the store holds now."""

        async def take() -> StoreCopy:
            return self.store.copy()

        return self.call(take())

    def set_store_back(self, earlier: StoreCopy) -> None:
        """Let the store come back from a copy."""

        async def come_back() -> None:
            self.store.come_back_from(earlier)

        self.call(come_back())

    def replace_ended(self) -> None:
        """Let targets that ended come back: under new names, as every start has."""
        for old in [target for target in self.target_by_instance.values() if target.ended]:
            del self.target_by_instance[old.instance]
            self.remove(f"servers/{old.instance}")
            new = self.add_target(
                f"{old.instance}~", old.service, self._zone_by_instance[old.instance]
            )
            new.ends_under = old.ends_under
            new.runs, new.run_times = old.runs, old.run_times

    def configure(
        self,
        routes: list[dict[str, Any]],
        services: Sequence[dict[str, Any]] = (),
        groups: Sequence[dict[str, Any]] | None = None,
    ) -> int:
        """Put a configuration in force and return its version; without `groups` it names none."""
        self.version = next(self._versions)
        config = {
            "version": self.version,
            "routes": [{**ROUTE, **route} for route in routes],
            "services": list(services),
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        if groups is not None:
            config["tenants"] = list(groups)
        self.content = json.dumps(config).encode()
        self.put("op/config", self.content)
        return self.version

    def start(self, place: EntryPlace) -> None:
        """Start a box."""
        settings = self._folder / f"{place.name}.conf"
        log = (self._folder / f"{place.name}.log").open("ab")
        self._process_by_name[place.name] = subprocess.Popen(
            [sys.executable, "-m", "trackwheel.entry"],
            env={**os.environ, "TRACKWHEEL_CONFIG": str(settings)},
            stdout=log,
            stderr=log,
        )
        log.close()

    def start_all(self) -> None:
        """Start every box and wait until all are ready."""
        for place in self.boxes:
            self.start(place)
        for place in self.boxes:
            self.wait_ready(place)

    def wait_ready(self, place: EntryPlace) -> None:
        """Wait until a box calls itself ready."""
        wait_until(lambda: self.ready(place), START_TIMEOUT_S, f"the start of {place.name}")

    def ready(self, place: EntryPlace) -> bool:
        """Return whether a box calls itself ready."""
        try:
            return httpx.get(f"http://{place.readiness}/ready", timeout=2.0).status_code == 200
        except httpx.HTTPError:
            return False

    def signal(self, place: EntryPlace, number: signal.Signals) -> None:
        """Send a signal to a box."""
        self._process_by_name[place.name].send_signal(number)

    def pid(self, place: EntryPlace) -> int:
        """Return the id of a box's process."""
        return self._process_by_name[place.name].pid

    def peak_memory_bytes(self, place: EntryPlace) -> int:
        """Return the most memory that a box's running process has held."""
        status = Path(f"/proc/{self.pid(place)}/status").read_text()
        (line,) = (line for line in status.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1]) * 1024

    def open_descriptors(self, place: EntryPlace) -> int:
        """Return how many descriptors a box's running process has open."""
        return len(os.listdir(f"/proc/{self.pid(place)}/fd"))

    def runs(self, place: EntryPlace) -> bool:
        """Return whether a box's process, once started, is still running."""
        return self._process_by_name[place.name].poll() is None

    def wait_exit(self, place: EntryPlace, timeout_s: float) -> int:
        """Wait until a box has ended and return its exit code."""
        return self._process_by_name[place.name].wait(timeout_s)

    def ask(
        self,
        place: EntryPlace,
        path: str,
        deadline_ms: int = 2000,
        key: str = "",
        client: httpx.Client | None = None,
        **options: Any,
    ) -> httpx.Response:
        """Send one request as a client would, over the connection of a `client` if one is given."""
        headers = {
            "Host": HOST,
            "X-Attempt-Id": uuid.uuid4().hex[:16],
            "X-Deadline-Ms": str(deadline_ms),
            **({"Authorization": f"Token {key}"} if key else {}),
            **options.pop("headers", {}),
        }
        method = "POST" if "content" in options else "GET"
        url = f"http://{place.front}{path}"
        send = client.request if client is not None else httpx.request
        return send(method, url, headers=headers, timeout=10.0, **options)

    def log(self, place: EntryPlace) -> str:
        """Return what a box has written."""
        return (self._folder / f"{place.name}.log").read_text()


ROUTE: dict[str, Any] = {
    "name": "r",
    "host": HOST,
    "path_prefix": "/",
    "kind": "safe",
    "timeout_ms": 2000,
    "target_latency_ms": 300,
    "priority": 1,
    "max_attempts": 2,
}
