"""Memory of a box on the platform by cause, and the processor time of its start."""

import os
import subprocess
import sys
import sysconfig
import tempfile
import time
from collections.abc import Callable
from http import HTTPStatus
from pathlib import Path
from typing import Final, NamedTuple

from bench.processes import anonymous_bytes, cpu_seconds
from bench.report import Report
from standins.entry_fleet import EntryFleet

ROOT: Final = Path(__file__).resolve().parent.parent
MIB: Final = 1 << 20
SHARDS: Final = 225
TARGETS_EACH: Final = 3
QUERIES: Final = 40
SETTLE_S: Final = 3.0
STARTS: Final = 5
STEPS: Final = (
    "typing",
    "asyncio",
    "uvloop",
    "anyio",
    "anyio._backends._asyncio",
    "msgspec",
    "cbor2",
    "xxhash",
    "httptools",
    "returns.result",
    "trackwheel.peers.hub",
    "trackwheel.entry.run",
)
"""Modules of the entry's path, each imported after the ones before it."""
POLL_S: Final = 0.005
DEFER: Final = "from trackwheel.entry.deferred_modules import defer_modules; defer_modules()"
IMPORT_PROBE: Final = f"""\
import sys

def anonymous_kib():
    with open("/proc/self/smaps_rollup") as rollup:
        return next(int(line.split()[1]) for line in rollup if line.startswith("Anonymous:"))

print("interpreter", anonymous_kib(), len(sys.modules))
{DEFER}
for name in sys.argv[1:]:
    __import__(name)
    print(name, anonymous_kib(), len(sys.modules))
"""


class Step(NamedTuple):
    """Hold what a process held after a step."""

    name: str
    anonymous_bytes: int
    modules: int


class StartStep(NamedTuple):
    """Hold when a box reached a step, from its start on, and its processor time until then."""

    name: str
    at_s: float
    cpu_s: float


def _run_bare(code: str, *arguments: str) -> str:
    """Run code as the platform runs a box: without `site`, with compiled modules."""
    packages = sysconfig.get_path("purelib")
    env = {**os.environ, "PYTHONPATH": f"{packages}:{ROOT}"}
    env.pop("PYTHONDONTWRITEBYTECODE", None)
    command = [sys.executable, "-S", "-c", code, *arguments]
    return subprocess.run(command, env=env, check=True, capture_output=True, text=True).stdout


def import_steps() -> list[Step]:
    """Return what a process holds after each import."""
    _run_bare(IMPORT_PROBE, *STEPS)  # Compiles the modules.
    lines = [line.split() for line in _run_bare(IMPORT_PROBE, *STEPS).splitlines()]
    return [Step(name, int(kib) * 1024, int(modules)) for name, kib, modules in lines]


def import_cpu_s(starts: int) -> float:
    """Return the lowest processor time of the imports, over several starts."""
    code = f"{DEFER}; import time, trackwheel.entry.run, uvloop, anyio._backends._asyncio"
    code += "; print(time.process_time())"
    return min(float(_run_bare(code)) for _ in range(starts))


def start_steps() -> list[StartStep]:
    """Return the steps of a start in a calm fleet with a full directory."""
    with (
        tempfile.TemporaryDirectory(prefix="trackwheel-bench-") as folder,
        EntryFleet(["a"], Path(folder)) as fleet,
    ):
        (box,) = fleet.boxes
        for number in range(SHARDS * TARGETS_EACH):
            fleet.add_entry(f"i-{number}", f"shard-{number % SHARDS}")
        fleet.add_target("lookup-a", "lookup")
        fleet.configure([{"name": "l", "path_prefix": "/l/", "service": "lookup"}])
        check_by_step: dict[str, Callable[[], bool]] = {
            "listens": lambda: "started" in fleet.log(box),
            "ready": lambda: fleet.ready(box),
            "first answer": lambda: fleet.ask(box, "/l/1").status_code == HTTPStatus.OK,
        }
        started = time.monotonic()
        fleet.start(box)
        steps: list[StartStep] = []
        for name, reached in check_by_step.items():
            while not reached():
                time.sleep(POLL_S)
            at_s, cpu_s = time.monotonic() - started, cpu_seconds(fleet.pid(box))
            steps.append(StartStep(name, at_s, cpu_s))
    return steps


def running_steps() -> list[Step]:
    """Return what a box holds at the start, with a directory, and after queries."""
    with (
        tempfile.TemporaryDirectory(prefix="trackwheel-bench-") as folder,
        EntryFleet(["a", "a"], Path(folder)) as fleet,
    ):
        box, peer = fleet.boxes
        shards = [f"shard-{number}" for number in range(SHARDS)]
        fleet.configure([{"name": "q", "path_prefix": "/q/", "service": "lookup"}])
        fleet.add_target("lookup-a", "lookup")
        steps: list[Step] = []

        def note(name: str) -> None:
            time.sleep(SETTLE_S)
            steps.append(Step(name, anonymous_bytes(fleet.pid(box)), 0))

        fleet.start(box)
        fleet.wait_ready(box)
        note("ready, one target")
        for shard in shards:
            fleet.add_target(f"{shard}-0", shard)
            for number in range(1, TARGETS_EACH):
                fleet.add_entry(f"{shard}-{number}", shard)
        query = {
            "name": "q",
            "path_prefix": "/q/",
            "fanout_services": shards,
            "top_k": 5,
            "min_coverage": 0.8,
        }
        fleet.configure([query])
        note(f"directory of {SHARDS * TARGETS_EACH} targets in {SHARDS} services")
        fleet.start(peer)
        fleet.wait_ready(peer)
        note("a peer")
        for number in range(QUERIES):
            fleet.ask(box, f"/q/{number}")
        note(f"{QUERIES} queries over all services")
    return steps


def measure(long: bool) -> Report:
    """Measure imports and a running box."""
    starts = STARTS * (3 if long else 1)
    imported, running, cpu_s = import_steps(), running_steps(), import_cpu_s(starts)
    rows: list[tuple[str, str]] = []
    held = 0
    for step in (*imported, *running):
        rows.append((step.name, f"+{(step.anonymous_bytes - held) / MIB:.2f} MiB"))
        held = step.anonymous_bytes
    rows.append(("held in the end", f"{held / MIB:.1f} MiB"))
    rows.append(("processor time of the imports", f"{cpu_s * 1000:.0f} ms"))
    starting = start_steps()
    for start in starting:
        text = f"{start.at_s * 1000:.0f} ms, {start.cpu_s * 1000:.0f} ms of processor time"
        rows.append((f"start: {start.name}", text))
    figures = {
        "interpreter_mib": imported[0].anonymous_bytes / MIB,
        "imported_mib": imported[-1].anonymous_bytes / MIB,
        "modules": float(imported[-1].modules),
        "running_mib": running[-1].anonymous_bytes / MIB,
        "import_cpu_ms": cpu_s * 1000,
        "first_answer_cpu_ms": starting[-1].cpu_s * 1000,
    }
    samples = {"starts": starts, "queries": QUERIES}
    return Report("memory", 0, "the interpreter alone", figures, samples, rows, [])
