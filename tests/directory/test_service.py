"""What watchers send to their peers, and when a box reads the store or asks a peer."""

import json
import zlib
from typing import Any

import anyio
import pytest
from returns.result import Failure, Result, Success

from tests.platform.test_wire import CONFIG
from trackwheel.clock import steady_now
from trackwheel.directory.const import POLL_PERIOD_S, START_SETTLE_S
from trackwheel.directory.models import (
    DirectoryAsk,
    DirectoryBeacon,
    OperatorStateRead,
    RoutesPush,
    TargetEntry,
    TargetsPush,
    TargetsRead,
)
from trackwheel.directory.service import DirectoryService
from trackwheel.directory.targets import TargetDirectory
from trackwheel.directory.targets_age import TargetsAge
from trackwheel.directory.watcher_election import WatcherElection
from trackwheel.errors import Problem, TrackwheelError
from trackwheel.peers.models import PeerIdentity
from trackwheel.platform.decode import decode_routes
from trackwheel.routing.models import RouteTable

OWN = PeerIdentity("box-1", "boot", "10.0.0.1:1", "here", "here-a")
PEER = PeerIdentity("box-2", "boot", "10.0.0.2:1", "here", "here-a")
FAR = PeerIdentity("box-9", "boot", "10.9.0.1:1", "there", "there-a")


class FakeHub:
    """Record the messages that are sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, Any]] = []
        self.identity = OWN

    def register(self, message_type: type[Any], handler: Any) -> None:
        pass

    def send(self, address: str, message: Any) -> bool:
        self.sent.append((address, message))
        return True


class FakeSource:
    """Decode like the client of the platform."""

    def decode_routes(self, content: bytes) -> Result[RouteTable, TrackwheelError]:
        return decode_routes(content)


class FakeLog:
    """Record the types of events."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def write(self, kind: str, **fields: object) -> None:
        self.events.append(kind)


def make_service(
    source: FakeSource | None = None, drain_s: float = 3.0, first: bool = True
) -> tuple[DirectoryService, FakeHub, FakeLog]:
    hub, log = FakeHub(), FakeLog()
    service = DirectoryService(
        hub,  # type: ignore[arg-type]
        source or FakeSource(),  # type: ignore[arg-type]
        TargetDirectory({}),
        WatcherElection(steady_now(), OWN.address, first),
        log,  # type: ignore[arg-type]
        drain_s,
    )
    service.set_peers([], ["10.0.0.2:1"], ["10.0.1.1:1"])
    return service, hub, log


def read(version: int, routes: int = 1) -> OperatorStateRead:
    route = CONFIG["routes"][0]  # type: ignore[index]
    many = [{**route, "name": f"r{n}", "path_prefix": f"/r{n}/"} for n in range(routes)]
    content = json.dumps({**CONFIG, "version": version, "routes": many}).encode()
    return OperatorStateRead(decode_routes(content).unwrap(), content, version)


def test_configuration_reaches_a_peer_whole_and_small() -> None:
    """Ten thousand routes must fit a link of 10 Mbit/s to each of ten peers within seconds."""
    watcher, hub, _ = make_service()
    operator_state = read(7, 4000)
    watcher.apply_operator_state(operator_state)
    ((address, push),) = hub.sent
    assert address == "10.0.0.2:1"
    assert len(push.compressed) < len(operator_state.content) / 8
    other, _, _ = make_service()
    other._receive_routes(PEER, push)
    assert other.table == operator_state.table


@pytest.mark.parametrize(
    ("versions", "in_force"),
    [([7, 9], 9), ([9, 7], 9), ([7, 7], 7)],
    ids=["newer", "older-is-passed-over", "same-again"],
)
def test_versions_only_rise(versions: list[int], in_force: int) -> None:
    service, _, log = make_service()
    for version in versions:
        service.apply_operator_state(read(version))
    assert service.version == in_force
    assert log.events.count("routes_in_force") == len(set(versions[: versions.index(in_force) + 1]))


@pytest.mark.parametrize("packed", [b"", b"no zlib", b"x\x9c\x03\x00\x00\x00\x00\x01"])
def test_broken_push_is_rejected_and_logged(packed: bytes) -> None:
    service, _, log = make_service()
    service._receive_routes(PEER, RoutesPush(8, packed))
    assert service.version == 0
    assert log.events == ["routes_rejected"]


def test_unreadable_configuration_is_a_failure() -> None:
    assert isinstance(FakeSource().decode_routes(b"{}"), Failure)
    assert isinstance(FakeSource().decode_routes(read(1).content), Success)


@pytest.mark.parametrize("how", ["beacon", "peer"])
def test_box_that_is_told_of_a_newer_version_does_not_know_the_newest(how: str) -> None:
    """It was in sync a moment ago; the push of the newer version is late or lost."""
    service, _, _ = make_service()
    service.apply_operator_state(read(7))
    assert not service.knows_newest_version(steady_now())
    service._receive_beacon(PEER, DirectoryBeacon(7, 0, PEER.address))
    assert service.knows_newest_version(steady_now())
    if how == "beacon":
        service._receive_beacon(PEER, DirectoryBeacon(8, 0, PEER.address))
    else:
        service.peer_version("10.9.0.1:1", 8)
    assert service.synced_via(steady_now())
    assert not service.knows_newest_version(steady_now())
    service.apply_operator_state(read(8))
    assert service.knows_newest_version(steady_now())


