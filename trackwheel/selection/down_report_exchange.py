"""Sends down reports to the other gatherers of the failure domain and receives theirs."""

from collections.abc import Iterable

from trackwheel.clock import steady_now
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.relay.models import Outcome
from trackwheel.relay.transport import TargetAttempt, TargetTransport
from trackwheel.selection.const import DOWN_REPORT_MAX_BOXES
from trackwheel.selection.down_reports import DownReports, TargetDown
from trackwheel.telemetry.events import EventLog


class DownReportExchange:
    """Exchanges down reports with the boxes that send requests to the same targets."""

    def __init__(
        self, hub: Hub, reports: DownReports, transport: TargetTransport, log: EventLog
    ) -> None:
        self._hub = hub
        self._reports = reports
        self._log = log
        self._boxes: tuple[str, ...] = ()
        hub.register(TargetDown, self._receive)
        transport.on_attempt_end(self._request_ended)

    def set_boxes(self, addresses: Iterable[str]) -> None:
        """Set the other gatherers of the own failure domain."""
        self._boxes = tuple(sorted(addresses))[:DOWN_REPORT_MAX_BOXES]

    def _request_ended(self, attempt: TargetAttempt, outcome: Outcome, sent_at: float) -> None:
        report = self._reports.request_ended(attempt.target, outcome, sent_at, steady_now())
        if report is None:
            return
        for address in self._boxes:
            self._hub.send(address, report)

    def _receive(self, sender: PeerIdentity, report: TargetDown) -> None:
        if self._reports.receive(sender.box_id, report, steady_now()):
            self._log.write(
                "target_told_down",
                target=report.instance,
                source=sender.box_id,
                age_ms=report.age_ms,
            )
