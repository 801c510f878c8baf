"""A small fleet on this machine as separate processes: stand-ins and boxes.

Demonstrations, measurements and tests use it; a box itself never starts a process.
"""

import itertools
import os
import shutil
import signal
import socket
import ssl
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from types import TracebackType
from typing import Any, NamedTuple, Self

import httpx

from standins.certificates import Authority

START_TIMEOUT_S = 20.0
FIRST_PORT = 10_500
PORT_COUNT = 10_000
_PORT_NUMBERS = itertools.count(os.getpid() * 397 % PORT_COUNT)


class BoxPlace(NamedTuple):
    """Say where one box stands and listens."""

    box_id: str
    region: str
    failure_domain: str
    callers: str
    peers: str
    operators: str


def free_ports(count: int) -> list[int]:
    """Return ports on loopback that nobody uses now.

    They lie below the range from which the system takes ports for outgoing connections, so
    that none of those takes one before its listener does.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = FIRST_PORT + next(_PORT_NUMBERS) % PORT_COUNT
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


def wait_until(condition: Callable[[], bool], timeout_s: float, what: str) -> None:
    """Return when a condition holds; raise TimeoutError when it does not in time."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise TimeoutError(f"{what} took longer than {timeout_s} s")


class SmallFleet:
    """Start, disturb and stop a platform, targets and boxes."""

    def __init__(
        self,
        places: list[tuple[str, str]],
        target_files: list[Path],
        target_options: list[str] | None = None,
        target_processes: int = 1,
        tls: bool = True,
        fleet_settings: str = "",
        https: bool = False,
    ) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="trackwheel-")
        self.folder = Path(self._folder.name)
        ports = free_ports(2 + 3 * len(places))
        self.key_value = f"127.0.0.1:{ports[0]}"
        self.box_list = f"127.0.0.1:{ports[1]}"
        self.boxes = [
            BoxPlace(
                f"box-{number}",
                region,
                domain,
                *(f"127.0.0.1:{port}" for port in ports[2 + 3 * number : 5 + 3 * number]),
            )
            for number, (region, domain) in enumerate(places)
        ]
        self._target_files = target_files
        self._target_options = target_options or []
        self._target_processes = target_processes
        self._fleet_settings = fleet_settings
        self.authority = Authority(self.folder) if tls else None
        self.process_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self._https = https
        self._scheme = "https" if https else "http"
        self.http = self._client()

    def _client(self) -> httpx.Client:
        if not self._https:
            return httpx.Client(timeout=10.0, trust_env=False)
        assert self.authority is not None, "certificates need an authority"
        context = ssl.create_default_context(cafile=str(self.authority.path))
        context.load_cert_chain(*map(str, self.authority.issue("operator")))
        return httpx.Client(timeout=10.0, trust_env=False, verify=context)

    def take_authority(self, authority: Authority) -> None:
        """Trust another authority from now on, as the boxes do."""
        self.authority = authority
        self.http.close()
        self.http = self._client()

    def __enter__(self) -> Self:
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop()

    def start(self) -> None:
        """Start everything and wait until every box sees all others."""
        peers = ",".join(box.peers for box in self.boxes)
        self._spawn(
            "platform",
            ["-m", "standins", "platform", f"--key-value={self.key_value}"]
            + [f"--box-list={self.box_list}", f"--boxes={peers}"],
        )
        for file in self._target_files:
            for part in range(self._target_processes):
                command = ["-m", "standins", "targets", str(file), *self._target_options]
                command.append(f"--part={part}/{self._target_processes}")
                self._spawn(f"targets-{file.stem}-{part}", command)
        for box in self.boxes:
            self.start_box(box)
        wait_until(self._all_see_all, START_TIMEOUT_S, "the boxes' meeting")

    def stop(self) -> None:
        """End every process that this fleet started."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.process_by_name.values():
            process.wait()
        self.http.close()
        self._keep_logs()
        self._folder.cleanup()

    def _keep_logs(self) -> None:
        """Copy the logs to the folder that `TRACKWHEEL_KEEP_LOGS` names, if any."""
        kept = os.environ.get("TRACKWHEEL_KEEP_LOGS")
        if not kept:
            return
        folder = Path(kept) / self.folder.name
        folder.mkdir(parents=True)
        for log in self.folder.glob("*.log"):
            shutil.copy(log, folder)

    def start_box(self, box: BoxPlace, issue: bool = True) -> None:
        """Start one box, or start it anew at its place, with the certificate that it has or not."""
        path = self.folder / f"{box.box_id}.ini"
        if issue and self.authority is not None:
            self.authority.issue(box.box_id)
        path.write_text(self._settings(box))
        self._spawn(box.box_id, ["-m", "trackwheel", "serve", str(path)])

    def signal_box(self, box: BoxPlace, number: signal.Signals) -> None:
        """Send a signal to one box's process."""
        self.process_by_name[box.box_id].send_signal(number)

    def log(self, name: str) -> str:
        """Return what a process has logged."""
        return (self.folder / f"{name}.log").read_text()

    def apply(self, path: Path, box: BoxPlace | None = None, **headers: str) -> dict[str, Any]:
        """Put a file in force through a box and return its report."""
        box = box or self.boxes[0]
        url = f"{self._scheme}://{box.operators}/v1/apply"
        response = self.http.post(url, content=path.read_bytes(), headers=headers, timeout=30.0)
        return dict(response.json())

    def show(self, box: BoxPlace) -> dict[str, Any]:
        """Return what a box shows to operators."""
        return dict(self.http.get(f"{self._scheme}://{box.operators}/v1/show").json())

    def query(
        self, box: BoxPlace, key: str, service: str, text: str = "", **extra: Any
    ) -> httpx.Response:
        """Ask a service through a box."""
        body = {"service": service, "query": text, **extra}
        return self.call(box, key, "/v1/query", body)

    def call(self, box: BoxPlace, key: str, path: str, body: dict[str, Any]) -> httpx.Response:
        """Call a box's callers' interface."""
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        return self.http.post(f"{self._scheme}://{box.callers}{path}", json=body, headers=headers)

    def control(self, address: str, **faults: Any) -> None:
        """Switch a stand-in's faults."""
        self.http.post(f"http://{address}/control", json=faults).raise_for_status()

    def counts(self, address: str) -> dict[str, Any]:
        """Return what a stand-in has counted."""
        return dict(self.http.get(f"http://{address}/counts").json())

    def members_seen(self, box: BoxPlace) -> int:
        """Return how many boxes a box sees, 0 when it does not answer."""
        try:
            text = self.http.get(f"{self._scheme}://{box.operators}/metrics").text
        except httpx.HTTPError:
            return 0
        lines = (line for line in text.splitlines() if line.startswith("trackwheel_boxes"))
        return int(float(next(lines, "trackwheel_boxes 0").rsplit(" ", 1)[1]))

    def _all_see_all(self) -> bool:
        for name, process in self.process_by_name.items():
            if process.poll() is not None:
                raise RuntimeError(f"{name} has ended:\n{self.log(name)}")
        return all(self.members_seen(box) == len(self.boxes) for box in self.boxes)

    def _spawn(self, name: str, arguments: list[str]) -> None:
        log = (self.folder / f"{name}.log").open("ab")
        environment = {**os.environ, "PYTHONPATH": str(Path(__file__).resolve().parent.parent)}
        with log:
            self.process_by_name[name] = subprocess.Popen(
                [sys.executable, *arguments], stdout=log, stderr=log, env=environment
            )

    def _settings(self, box: BoxPlace) -> str:
        tls = ""
        if self.authority is not None:
            shown = (
                f"certificate = {self.folder / box.box_id}.pem\n"
                f"private_key = {self.folder / box.box_id}.key\n"
            )
            trusted = f"authority = {self.authority.path}\n"
            tls = f"[tls]\n{trusted}{shown}"
            if self._https:
                tls += f"[callers_tls]\n{shown}[operators_tls]\n{trusted}{shown}"
        return (
            f"[box]\nid = {box.box_id}\nregion = {box.region}\n"
            f"failure_domain = {box.failure_domain}\n"
            f"[listen]\ncallers = {box.callers}\npeers = {box.peers}\n"
            f"operators = {box.operators}\n"
            f"[platform]\nkey_value = http://{self.key_value}\n"
            f"box_list = http://{self.box_list}\n"
            f"{tls}{self._fleet_settings}"
        )
