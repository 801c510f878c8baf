"""Slopes of processor time, memory and bytes for each role, from which capacity is worked out."""

import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import msgspec

from bench.fit import Fit, cpu_of, fit
from bench.report import Report, Series
from bench.virtual_fleet import VirtualFleet
from trackwheel.dispatch.models import (
    DISPATCH_MESSAGES,
    Outcome,
    RequestEnded,
    Scatter,
    SendQuery,
    SubAnswer,
    SubRequest,
)
from trackwheel.dispatch.owner import Owner
from trackwheel.files.keeper import Keeper, digest_of
from trackwheel.files.models import (
    GroupSpec,
    InForce,
    Manifest,
    ManifestEntry,
    Policy,
    ServiceSpec,
    TargetSpec,
)
from trackwheel.fleet.members import MemberTable
from trackwheel.fleet.membership import Timing
from trackwheel.fleet.models import Member, Status
from trackwheel.fleet.ownership import OwnerMap
from trackwheel.fleet.service import FleetService
from trackwheel.garbage import tune_garbage_collection
from trackwheel.gateway.budget import RetryBudget
from trackwheel.gateway.gather import Gather
from trackwheel.gateway.models import QueryPlan, SendSubrequest, Snapshot, SubrequestResult
from trackwheel.gateway.target_selector import TargetSelector
from trackwheel.peers.codec import Codec
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.storage.clients import HttpBoxList
from trackwheel.targets.models import TargetAnswer
from trackwheel.tls import TlsContexts

FAN_OUTS = (10, 30, 100, 230)
BATCHES = (1, 4, 16, 64)
GROUP_COUNTS = (1, 10, 50, 200)
MEMBER_COUNTS = (100, 400, 1600, 3300)
TARGET_COUNTS = (24, 100, 400, 1600)
FILE_COUNTS = (10, 40, 160, 640)
FLEET_SIZES = (25, 50, 100, 200)
SERVICE_COUNTS = (20, 60, 120, 172)
OWNED_COUNTS = (5, 10, 20, 40)
FEW_SERVICES = 2
"""So few that what grows with the fleet shows, and not what each service costs."""
SERVICE_INSTANCES = 230
SETTLED_TIMING = Timing(probe_period_s=1.0, probe_timeout_s=0.5, suspicion_s=2.0)
CHURN_PER_S = 12_410 / 86_400
"""Failures and restarts a second at the size to design for."""

Points = dict[str, tuple[tuple[int, ...], list[float]]]
BODY = msgspec.json.encode(
    {
        "nonce": "0123456789ab-q1.1",
        "version": 1,
        "map_size": 230,
        "shards": {"7": ["a lot of apples", "a lot of pears", "a lot of plums"]},
        "end": True,
    }
)


def service_spec(instances: int, replicas: int = 2, regions: int = 1) -> ServiceSpec:
    """Return a service with many targets."""
    targets = tuple(
        tuple(
            TargetSpec(
                f"10.{n % 200}.{n // 200}.{r}:9000", f"r{n % regions}", f"r{n % regions}-{r}"
            )
            for r in range(replicas)
        )
        for n in range(instances)
    )
    return ServiceSpec("s", 2, 25, 0.006, 0.05, 0.99, Policy(1.0, 1.0, 1.0), targets)


def member(number: int) -> Member:
    """Return one member of a large fleet."""
    address = f"10.1.{number // 250}.{number % 250}:8200"
    region = f"r{number % 5}"
    domain = f"{region}-{number % 13}"
    return Member(address, f"box-{number}", f"{number:012x}", region, domain, 1, Status.ALIVE)


