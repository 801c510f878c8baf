"""Boxes behind proxies, the faults that come over them, and when which one was disturbed."""

import asyncio
import signal
import time
from functools import partial
from pathlib import Path
from typing import NamedTuple

from soak.const import (
    ENDLESS_TARGETS,
    GRACE_S,
    GROUP_BY_KEY,
    LEAST_COVERAGE,
    SHARDS,
    TAKEN_KEY,
    TOP_K,
    WRITTEN_AGAIN_S,
)
from soak.plan import OF_LINK, Fault, Kind
from soak.proxy import Proxy
from standins.endless_server import FORM_BY_NAME
from standins.entry_fleet import EntryFleet, EntryPlace
from standins.shard_target import ShardTarget

QUERY = {
    "name": "q",
    "path_prefix": "/q/",
    "fanout_services": list(SHARDS),
    "top_k": TOP_K,
    "min_coverage": LEAST_COVERAGE,
}
LOOKUP = {"name": "l", "path_prefix": "/l/", "service": "lookup"}
ONCE = {"name": "o", "path_prefix": "/o/", "service": "lookup", "kind": "unsafe"}
BOX_TROUBLE = (Kind.BOX_KILL, Kind.BOX_FREEZE)
SLOW_TARGET_S = 0.6
LINK_DELAY_S = 0.15


class Span(NamedTuple):
    """Say when a subject was disturbed (monotonic seconds)."""

    kind: Kind
    subject: str
    begin: float
    end: float


