"""What a box tells its peers of the directory: how far it is, and the news that it passes on."""

from collections.abc import Callable, Iterable

import anyio

from trackwheel.clock import steady_now
from trackwheel.directory.const import BEACON_PERIOD_S, LOOK_PERIOD_S
from trackwheel.directory.models import (
    DirectoryBeacon,
    EvacuationsPush,
    RoutesPush,
    TargetsPush,
)
from trackwheel.directory.watcher_election import WatcherElection
from trackwheel.peers.hub import Hub
from trackwheel.telemetry.events import EventLog

News = RoutesPush | EvacuationsPush | TargetsPush


class PeerTelling:
    """Tell the boxes nearby and the watchers of other failure domains.

    `goes_by` tells by whose reading of the store this box is in step, `beacon` makes the word on
    how far it is, both at a time (monotonic seconds).
    """

    def __init__(
        self,
        hub: Hub,
        election: WatcherElection,
        log: EventLog,
        synced_via: Callable[[float], str],
        beacon: Callable[[float], DirectoryBeacon],
    ) -> None:
        self._hub = hub
        self._election = election
        self._log = log
        self._synced_via = synced_via
        self._beacon = beacon
        self._domain_peers: tuple[str, ...] = ()
        self._remote_watchers: tuple[str, ...] = ()
        self._watched = False
        self._beacon_at = 0.0
        self._sent_synced_via = ""

    @property
    def domain_peers(self) -> int:
        """Return how many boxes nearby news are passed on to."""
        return len(self._domain_peers)

    def set_peers(self, domain_peers: Iterable[str], remote_watchers: Iterable[str]) -> None:
        """Take the boxes nearby, and those that read the store in other failure domains."""
        self._domain_peers = tuple(domain_peers)
        self._remote_watchers = tuple(remote_watchers)

    def pass_on(self, news: News) -> None:
        """Pass on what this box has read of the store."""
        self._send(news, self._domain_peers)

    def tell_near(self, news: News) -> None:
        """Pass on what another box has told, while this one reads the store for those nearby."""
        if self._election.should_watch(steady_now()):
            self.pass_on(news)

    async def run(self) -> None:
        """Say how far this box is, now and then, and at once when that is another answer.

        The boxes after this one must hear that it reads before they begin themselves, and all of
        them that the store is back.
        """
        while True:
            await anyio.sleep(LOOK_PERIOD_S)
            now = steady_now()
            self._note_watching(self._election.should_watch(now))
            if self._watched:
                self._tell_how_far(now)

    def _tell_how_far(self, now: float) -> None:
        synced_via = self._synced_via(now)
        if now < self._beacon_at and bool(synced_via) is bool(self._sent_synced_via):
            return
        self._beacon_at = now + BEACON_PERIOD_S - LOOK_PERIOD_S / 2
        self._sent_synced_via = synced_via
        self._send(self._beacon(now), self._domain_peers + self._remote_watchers)

    def _note_watching(self, watches: bool) -> None:
        """Note when this box begins and ends to read the store."""
        if watches is self._watched:
            return
        self._watched = watches
        self._beacon_at = 0.0
        self._log.write("store_watch", reads=watches, boxes_before=self._election.predecessor_count)

    def _send(self, message: News | DirectoryBeacon, addresses: Iterable[str]) -> None:
        for address in addresses:
            self._hub.send(address, message)
