"""Sends the beacons of a watcher and passes updates of the directory on to peers."""

from collections.abc import Callable, Iterable

import anyio

from trackwheel.clock import steady_now
from trackwheel.directory.const import BEACON_PERIOD_S, POLL_PERIOD_S
from trackwheel.directory.models import (
    DirectoryBeacon,
    EvacuationsPush,
    RoutesPush,
    TargetsPush,
)
from trackwheel.directory.watcher_election import WatcherElection
from trackwheel.peers.hub import Hub
from trackwheel.telemetry.events import EventLog

Update = RoutesPush | EvacuationsPush | TargetsPush


class PeerNotifier:
    """Notify the boxes of the own failure domain and the watchers of the others.

    `synced_via` returns the box through which this one is in sync, `beacon` builds the beacon,
    `asks_elsewhere` returns whether this box asks other failure domains for changes; all for a time
    (monotonic seconds).
    """

    def __init__(
        self,
        hub: Hub,
        election: WatcherElection,
        log: EventLog,
        synced_via: Callable[[float], str],
        beacon: Callable[[float], DirectoryBeacon],
        asks_elsewhere: Callable[[float], bool],
    ) -> None:
        self._hub = hub
        self._election = election
        self._log = log
        self._synced_via = synced_via
        self._beacon = beacon
        self._asks_elsewhere = asks_elsewhere
        self._domain_peers: tuple[str, ...] = ()
        self._remote_watchers: tuple[str, ...] = ()
        self._is_watching = False
        self._next_beacon_at = 0.0
        self._sent_synced_via = ""

    @property
    def domain_peer_count(self) -> int:
        """Return how many boxes of the failure domain get the updates."""
        return len(self._domain_peers)

    def set_peers(self, domain_peers: Iterable[str], remote_watchers: Iterable[str]) -> None:
        """Set the boxes of the failure domain and the watchers of the other ones."""
        self._domain_peers = tuple(domain_peers)
        self._remote_watchers = tuple(remote_watchers)

    def broadcast(self, update: Update) -> None:
        """Send an update that was read from the store to the failure domain."""
        self._send(update, self._domain_peers)

    def forward(self, update: Update) -> None:
        """Forward an update of another box while this one is a watcher or asks elsewhere.

        Only a watcher forwards a configuration: it is large, and gossip tells of it too.
        """
        now = steady_now()
        is_large = isinstance(update, RoutesPush)
        if self._election.should_watch(now) or (self._asks_elsewhere(now) and not is_large):
            self.broadcast(update)

    async def run(self) -> None:
        """Send a beacon in each period, and at once when this box gets in or out of sync.

        The next boxes in order must learn that this one reads the store before they start to, and
        all of them that the store is available again.
        """
        while True:
            await anyio.sleep(POLL_PERIOD_S)
            now = steady_now()
            self._log_watching(self._election.should_watch(now))
            if self._is_watching:
                self._send_beacon(now)

    def _send_beacon(self, now: float) -> None:
        synced_via = self._synced_via(now)
        if now < self._next_beacon_at and bool(synced_via) is bool(self._sent_synced_via):
            return
        self._next_beacon_at = now + BEACON_PERIOD_S - POLL_PERIOD_S / 2
        self._sent_synced_via = synced_via
        self._send(self._beacon(now), self._domain_peers + self._remote_watchers)

    def _log_watching(self, watches: bool) -> None:
        """Log when this box starts and stops watching the store."""
        if watches is self._is_watching:
            return
        self._is_watching = watches
        self._next_beacon_at = 0.0
        self._log.write("store_watch", reads=watches, boxes_before=self._election.predecessor_count)

    def _send(self, message: Update | DirectoryBeacon, addresses: Iterable[str]) -> None:
        for address in addresses:
            self._hub.send(address, message)