def gateway_query(fan_out: int) -> Callable[[], None]:
    """Return one whole query of the gather, with the answers' decoding."""
    targets = tuple((f"t{n}a", f"t{n}b") for n in range(fan_out))
    plan = QueryPlan("q", "s", "g", Policy(1.0, 1.0, 1.0), targets, 1)
    board, budget = TargetSelector(1), RetryBudget(0.05)

    def work() -> None:
        gather = Gather(plan, board, budget, 0.0)
        for command in gather.start(0.0):
            assert isinstance(command, SendSubrequest)
            msgspec.json.decode(BODY, type=TargetAnswer)
            items: dict[int, list[msgspec.Raw]] = {command.instance: []}
            event = SubrequestResult(
                command.nonce, Outcome.OK, Snapshot(1, fan_out), items, (), 0.0
            )
            gather.handle_result(event, 0.005)

    return work


def link_batch(size: int) -> Callable[[], None]:
    """Return encoding and decoding of a scatter with its answers in one frame each."""
    codec = Codec(DISPATCH_MESSAGES)
    asks = [SubRequest(n, f"10.0.0.{n}:9000", False) for n in range(size)]
    scatter = Scatter("0123456789ab-q1", "s", "g", 70.0, 1, "apples", asks)
    answers = [SubAnswer("0123456789ab-q1", n, Outcome.OK, BODY, [], 0, 4, 0) for n in range(size)]

    def work() -> None:
        codec.decode(codec.encode([scatter]), "peer")
        codec.decode(codec.encode(answers), "peer")

    return work


def owner_round(groups: int) -> Callable[[], None]:
    """Return one sub-request's way through an owner on which some groups wait."""
    spec = service_spec(1, 1)
    target = spec.targets_by_instance[0][0].address
    group_by_name = {f"g{n}": GroupSpec(f"g{n}", "", 1.0, ("s",)) for n in range(groups)}
    owner = Owner()
    owner.set_in_force(InForce(1, group_by_name, {}, {"s": spec}, {}))
    state = {"now": 0.0, "number": 0}
    running: list[Any] = []

    def take(commands: list[Any]) -> None:
        running.extend(c.work for c in commands if isinstance(c, SendQuery))

    def scatter(group: str) -> None:
        state["number"] += 1
        ask = [SubRequest(int(state["number"]), target, False)]
        message = Scatter("q", "s", group, 1e9, 1, "x", ask)
        take(owner.scatter("gateway", message, state["now"]))

    for number in range(groups):
        scatter(f"g{number}")
    take(owner.apply_health_page(target, True, "b", False, 0.0))

    def work() -> None:
        state["now"] += 0.005
        scatter(f"g{int(state['number']) % groups}")
        ended = RequestEnded(running.pop(0).key, Outcome.OK, 0.005, "b", False)
        take(owner.ended(ended, state["now"]))
        owner.tick(state["now"])

    return work


