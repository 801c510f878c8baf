"""The shell that tells the boxes beside the same targets which of them are down."""

from collections.abc import Iterable

from trackwheel.clock import steady_now
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.relay.const import NEWS_BOXES
from trackwheel.relay.models import Outcome
from trackwheel.relay.news import TargetDown, TargetNews
from trackwheel.relay.transport import Sending, TargetTransport
from trackwheel.telemetry.events import EventLog


class TargetTelling:
    """Carry news of targets between this box and those that ask the same ones."""

    def __init__(
        self, hub: Hub, news: TargetNews, transport: TargetTransport, log: EventLog
    ) -> None:
        self._hub = hub
        self._news = news
        self._log = log
        self._boxes: tuple[str, ...] = ()
        hub.register(TargetDown, self._take)
        transport.on_any_end(self._ended)

    def set_boxes(self, addresses: Iterable[str]) -> None:
        """Take the other boxes of the failure domain that ask targets."""
        self._boxes = tuple(sorted(addresses))[:NEWS_BOXES]

    def _ended(self, sending: Sending, outcome: Outcome, sent_at: float) -> None:
        news = self._news.ended(sending.target, outcome, sent_at, steady_now())
        if news is None:
            return
        for address in self._boxes:
            self._hub.send(address, news)

    def _take(self, sender: PeerIdentity, news: TargetDown) -> None:
        if self._news.told(sender.box_id, news, steady_now()):
            self._log.write(
                "target_told_down",
                target=news.instance,
                source=sender.box_id,
                age_ms=news.age_ms,
            )
