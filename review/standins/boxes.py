"""Starts the project's boxes with the commands of the deploy file, and stands in for the entry."""

import asyncio
import os
import shutil
import signal
import socket
import subprocess
import tomllib
from pathlib import Path

from review.standins.http import Answer, Request, call

ROOT = Path(__file__).resolve().parents[2]
CHECK_PERIOD_S = 1.0
MISSES = 2

SETTINGS = """\
node_name={name}
role=entry
machine_class=front
serves=front,control
ip={ip}
zone={zone}
region={region}
zones.halle-muc=oberbayern
zones.halle-nue=franken
zones.halle-aug=schwaben
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
DRAIN_S = 3.0
GRACE_S = 6.0


class CannotRunError(Exception):
    """The case cannot be run here."""


class Box:
    """One box: a process, and the addresses at which it listens."""

    def __init__(self, name: str, zone: str, region: str, ip: str) -> None:
        self.name, self.zone, self.region, self.ip = name, zone, region, ip
        self.front, self.readiness, self.control, self.metrics = _free_ports(ip, 4)
        self.process: subprocess.Popen[bytes] | None = None
        self._misses = MISSES

    @property
    def runs(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.poll() is None

    @property
    def taken_in(self) -> bool:
        """Return whether the platform hands new connections to this box."""
        return self._misses < MISSES

    async def is_ready(self) -> bool:
        """Ask the box whether it is ready."""
        request = Request("GET", "/ready", {"host": self.name}, b"")
        answer = await call(self.ip, self.readiness, request, CHECK_PERIOD_S)
        return isinstance(answer, Answer) and answer.status == 200

    async def check(self) -> None:
        """Ask once a second; two misses in a row take the box out."""
        while True:
            began = asyncio.get_running_loop().time()
            self._misses = 0 if await self.is_ready() else self._misses + 1
            await asyncio.sleep(began + CHECK_PERIOD_S - asyncio.get_running_loop().time())


class Platform:
    """Starts and stops boxes, and chooses the box of each new connection."""

    def __init__(self, places: list[tuple[str, str, str]], store: str, folder: Path) -> None:
        self.boxes = [
            Box(name, zone, region, f"127.0.0.{number + 2}")
            for number, (name, zone, region) in enumerate(places)
        ]
        self._folder = folder
        self._checks: list[asyncio.Task[None]] = []
        seeds = ",".join(f"{box.ip}:{box.control}" for box in self.boxes[:3])
        for box in self.boxes:
            text = SETTINGS.format(seeds=seeds, store=store, **vars(box))
            (folder / f"{box.name}.conf").write_text(text)

    async def start(self) -> None:
        """Start all boxes and wait until they are ready and taken in."""
        if not (ROOT / "target/deps").is_dir():
            raise CannotRunError(
                "target/deps is missing: run the build command of deploy/system.toml"
            )
        for box in self.boxes:
            self.start_box(box)
        self._checks = [asyncio.create_task(box.check()) for box in self.boxes]
        try:
            async with asyncio.timeout(20.0):
                while not all(box.taken_in for box in self.boxes):
                    await asyncio.sleep(0.1)
        except TimeoutError:
            raise CannotRunError("the boxes did not become ready") from None

    def start_box(self, box: Box) -> None:
        """Start the process of a box, as the deploy file says."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        program, *arguments = role["run"].split()
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "TRACKWHEEL_CONFIG": str(self._folder / f"{box.name}.conf"),
            "TRACKWHEEL_METRICS_PORT": str(box.metrics),
        }
        with (self._folder / f"{box.name}.log").open("ab") as log:
            box.process = subprocess.Popen(
                [shutil.which(program) or program, *arguments],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def offered(self, zone: str) -> list[Box]:
        """Return the boxes of a zone to which new connections go.

        Those that are taken in, or all if fewer than half are.
        """
        boxes = [box for box in self.boxes if box.zone == zone]
        taken_in = [box for box in boxes if box.taken_in]
        return taken_in if 2 * len(taken_in) >= len(boxes) else boxes

    async def stop_box(self, box: Box) -> None:
        """Send SIGTERM, and SIGKILL after the grace time."""
        assert box.process is not None
        box.process.send_signal(signal.SIGTERM)
        end = asyncio.get_running_loop().time() + GRACE_S
        while box.runs and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.01)
        if box.runs:
            box.process.kill()

    def end(self) -> None:
        """End all processes."""
        for check in self._checks:
            check.cancel()
        for box in self.boxes:
            if box.process is not None:
                box.process.kill()
                box.process.wait()


def _free_ports(ip: str, count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for opened in sockets:
        opened.bind((ip, 0))
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports
