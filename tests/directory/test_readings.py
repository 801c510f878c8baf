"""The targets that boxes hold which do not read the store, whatever changes during a read."""

from collections.abc import Callable
from typing import Any

import pytest

from tests.directory.paged_store import PagedStore
from tests.directory.test_service import FakeLog, FakeSource
from trackwheel.clock import steady_now
from trackwheel.directory.const import ENTRY_PROPAGATION_S, ENTRY_RETURN_S
from trackwheel.directory.models import DirectoryBeacon, TargetsRead
from trackwheel.directory.service import DirectoryService
from trackwheel.directory.targets import TargetDirectory
from trackwheel.directory.watcher_election import WatcherElection
from trackwheel.peers.models import PeerIdentity

CHANGES_BETWEEN_PAGES = 3
SEEDS = range(30)


class Network:
    """Deliver messages between boxes at once, except those to be lost."""

    def __init__(self) -> None:
        self.box_by_address: dict[str, ReadingBox] = {}
        self.is_lost: Callable[[], bool] = lambda: False

    def deliver(self, sender: PeerIdentity, address: str, message: Any) -> None:
        if address in self.box_by_address and not self.is_lost():
            self.box_by_address[address].handler_by_type[type(message)](sender, message)


class ReadingBox:
    """The directory of one box, driven by reads that a test supplies."""

    def __init__(self, network: Network, address: str, drain_s: float = 3.0) -> None:
        self.identity = PeerIdentity(address, address, address, "r", "a")
        self.handler_by_type: dict[type[Any], Any] = {}
        self.targets = TargetDirectory({})
        self._network = network
        self.service = DirectoryService(
            self,  # type: ignore[arg-type]
            FakeSource(),  # type: ignore[arg-type]
            self.targets,
            WatcherElection(steady_now(), address, first=True),
            FakeLog(),  # type: ignore[arg-type]
            drain_s,
        )
        network.box_by_address[address] = self

    def register(self, message_type: type[Any], handler: Any) -> None:
        """Register the handler for a type of message."""
        self.handler_by_type[message_type] = handler

    def send(self, address: str, message: Any) -> bool:
        """Send a message to another box."""
        self._network.deliver(self.identity, address, message)
        return True

    def apply_read(self, read: TargetsRead) -> int:
        """Apply a read of the store."""
        return self.service.apply_targets(read)

    def receive_beacon(self, sender: "ReadingBox") -> None:
        """Receive the beacon of another box."""
        targets = sender.targets
        beacon = DirectoryBeacon(
            0, targets.known_revision, sender.identity.address, [], targets.digest.value
        )
        self.handler_by_type[DirectoryBeacon](sender.identity, beacon)


def make_boxes(network: Network, count: int, drain_s: float = 3.0) -> list[ReadingBox]:
    """Return boxes of which the first one reads the store and passes on what it read."""
    boxes = [ReadingBox(network, f"box-{number}", drain_s) for number in range(count)]
    addresses = [box.identity.address for box in boxes]
    boxes[0].service.set_peers([], addresses[1:], [])
    for box in boxes[1:]:
        box.service.set_peers(addresses[:1], [], [])
    return boxes


def present_targets(box: ReadingBox) -> dict[str, bool]:
    """Return the targets that a box considers present, and whether each is leaving."""
    return {
        target.instance: target.excluded
        for targets in box.targets.targets_by_service().values()
        for target in targets
        if not target.presumed_gone
    }


def present(store: PagedStore) -> dict[str, bool]:
    return {name: entry.leaving for name, entry in store.entry_by_instance.items()}


@pytest.mark.parametrize("seed", SEEDS)
def test_peers_hold_what_the_store_holds_whatever_changes_between_pages(seed: int) -> None:
    store, network = PagedStore(seed), Network()
    store.change(60)
    reader, peer = make_boxes(network, 2)

    def changes() -> None:
        store.change(CHANGES_BETWEEN_PAGES)

    for _ in range(3):
        after = reader.apply_read(store.read(changes))
        for _ in range(2):
            changes()
            after = reader.apply_read(store.watch(after))
        assert present_targets(reader) == present(store)
        assert present_targets(peer) == present(store)
        assert peer.targets.digest.value == reader.targets.digest.value


@pytest.mark.parametrize("seed", SEEDS)
def test_peers_drop_targets_removed_while_another_box_read(seed: int) -> None:
    """Boxes that had missed a removal kept 45 removed targets for good.

    The box that reads restarts again and again without any earlier state, and half of its messages
    are lost, until at the end each peer gets one beacon.
    """
    store, network = PagedStore(seed), Network()
    store.change(60)
    reader, *peers = make_boxes(network, 4)
    network.is_lost = lambda: store.random.random() < 0.5

    def changes() -> None:
        store.change(CHANGES_BETWEEN_PAGES)

    for _ in range(4):
        after = reader.apply_read(store.read(changes))
        for _ in range(2):
            changes()
            after = reader.apply_read(store.watch(after))
            for peer in peers:
                peer.receive_beacon(reader)
        changes()
        reader = ReadingBox(network, reader.identity.address)
        reader.service.set_peers([], [peer.identity.address for peer in peers], [])
    network.is_lost = lambda: False
    reader.apply_read(store.watch(reader.apply_read(store.read(changes))))
    for peer in peers:
        peer.receive_beacon(reader)
        assert present_targets(peer) == present(store)
        assert peer.targets.digest.value == reader.targets.digest.value


@pytest.mark.parametrize("seed", SEEDS)
def test_leaving_and_lost_targets_stay_so_while_the_store_is_older_than_its_boxes(
    seed: int,
) -> None:
    """The store is restored from a copy that is some changes old, and reuses its revisions."""
    store, network = PagedStore(seed), Network()
    store.change(60)
    reader, peer = make_boxes(network, 2)
    after = reader.apply_read(store.read(lambda: None))
    earlier = store.snapshot()
    store.change(30)
    reader.apply_read(store.watch(after))
    known = present(store)

    store.restore(earlier)
    reader.apply_read(store.read(lambda: None))
    for box in (reader, peer):
        assert {name for name, leaving in present_targets(box).items() if not leaving} <= {
            name for name, leaving in known.items() if not leaving
        }

    after = reader.apply_read(store.read(store.rewrite))
    store.rewrite()
    after = reader.apply_read(store.watch(after))
    store.change(30)
    reader.apply_read(store.watch(after))
    for box in (reader, peer):
        box.targets.expire(steady_now() + ENTRY_RETURN_S + ENTRY_PROPAGATION_S)
        assert present_targets(box) == present(store)


@pytest.mark.parametrize("lost", ["one-that-stays", "one-that-leaves"])
def test_box_that_lost_a_change_for_any_reason_is_told_everything(lost: str) -> None:
    """An unknown fault, modelled here by a deletion, removed a target from the directory of a peer.

    Updates take no time here, so that the boxes differ for too long at once.
    """
    store, network = PagedStore(1), Network()
    store.put("one-that-stays")
    store.put("one-that-leaves", leaving=True)
    reader, peer = make_boxes(network, 2, drain_s=0.0)
    reader.apply_read(store.read(lambda: None))
    peer.targets._drop(lost)
    assert present_targets(peer) != present(store)
    peer.receive_beacon(reader)
    assert present_targets(peer) == present(store)
