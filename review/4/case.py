"""Some answers of some back ends are error texts without end: are all requests answered in time?"""

import asyncio
import contextlib
import json
import random
import subprocess
import sys
import threading
import time
import uuid
from pathlib import Path
from typing import NamedTuple

FOLDER = Path(__file__).resolve().parent
STANDINS = FOLDER.parent / "standins-2"
sys.path.insert(0, str(STANDINS))

from harness import (  # noqa: E402
    HOST,
    ZONES,
    Box,
    CannotRunError,
    Case,
    Store,
    config,
    read_message,
    request_bytes,
    run,
)

SHARDS = [f"verteilplan-{number}" for number in range(20)]
REQUESTS_PER_S = 48.0
"""Over all boxes; half of them are lookups."""
TROUBLE_SHARE_X = 0.05
TROUBLE_S = 5.0
PAUSE_S = 4.0
PERIODS = 3
CONTACT_S = 4.0
SETTLE_S = 4.0
LATE_S = 0.5
MIN_LATE = 8


class Kind(NamedTuple):
    """One kind of request (milliseconds)."""

    path: str
    method: str
    deadline_ms: int
    timeout_ms: int


SWEEP = Kind("/sweep/", "GET", 2000, 1000)
LOOKUP = Kind("/pallet/", "POST", 3000, 500)
ROUTES: list[dict[str, object]] = [
    {
        "name": "stock-sweep",
        "host": HOST,
        "path_prefix": SWEEP.path,
        "kind": "safe",
        "timeout_ms": SWEEP.timeout_ms,
        "target_latency_ms": 233,
        "priority": 1,
        "max_attempts": 2,
        "fanout_services": SHARDS,
        "top_k": 50,
        "min_coverage": 0.89,
    },
    {
        "name": "pallet-lookup",
        "host": HOST,
        "path_prefix": LOOKUP.path,
        "kind": "unsafe",
        "timeout_ms": LOOKUP.timeout_ms,
        "target_latency_ms": 200,
        "priority": 2,
        "max_attempts": 2,
        "service": "etikett",
    },
]


class Ended(NamedTuple):
    """How one request ended (monotonic seconds)."""

    attempt: str
    kind: Kind
    box: str
    sent_at: float
    took_s: float
    end: str


class Platform:
    """Asks each box once a second whether it is ready, and picks boxes for clients."""

    def __init__(self, case: Case, boxes: list[Box]) -> None:
        self._case = case
        self._boxes = boxes
        self._misses = dict.fromkeys((box.name for box in boxes), 0)

    def pick(self, number: int) -> Box:
        """Return the box of a client's zone, or of another zone if it missed twice."""
        order = [self._boxes[(number + step) % len(self._boxes)] for step in range(3)]
        return next((box for box in order if self._misses[box.name] < 2), order[0])

    async def ask(self, box: Box) -> None:
        """Ask one box until cancelled."""
        while True:
            asked_at = time.monotonic()
            ready = await box.is_ready()
            self._misses[box.name] = 0 if ready else self._misses[box.name] + 1
            if not ready:
                self._case.note(f"{box.name} missed a question whether it is ready")
            await asyncio.sleep(max(0.0, 1.0 - (time.monotonic() - asked_at)))


class Backends:
    """The back ends: sound ones in one process, those with the trouble in another one."""

    def __init__(self, case: Case) -> None:
        muc, nue, aug = ZONES
        self.flag = case.folder / "trouble"
        self.first_run_at: dict[str, float] = {}
        """When each request first ran at a back end (monotonic seconds)."""
        self.endless: list[str] = []
        half = len(SHARDS) // 2
        sound = {**dict.fromkeys(SHARDS[half:], [muc, nue]), "etikett": [muc, aug]}
        faulty = {**dict.fromkeys(SHARDS[:half], [muc, nue]), "etikett": [nue]}
        self._processes = [
            BackendProcess(case, self, "sound", sound, 0.0),
            BackendProcess(case, self, "faulty", faulty, TROUBLE_SHARE_X),
        ]

    async def write_entries(self, store: Store) -> None:
        """Write the entries of the back ends at each heartbeat."""
        sequence = 0
        while True:
            sequence += 1
            for entry in [entry for process in self._processes for entry in process.entries]:
                fields = {
                    "service": entry["service"],
                    "address": entry["address"],
                    "zone": entry["zone"],
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "warmup_left_ms": 0,
                    "sequence": sequence,
                }
                store.put(f"servers/{entry['id']}", fields)
            await asyncio.sleep(1.2)

    def end(self) -> None:
        """End the processes."""
        for process in self._processes:
            process.end()


