"""Mixed load with faults injected by seed; every answer checked, memory watched."""

import asyncio
import random
import signal
import time
from collections import Counter
from typing import Any

from bench.fit import fit
from bench.load import Callers, Results, open_stream
from bench.once import OnceReport, run_once_stream
from bench.processes import resident_bytes
from bench.report import Report, Series
from bench.setting import SERVICE, small_setting
from standins.file_maker import ServiceShape
from standins.fleet import SmallFleet

SEED = 11
INSTANCES = 8
RATE = 30.0
ONCE_RATE = 20.0
SECONDS = 36.0
LONG_SECONDS = 600.0
FAULT_PERIOD_S = 0.8
SOUND: dict[str, Any] = {
    "service_s": 0.004,
    "shed": False,
    "draining": False,
    "lie_healthy": False,
    "half_answer": False,
    "wrong_nonce": False,
    "hang": False,
    "reply_lost": False,
}
TARGET_FAULTS: tuple[dict[str, Any], ...] = (
    {"service_s": 0.2},
    {"shed": True},
    {"half_answer": True},
    {"wrong_nonce": True},
    {"hang": True},
    {"reply_lost": True},
    {"draining": True},
    {"draining": True, "lie_healthy": True},
)
STORE_FAULTS: tuple[dict[str, Any], ...] = (
    {"down": True},
    {"slow_s": 0.5},
    {"lose_replies": 2},
)


class _Disturber:
    """Inject one fault at a time into targets, store and boxes, and mend it again."""

    def __init__(self, fleet: SmallFleet, targets: list[list[str]], seconds: float) -> None:
        self._fleet = fleet
        self._targets = targets
        self._end = time.monotonic() + seconds
        self._random = random.Random(SEED)
        self._version = 1
        self.counts: Counter[str] = Counter()

    async def run(self) -> None:
        """Disturb until the time is up."""
        kinds = (self._target, self._target, self._store, self._freeze, self._kill, self._flip)
        while time.monotonic() < self._end - 4 * FAULT_PERIOD_S:
            await asyncio.sleep(FAULT_PERIOD_S)
            await self._random.choice(kinds)()

    async def _control(self, address: str, **faults: Any) -> None:
        await asyncio.to_thread(self._fleet.control, address, **faults)

    async def _target(self) -> None:
        fault = self._random.choice(TARGET_FAULTS)
        address = self._random.choice(self._random.choice(self._targets))
        self.counts["target:" + ",".join(fault)] += 1
        await self._control(address, **fault)
        await asyncio.sleep(FAULT_PERIOD_S)
        await self._control(address, new_boot=True, **SOUND)

    async def _store(self) -> None:
        fault = self._random.choice(STORE_FAULTS)
        self.counts["store:" + ",".join(fault)] += 1
        await self._control(self._fleet.key_value, **fault)
        await asyncio.sleep(FAULT_PERIOD_S)
        await self._control(self._fleet.key_value, down=False, slow_s=0.0, lose_replies=0)

    async def _freeze(self) -> None:
        box = self._fleet.boxes[-1]
        self.counts["box:freeze"] += 1
        self._fleet.signal_box(box, signal.SIGSTOP)
        await asyncio.sleep(self._random.choice([0.3, 1.0, 2.5]))
        self._fleet.signal_box(box, signal.SIGCONT)

    async def _kill(self) -> None:
        box = self._fleet.boxes[-1]
        self.counts["box:kill"] += 1
        self._fleet.signal_box(box, signal.SIGKILL)
        await asyncio.sleep(FAULT_PERIOD_S)
        self._fleet.start_box(box)
        await asyncio.sleep(2.0)

    async def _flip(self) -> None:
        self.counts["targets:flip"] += 1
        self._version += 1
        for instance, replicas in enumerate(self._targets):
            for address in replicas:
                shards = {
                    str(self._version): {
                        "map_size": INSTANCES,
                        "shards": {
                            str(instance): [
                                f"{self._version}|{SERVICE}-{instance}-{n}" for n in range(3)
                            ]
                        },
                    }
                }
                await self._control(address, shards=shards)


def measure(long: bool) -> Report:
    """Run reads and once-only requests while faults come by seed."""
    seconds = LONG_SECONDS if long else SECONDS
    service = ServiceShape(SERVICE, INSTANCES, 2, slots=4, deadline="400ms", wait="400ms")
    results, once = Results(), OnceReport()
    memory: list[tuple[float, float]] = []
    with small_setting(4, service) as (fleet, targets):
        disturber = _Disturber(fleet, targets, seconds)

        async def watch_memory() -> None:
            pids = [fleet.process_by_name[box.box_id].pid for box in fleet.boxes[:3]]
            started = time.monotonic()
            while time.monotonic() - started < seconds:
                held = sum(map(resident_bytes, pids)) / 3
                memory.append((time.monotonic() - started, held / 1e6))
                await asyncio.sleep(1.0)

        async def main() -> None:
            # The last box is frozen and killed; callers of reads go to the others.
            callers = Callers([box.callers for box in fleet.boxes[:3]])
            every = Callers([box.callers for box in fleet.boxes])
            await asyncio.gather(
                open_stream(lambda: callers.query("clerks", SERVICE, results), RATE, seconds),
                run_once_stream(every, SERVICE, int(ONCE_RATE * seconds), ONCE_RATE, once),
                disturber.run(),
                watch_memory(),
            )
            await callers.close()
            await every.close()

        asyncio.run(main())
        for replicas in targets:
            for address in replicas:
                once.count_runs(fleet.counts(address))
    late = memory[len(memory) // 3 :]
    slope = fit([at / 60 for at, _ in late], [held for _, held in late]).slope
    broken = len(results.broken) + len(once.twice()) + len(once.lies())
    share = results.answered / (RATE * seconds)
    rows = [
        ("faults injected", ", ".join(f"{k} {n}" for k, n in sorted(disturber.counts.items()))),
        (
            "reads answered / refused / cut off",
            f"{results.answered} / {sum(results.codes.values())} / {len(results.cut_off)}",
        ),
        (
            "read p50 / p99",
            f"{results.percentile(0.5) * 1000:.0f} / {results.percentile(0.99) * 1000:.0f} ms",
        ),
        ("untrue answers", str(results.broken[:3])),
        (
            "once: ids / run twice / lies",
            f"{len(once.told_by_id)} / {len(once.twice())} / {len(once.lies())}",
        ),
        (
            "once: done / not run / unknown",
            " / ".join(f"{once.share_told(w):.1%}" for w in ("done", "not_run", "unknown")),
        ),
        ("memory of a box, slope", f"{memory[-1][1]:.0f} MB, {slope:+.2f} MB a minute"),
    ]
    return Report(
        "soak",
        SEED,
        "no broken promise, flat memory",
        {
            "answers": float(results.answered),
            "answered_share": share,
            "broken_promises": float(broken),
            "cut_off": float(len(results.cut_off)),
            "once_unknown_share": once.share_told("unknown"),
            "memory_slope_mb_per_min": slope,
        },
        {"faults": sum(disturber.counts.values()), "once": len(once.told_by_id)},
        rows,
        [Series("MB a box", [at for at, _ in memory], [held for _, held in memory])],
        "seconds",
        "MB",
    )