class SoakFleet(EntryFleet):
    """Start boxes, targets and a store, and disturb them as a plan says."""

    def __init__(self, zones: list[str], folder: Path) -> None:
        super().__init__(zones, folder)
        self.proxy_by_name: dict[str, Proxy] = {}
        self.spans: list[Span] = []
        self.left_at_by_instance: dict[str, float] = {}
        self.removed: set[str] = set()
        self.put_at_by_version: dict[int, float] = {}
        self.key_taken_at = float("inf")
        self._busy: set[str] = set()

    def reach(self, name: str, address: str) -> str:
        """Put a proxy before a store or a target."""
        proxy = Proxy(address)
        self.call(proxy.start())
        self.proxy_by_name[name] = proxy
        return proxy.address

    def set_up(self) -> None:
        """Start the targets and the boxes."""
        for number, shard in enumerate(SHARDS):
            self.add_target(f"{shard}-west", shard, "b")
            self.add_target(f"{shard}-east", shard, "a" if number < 4 else "b")
        for number in range(3):
            self.add_target(f"lookup-{number}", "lookup", "ab"[number % 2])
        self.change_routes()
        self.start_all()

    def let_end(self, part: str) -> None:
        """Let every target end under requests with a part of a path, and come back at once."""
        for target in self.target_by_instance.values():
            target.ends_under = part
            target.comes_back = partial(self._write_again, target)

    def _write_again(self, target: ShardTarget) -> None:
        """Let a target that is back write its entry, unless it is leaving."""
        if target.instance not in self.left_at_by_instance:
            entry = target.entry(zone=self._zone_by_instance[target.instance])
            self.store.put(f"servers/{target.instance}", entry)

    def change_routes(self) -> None:
        """Put a configuration in force whose version a path tells."""
        probe = {**LOOKUP, "name": "v", "path_prefix": f"/v{self.version + 1}/"}
        keys_by_group = {group: [key] for key, group in GROUP_BY_KEY.items()}
        if self.key_taken_at == float("inf"):
            keys_by_group["clerks"].append(TAKEN_KEY)
        groups = [{"name": name, "api_keys": keys} for name, keys in keys_by_group.items()]
        self.configure([QUERY, LOOKUP, ONCE, probe], groups=groups)
        self.put_at_by_version[self.version] = time.monotonic()

    def take_key_away(self) -> None:
        """Put a configuration in force that lacks one client's key."""
        self.key_taken_at = time.monotonic()
        self.change_routes()

    def disturbed(self, begin: float, end: float, *kinds: Kind, subject: str = "") -> bool:
        """Return whether one of some kinds of fault fell into a time."""
        return any(
            span.kind in kinds
            and subject in ("", span.subject)
            and span.begin <= end
            and span.end >= begin
            for span in self.spans
        )

    async def run(self, faults: list[Fault]) -> None:
        """Bring the faults at their times, and mend each one."""
        started = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            for fault in faults:
                await asyncio.sleep(max(0.0, started + fault.at - time.monotonic()))
                tasks.create_task(self._disturb(fault))

    async def _disturb(self, fault: Fault) -> None:
        subject = fault.subject or fault.kind
        if subject in self._busy:
            return
        self._busy.add(subject)
        span = Span(fault.kind, fault.subject, time.monotonic(), float("inf"))
        self.spans.append(span)
        try:
            await self._carry_out(fault)
        finally:
            self.spans[self.spans.index(span)] = span._replace(end=time.monotonic())
            self._busy.discard(subject)

    async def _carry_out(self, fault: Fault) -> None:
        if fault.kind.startswith("box"):
            await self._disturb_box(fault)
        elif fault.kind.startswith("store"):
            await self._disturb_store(fault)
        elif fault.kind in OF_LINK:
            await self._disturb_link(fault)
        elif fault.kind is Kind.TARGET_LEAVES:
            await self._let_leave(fault.subject)
        elif fault.kind is Kind.ROUTES:
            self.change_routes()
        elif fault.kind is Kind.STOP_MANY:
            await self._stop_many(fault)
        elif fault.kind is Kind.TARGETS_ENDLESS:
            await self._let_answer_without_end(fault)
        else:
            await self._disturb_target(fault)

    async def _disturb_box(self, fault: Fault) -> None:
        place = next(place for place in self.boxes if place.name == fault.subject)
        if fault.kind is Kind.BOX_RELOAD:
            self.signal(place, signal.SIGHUP)
        elif fault.kind is Kind.BOX_FREEZE:
            self.signal(place, signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
            self.signal(place, signal.SIGCONT)
        else:
            stops = fault.kind is Kind.BOX_STOP
            self.signal(place, signal.SIGTERM if stops else signal.SIGKILL)
            await asyncio.to_thread(self.wait_exit, place, GRACE_S + 1.0)
            await asyncio.sleep(fault.for_s)
            await self._restart(place)

    async def _stop_many(self, fault: Fault) -> None:
        """Stop more than half of the boxes at once: all then get new connections to their end."""
        names = [place.name for place in self.boxes][: len(self.boxes) // 2 + 1]
        stops = [fault._replace(kind=Kind.BOX_STOP, subject=name) for name in names]
        await asyncio.gather(*map(self._disturb, stops))

    async def _restart(self, place: EntryPlace) -> None:
        self.start(place)
        await asyncio.to_thread(self.wait_ready, place)

    async def _set_store_back(self, lost_s: float) -> None:
        """Let the store lose what was written for a while; all but the boxes write it again."""
        earlier = await asyncio.to_thread(self.copy_store)
        await asyncio.sleep(lost_s)
        await asyncio.to_thread(self.set_store_back, earlier)
        await asyncio.sleep(WRITTEN_AGAIN_S)
        await asyncio.to_thread(self._write_all_again)

    def _write_all_again(self) -> None:
        """Write the configuration, and what each target wrote last, or that it is gone."""
        self.put("op/config", self.content)
        for instance in self.target_by_instance:
            if instance in self.removed:
                self.remove(f"servers/{instance}")
                continue
            state = "draining" if instance in self.left_at_by_instance else "ready"
            self.write_entry(instance, state)

    async def _disturb_store(self, fault: Fault) -> None:
        if fault.kind is Kind.STORE_SET_BACK:
            await self._set_store_back(fault.for_s)
            return
        if fault.kind is Kind.STORE_FORGETS:
            self.store.forget_history()
            return
        name = "down" if fault.kind is Kind.STORE_DOWN else "mute"
        setattr(self.store, name, True)
        await asyncio.sleep(fault.for_s)
        setattr(self.store, name, False)

    async def _disturb_link(self, fault: Fault) -> None:
        proxy = self.proxy_by_name[fault.subject]
        match fault.kind:
            case Kind.LINK_RESET:
                self._loop.call_soon_threadsafe(proxy.reset)
            case Kind.LINK_DELAY:
                proxy.delay_s = LINK_DELAY_S
            case _:
                one_way = fault.kind is Kind.LINK_ONE_WAY
                self._loop.call_soon_threadsafe(proxy.silence, one_way)
        await asyncio.sleep(fault.for_s)
        self._loop.call_soon_threadsafe(proxy.mend)

    async def _disturb_target(self, fault: Fault) -> None:
        target = self.target_by_instance[fault.subject]
        if fault.kind is Kind.TARGET_SLOW:
            target.delay_s = SLOW_TARGET_S
        else:
            names = {
                Kind.TARGET_SHEDS: "shed",
                Kind.TARGET_FAILS: "error",
                Kind.TARGET_RESETS: "reset",
            }
            target.fault = names[fault.kind]
        await asyncio.sleep(fault.for_s)
        target.delay_s, target.fault = 0.0, ""

    async def _let_answer_without_end(self, fault: Fault) -> None:
        """Let several targets, each of another shard, answer without end in various forms."""
        targets = [self.target_by_instance[f"{s}-west"] for s in SHARDS[:ENDLESS_TARGETS]]
        forms = [*FORM_BY_NAME]
        for number, target in enumerate(targets):
            target.fault = forms[int(fault.at * 1000 + number * 7) % len(forms)]
        await asyncio.sleep(fault.for_s)
        for target in targets:
            target.fault = ""

    async def _let_leave(self, instance: str) -> None:
        """Let a target say that it leaves, serve on for a while, and go from the store."""
        if instance in self.left_at_by_instance:
            return
        await asyncio.to_thread(self.write_entry, instance, "draining")
        self.left_at_by_instance[instance] = time.monotonic()
        await asyncio.sleep(GRACE_S)
        self.removed.add(instance)
        await asyncio.to_thread(self.remove, f"servers/{instance}")