@pytest.mark.parametrize(
    "beacon",
    [
        pytest.param(DirectoryBeacon(0, 0, PEER.address, synced_ago_s=-1e9), id="synced"),
        pytest.param(DirectoryBeacon(0, 0, PEER.address, targets_age_s=-1e9), id="targets"),
        pytest.param(DirectoryBeacon(0, 0, PEER.address, synced_ago_s=float("nan")), id="nan"),
    ],
)
def test_beacon_with_an_age_below_zero_is_ignored(beacon: DirectoryBeacon) -> None:
    """One such beacon kept a box from asking others, or from reading the store, for good."""
    service, _, log = make_service(first=False)
    service.set_peers([PEER.address], [], [FAR.address])
    service.apply_targets(TargetsRead(None, [ENTRY], [], 6))
    revision = service._targets.known_revision
    service._receive_beacon(PEER, beacon._replace(targets_revision=revision))
    assert log.events[-1] == "peer_message_rejected"
    later = steady_now() + 3600.0
    assert service._asks_remote_watchers(later)
    assert service._election.should_watch(later)


ENTRY = TargetEntry("i-1", "s", "10.0.0.9:1", "here-a", 2, False, 0.0, 5)


@pytest.mark.parametrize(
    ("starting", "wanted"), [(False, False), (True, True)], ids=["near-watcher-heard", "unheard"]
)
def test_targets_are_asked_of_far_boxes_only_when_no_watcher_is_heard(
    starting: bool, wanted: bool
) -> None:
    """At a start, each of 84 boxes got all targets from several others in other regions."""
    service, hub, _ = make_service()
    service.set_peers([PEER.address], [], [])
    if not starting:
        service._receive_beacon(PEER, DirectoryBeacon(0, 0, PEER.address))
    service.peer_version("10.9.0.1:1", 3)
    assert hub.sent == [("10.9.0.1:1", DirectoryAsk(0, 0, wanted))]


@pytest.mark.parametrize("wanted", [True, False], ids=["wanted", "not-wanted"])
def test_targets_are_sent_to_those_who_want_them(wanted: bool) -> None:
    service, hub, _ = make_service()
    service.apply_targets(TargetsRead(None, [ENTRY], [], 6))
    hub.sent.clear()
    service._receive_ask(PEER, DirectoryAsk(0, 0, wanted))
    kinds = [type(message) for _, message in hub.sent]
    assert kinds == ([TargetsPush] if wanted else [])


def test_questions_to_other_domains_and_the_age_of_targets_are_counted() -> None:
    """An operator saw them in the log only, while a box went on with old targets."""
    service, hub, _ = make_service()
    service.apply_targets(TargetsRead(None, [ENTRY], [], 6))
    hub.sent.clear()
    service._targets_age = TargetsAge(steady_now() - 10.0)

    async def scenario() -> None:
        with anyio.move_on_after(3 * POLL_PERIOD_S):
            await service._ask_remote_watchers()

    anyio.run(scenario)
    assert service.targets_asked == len(hub.sent) == 1
    assert 10.0 <= service.targets_age_s < 20.0


class SilentTargets(FakeSource):
    """Answer the watch of the routes; that of the targets gets no answer after the first read."""

    async def read_operator_state(
        self, copy: bool = False
    ) -> Result[OperatorStateRead, TrackwheelError]:
        return Success(read(3))

    async def watch_operator_state(
        self, after: int, wait_s: float
    ) -> Result[OperatorStateRead, TrackwheelError]:
        await anyio.sleep(0.02)
        return Success(OperatorStateRead(None, b"", after))

    async def read_targets(self, copy: bool = False) -> Result[TargetsRead, TrackwheelError]:
        return Success(TargetsRead(None, [ENTRY], [], 6))

    async def watch_targets(
        self, after: int, wait_s: float
    ) -> Result[TargetsRead, TrackwheelError]:
        await anyio.sleep_forever()
        raise AssertionError("never answered")


def test_peer_that_is_ahead_is_asked_while_the_own_watch_is_silent() -> None:
    """The watch of the routes was answered, so that the box counted as in sync and asked nobody."""
    drain_s = 0.2

    async def scenario() -> list[Any]:
        service, hub, _ = make_service(SilentTargets(), drain_s)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(service.run)
            await anyio.sleep(drain_s / 4)
            for _ in range(4):
                service._receive_beacon(PEER, DirectoryBeacon(3, 9, PEER.address))
                await anyio.sleep(drain_s / 6)
            tasks.cancel_scope.cancel()
        return [message for _, message in hub.sent if isinstance(message, DirectoryAsk)]

    assert DirectoryAsk(3, 6, True) in anyio.run(scenario)