class BackendProcess:
    """Some back ends in a process of their own."""

    def __init__(
        self, case: Case, backends: Backends, name: str, services: dict[str, list[str]], x: float
    ) -> None:
        self._case = case
        self._backends = backends
        spec = {
            "name": name,
            "ip": case.new_ip(),
            "services": services,
            "work_s": 0.02,
            "records": 60,
            "x": x,
            "seed": random.random(),
            "trouble": str(backends.flag),
        }
        self._process = subprocess.Popen(
            [sys.executable, str(STANDINS / "backends.py"), json.dumps(spec)],
            stdout=subprocess.PIPE,
        )
        assert self._process.stdout is not None
        self.entries = json.loads(self._process.stdout.readline())
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        assert self._process.stdout is not None
        for line in self._process.stdout:
            word, instance, attempt = line.decode().split()
            self._backends.first_run_at.setdefault(attempt, time.monotonic())
            if word == "endless":
                self._backends.endless.append(attempt)
                self._case.note(f"{instance} answers {attempt} without end")

    def end(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.wait()


async def ask(box: Box, kind: Kind, number: int) -> Ended:
    """Send one request and wait for its answer until the client's deadline."""
    attempt, sent_at = uuid.uuid4().hex[:16], time.monotonic()
    end = "no answer at the deadline"
    with contextlib.suppress(TimeoutError):
        try:
            async with asyncio.timeout(kind.deadline_ms / 1000):
                reader, writer = await asyncio.open_connection(box.ip, box.front)
                path = f"{kind.path}{number % 64:x}"
                body = f"pallet {number}".encode() if kind.method == "POST" else b""
                writer.write(request_bytes(kind.method, path, attempt, kind.deadline_ms, {}, body))
                answer = await read_message(reader)
                writer.close()
                end = answer.first if answer is not None else "closed without an answer"
        except (OSError, asyncio.IncompleteReadError) as error:
            end = repr(error)
    return Ended(attempt, kind, box.name, sent_at, time.monotonic() - sent_at, end)


async def play(case: Case) -> bool:
    """Return whether too many requests have no answer half a second after their time-out."""
    store = Store(case)
    await store.start()
    backends = Backends(case)
    try:
        beats = asyncio.create_task(backends.write_entries(store))
        await asyncio.sleep(0.1)
        store.put("op/config", config(1, ROUTES, [*SHARDS, "etikett"]))
        boxes = [Box(case, f"box-{number}", zone) for number, zone in enumerate(ZONES)]
        for box in boxes:
            box.write_settings(store.address, [other.control_address for other in boxes])
            box.start()
        for box in boxes:
            await box.wait_ready()
        ended = await send_load(case, boxes, backends)
        if beats.done():
            raise CannotRunError("the entries of the back ends were not written")
    finally:
        backends.end()
    return judge(case, ended, backends)


async def send_load(case: Case, boxes: list[Box], backends: Backends) -> list[Ended]:
    """Send requests before, during and after the trouble; return how they ended."""
    platform = Platform(case, boxes)
    questions = [asyncio.create_task(platform.ask(box)) for box in boxes]
    first_at = time.monotonic() + CONTACT_S + 1.0
    period_s = TROUBLE_S + PAUSE_S
    end_at = first_at + PERIODS * period_s + SETTLE_S
    requests: list[asyncio.Task[Ended]] = []
    while (now := time.monotonic()) < end_at:
        periods, since_s = divmod(now - first_at, period_s)
        in_trouble = case.trouble and 0 <= periods < PERIODS and since_s < TROUBLE_S
        if in_trouble and not backends.flag.exists():
            backends.flag.touch()
            case.note("the trouble begins")
        if not in_trouble and backends.flag.exists():
            backends.flag.unlink()
            case.note("the trouble is over")
        number = len(requests)
        kind = LOOKUP if number // 3 % 2 else SWEEP
        requests.append(asyncio.create_task(ask(platform.pick(number), kind, number)))
        await asyncio.sleep(1.0 / REQUESTS_PER_S)
    ended = list(await asyncio.gather(*requests))
    for question in questions:
        question.cancel()
    return ended


def judge(case: Case, ended: list[Ended], backends: Backends) -> bool:
    """Apply the rule to the requests for which a client waits until it has an answer.

    The client of a request that may be repeated leaves if it is not read within a third of its
    time: such a request counts only if a back end ran it by then.
    """
    past, late = [], []
    for one in ended:
        timeout_s = one.kind.timeout_ms / 1000
        ran_at = backends.first_run_at.get(one.attempt)
        ran_s = "never" if ran_at is None else f"{ran_at - one.sent_at:.3f}"
        sent_s = one.sent_at - case.started
        case.note(
            f"{one.attempt} {one.kind.path} sent {sent_s:.3f} to {one.box}, first run after "
            f"{ran_s}, ended after {one.took_s:.3f}: {one.end}"
        )
        read = ran_at is not None and ran_at - one.sent_at < one.kind.deadline_ms / 3000
        waits = read or one.kind is LOOKUP
        if waits and one.took_s > timeout_s:
            past.append(one)
            if one.took_s > timeout_s + LATE_S:
                late.append(one)
    longest_s = max(one.took_s for one in ended)
    case.note(
        f"{len(ended)} requests, {len(backends.endless)} answers without end; longest "
        f"{longest_s:.2f} s; {len(past)} past their time-out, {len(late)} of these without an "
        f"answer {LATE_S} s later"
    )
    return len(late) >= MIN_LATE and len(late) > len(past) / 4


if __name__ == "__main__":
    sys.exit(run(FOLDER, play))