def memory_of(build: Callable[[], object]) -> float:
    """Return the bytes that a built object holds."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    held = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert held is not None
    return float(after - before)


def build_owner(targets: int) -> Owner:
    """Return an owner with a line for each of some targets."""
    spec = service_spec(targets, 1)
    owner = Owner()
    owner.set_in_force(InForce(1, {}, {}, {"s": spec}, {}))
    addresses = [instance[0].address for instance in spec.targets_by_instance]
    for number, address in enumerate(addresses):
        ask = SubRequest(number, address, False)
        owner.scatter("gateway", Scatter("q", "s", "g", 1e6, 1, "x", [ask]), 0.0)
        owner.apply_health_page(address, True, "b", False, 0.0)
    return owner


def build_table(count: int) -> MemberTable:
    """Return a table of members."""
    table = MemberTable()
    for number in range(count):
        table.merge(member(number))
    return table


def keeper_with(count: int) -> tuple[Keeper, Manifest, bytes]:
    """Return a keeper with some files in force, each with one service of 24 targets."""
    entries: dict[str, ManifestEntry] = {}
    contents: dict[str, bytes] = {}
    content = b""
    for number in range(count):
        lines = [f"[file]\nname = f{number}\n[service s{number}]\nslots = 2\nconnections = 25"]
        lines.append(f"deadline = 70ms\n[targets s{number}]")
        lines += [
            f"{i} = r/r-a/10.{number // 250}.{number % 250}.{i}:9000, "
            f"r/r-b/10.{number // 250}.{number % 250}.{i}:9001"
            for i in range(12)
        ]
        content = "\n".join(lines).encode()
        contents[digest_of(content)] = content
        entries[f"f{number}"] = ManifestEntry(
            number + 1, digest_of(content), f"{number:016x}", "op", "2026-12-02T14:00:00.000+00:00"
        )
    keeper = Keeper()
    keeper.add_contents(contents)
    manifest = Manifest(count, entries, tuple(f"{n:016x}" for n in range(128)))
    keeper.offer(manifest, None)
    return keeper, manifest, content


def files_change(count: int) -> Callable[[], None]:
    """Return one change of one file at a box with many files, all parsed before."""
    keeper, manifest, content = keeper_with(count)
    keeper.set_neighbours(["a", "b", "c"])
    state = {"revision": count}

    def work() -> None:
        state["revision"] += 1
        changed = content + f"\n# {state['revision']}\n".encode()
        keeper.add_contents({digest_of(changed): changed})
        entry = ManifestEntry(state["revision"], digest_of(changed), "x", "op", "now")
        name = f"f{count - 1}"
        entries = {**keeper.manifest.entry_by_name, name: entry}
        keeper.offer(Manifest(state["revision"], entries, ("x",)), "peer")

    return work


def fleet_costs(size: int, seconds: float = 20.0) -> tuple[float, float]:
    """Return bytes and processor time a second for each box under the day's churn."""
    fleet = VirtualFleet(size, timing=SETTLED_TIMING, meet=False)
    fleet.run(20.0)
    fleet.count_bytes = True
    started = fleet.now
    addresses = list(fleet.box_by_address)
    churn = int(CHURN_PER_S * seconds) + 1

    cpu = time.process_time()
    for number in range(churn):
        fleet.run(started + seconds * number / churn)
        address = addresses[number % size]
        fleet.start(address, number % size, tuple(addresses), boot=f"again{number}")
    fleet.run(started + seconds)
    cpu = time.process_time() - cpu
    return fleet.bytes_sent / seconds / size, cpu / seconds / size


def measure(long: bool) -> Report:
    """Measure each slope at four sizes or more."""
    tune_garbage_collection()
    points: Points = {
        "gateway_cpu_us_by_fan_out": (
            FAN_OUTS,
            [cpu_of(gateway_query(size)) * 1e6 for size in FAN_OUTS],
        ),
        "link_cpu_us_by_batch": (BATCHES, [cpu_of(link_batch(n)) * 1e6 for n in BATCHES]),
        "owner_cpu_us_by_groups": (
            GROUP_COUNTS,
            [cpu_of(owner_round(count)) * 1e6 for count in GROUP_COUNTS],
        ),
        "owner_memory_bytes_by_targets": (
            TARGET_COUNTS,
            [memory_of(lambda n=n: build_owner(n)) for n in TARGET_COUNTS],  # type: ignore[misc]
        ),
        "fleet_memory_bytes_by_members": (
            MEMBER_COUNTS,
            [memory_of(lambda n=n: build_table(n)) for n in MEMBER_COUNTS],  # type: ignore[misc]
        ),
        "fleet_view_cpu_us_by_members": (
            MEMBER_COUNTS,
            [cpu_of(view_change(count)) * 1e6 for count in MEMBER_COUNTS],
        ),
        "ownership_cpu_us_by_members": (
            MEMBER_COUNTS,
            [ownership_change_cpu(FEW_SERVICES, n) * 1e6 for n in MEMBER_COUNTS],
        ),
        "ownership_cpu_us_by_services": (
            SERVICE_COUNTS,
            [ownership_change_cpu(n, MEMBER_COUNTS[-1]) * 1e6 for n in SERVICE_COUNTS],
        ),
        "ownership_memory_bytes_by_services": (
            OWNED_COUNTS,
            [memory_of(lambda n=n: owners_of_services(n)) for n in OWNED_COUNTS],  # type: ignore[misc]
        ),
        "files_cpu_us_by_files": (
            FILE_COUNTS,
            [cpu_of(files_change(count)) * 1e6 for count in FILE_COUNTS],
        ),
        "files_memory_bytes_by_files": (
            FILE_COUNTS,
            [memory_of(lambda n=n: keeper_with(n)[0]) for n in FILE_COUNTS],  # type: ignore[misc]
        ),
    }
    costs = [fleet_costs(size) for size in FLEET_SIZES]
    points["fleet_bytes_per_s_by_members"] = (FLEET_SIZES, [cost[0] for cost in costs])
    points["fleet_cpu_us_per_s_by_members"] = (FLEET_SIZES, [cost[1] * 1e6 for cost in costs])
    fits = {name: fit(sizes, values) for name, (sizes, values) in points.items()}
    return _report(points, fits)