def test_box_with_old_targets_passes_on_targets_but_no_configuration() -> None:
    """Load: the watcher is cut off; four boxes would send a large configuration to all others."""
    drain_s = 0.2

    async def scenario() -> list[Any]:
        service, hub, _ = make_service(drain_s=drain_s, first=False)
        service.set_peers([PEER.address], [PEER.address, "10.0.0.3:1"], [FAR.address])
        service._receive_targets(PEER, TargetsPush(0, 6, [ENTRY], []))
        await anyio.sleep(drain_s)
        hub.sent.clear()
        service._receive_targets(
            FAR, TargetsPush(6, 7, [ENTRY._replace(leaving=True, revision=7)], [])
        )
        push = RoutesPush(7, zlib.compress(read(7).content))
        service._receive_routes(FAR, push)
        assert service.version == push.version
        return hub.sent

    sent = anyio.run(scenario)
    assert [(address, type(message)) for address, message in sent] == [
        (PEER.address, TargetsPush),
        ("10.0.0.3:1", TargetsPush),
    ]


class ManyChanges(FakeSource):
    """Fail once, then return changes in several answers, as after an outage of the store."""

    def __init__(self, answers: int) -> None:
        self.left = answers
        self.calls: list[str] = []

    async def read_operator_state(
        self, copy: bool = False
    ) -> Result[OperatorStateRead, TrackwheelError]:
        return Success(read(3))

    async def watch_operator_state(
        self, after: int, wait_s: float
    ) -> Result[OperatorStateRead, TrackwheelError]:
        await anyio.sleep_forever()
        raise AssertionError("never answered")

    async def read_targets(self, copy: bool = False) -> Result[TargetsRead, TrackwheelError]:
        self.calls.append("read")
        return Success(TargetsRead(None, [ENTRY], [], 6))

    async def watch_targets(
        self, after: int, wait_s: float
    ) -> Result[TargetsRead, TrackwheelError]:
        self.calls.append("watch")
        if self.calls.count("watch") == 1:
            return Failure(
                TrackwheelError(Problem("store_unavailable", "watch", "store", "silent"))
            )
        self.left -= 1
        return Success(TargetsRead(after, [], [], after + 1, self.left > 0))


def test_watcher_that_lost_the_store_is_in_sync_again_at_once() -> None:
    """It read the changes in pages a second apart, which took six seconds."""
    source = ManyChanges(answers=4)

    async def scenario() -> None:
        service, _, _ = make_service(source, drain_s=5.0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(service.run)
            with anyio.fail_after(4.0):
                while source.left:
                    await anyio.sleep(0.02)
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
    # Each read is followed by a pause; answers with more changes behind them are not.
    assert source.calls == ["read", "watch", "read", "watch", "watch", "watch", "watch"]


class CopyOnly(FakeSource):
    """Record which reads were requested; answer like a copy that is seconds old."""

    def __init__(self) -> None:
        self.reads: list[tuple[str, bool]] = []

    async def read_operator_state(
        self, copy: bool = False
    ) -> Result[OperatorStateRead, TrackwheelError]:
        self.reads.append(("routes", copy))
        return Success(read(3))

    async def read_targets(self, copy: bool = False) -> Result[TargetsRead, TrackwheelError]:
        self.reads.append(("targets", copy))
        return Success(TargetsRead(None, [ENTRY], [], 6))

    async def watch_operator_state(
        self, after: int, wait_s: float
    ) -> Result[OperatorStateRead, TrackwheelError]:
        await anyio.sleep_forever()
        raise AssertionError("never answered")

    async def watch_targets(
        self, after: int, wait_s: float
    ) -> Result[TargetsRead, TrackwheelError]:
        await anyio.sleep_forever()
        raise AssertionError("never answered")


@pytest.mark.parametrize("alone", [False, True], ids=["watcher-is-heard", "alone"])
def test_starting_box_uses_a_stale_copy_and_gets_the_rest_from_a_watcher(alone: bool) -> None:
    """When 195 boxes start at once, each considers itself alone and would read everything."""
    source = CopyOnly()

    async def scenario() -> tuple[DirectoryService, FakeHub]:
        service, hub, _ = make_service(source, first=False)
        if not alone:
            service.set_peers([PEER.address], [], [])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(service.run)
            await anyio.sleep(0.1)
            assert service.ready
            assert source.reads == [("routes", True), ("targets", True)]
            if not alone:
                service._receive_beacon(PEER, DirectoryBeacon(4, 9, PEER.address))
            await anyio.sleep(START_SETTLE_S + POLL_PERIOD_S)
            tasks.cancel_scope.cancel()
        return service, hub

    service, hub = anyio.run(scenario)
    fresh = [what for what, copy in source.reads if not copy]
    if alone:
        assert sorted(fresh) == ["routes", "targets"]
        return
    assert not fresh
    assert (PEER.address, DirectoryAsk(3, 0, True)) in hub.sent