def owners_of_services(services: int) -> OwnerMap:
    """Return the owners of some services that are all asked for."""
    base = service_spec(SERVICE_INSTANCES, 2, 5)
    owner_map = OwnerMap()
    owner_map.set_members([member(number) for number in range(MEMBER_COUNTS[1])])
    for number in range(services):
        owner_map.owner(base._replace(name=f"s{number}"), "any")
    return owner_map


def ask_watcher(service: FleetService) -> None:
    """Ask what the files duty asks after each change of the fleet."""
    service.is_watcher()


def view_change(members: int) -> Callable[[], None]:
    """Return what a box's other duties do when one record of the fleet changed."""
    fleet = [member(number) for number in range(members)]
    own = fleet[0]
    identity = PeerIdentity(own.box_id, own.boot, own.address, own.region, own.failure_domain)
    hub = Hub(identity, Codec(()), TlsContexts(None))
    service = FleetService(hub, own, SETTLED_TIMING, HttpBoxList("http://127.0.0.1:1"), 0)
    service.on_members(lambda _: ask_watcher(service))
    state = {"change": 0}

    def work() -> None:
        state["change"] += 1
        number = 1 + state["change"] % (members - 1)
        fleet[number] = fleet[number]._replace(incarnation=state["change"] + 1)
        service.apply_members(tuple(fleet))

    return work


def ownership_change_cpu(services: int, members: int, changes: int = 60) -> float:
    """Return the processor time of one box's leaving or return, all services asked for."""
    base = service_spec(SERVICE_INSTANCES, 2, 5)
    specs = [base._replace(name=f"s{number}") for number in range(services)]
    fleet = [member(number) for number in range(members)]
    owner_map = OwnerMap()

    def take(boxes: list[Member]) -> None:
        owner_map.set_members(boxes)
        for spec in specs:
            owner_map.owner(spec, "any")

    take(fleet)
    started = time.process_time()
    for change in range(changes):
        number = change * 997 % members
        take(fleet[:number] + fleet[number + 1 :])
        take(fleet)
    return (time.process_time() - started) / (2 * changes)


def _report(points: Points, fits: dict[str, Fit]) -> Report:
    figures: dict[str, float] = {}
    rows = []
    for name, line in fits.items():
        figures[name] = line.slope
        figures[f"{name}_intercept"] = line.intercept
        figures[f"{name}_fit_residual"] = line.residual
        sizes, values = points[name]
        measured = ", ".join(f"{s}: {v:.4g}" for s, v in zip(sizes, values, strict=True))
        rows.append((f"{name}: {line.slope:.4g} each + {line.intercept:.4g}", measured))
    series = [
        Series(name, [float(s) for s in sizes], [value / values[0] for value in values])
        for name, (sizes, values) in points.items()
    ]
    samples = {name: len(sizes) for name, (sizes, _) in points.items()}
    return Report(
        "slopes",
        0,
        "the smallest size of each role",
        figures,
        samples,
        rows,
        series,
        "size",
        "over the smallest size",
    )
