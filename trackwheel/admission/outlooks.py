"""What this box believes of shards, for the callers that it refuses."""

from collections.abc import Sequence

from trackwheel.admission.const import UNKNOWN_READY_S
from trackwheel.admission.return_times import ReturnTimes, ShardOutlook, worst_needed
from trackwheel.relay.models import CallerRequest, RouteKey
from trackwheel.selection.target_selector import TargetSelector
from trackwheel.telemetry.events import EventLog


class RefusalAdvisor:
    """Tells refused callers when to return, from the state of the targets that they need."""

    def __init__(self, selector: TargetSelector, seed: int, log: EventLog) -> None:
        self._selector = selector
        self._returns = ReturnTimes(seed)
        self._log = log

    def retry_after_s(
        self,
        caller: CallerRequest,
        services: Sequence[str],
        route: RouteKey,
        max_missing: int,
        now: float,
    ) -> float:
        """Return the Retry-After of a request to some services that no target has run."""
        outlook = worst_needed(
            (self._outlook(service, route, now) for service in services), max_missing
        )
        retry_after_s = self._returns.retry_after_s(caller.precedence, outlook, now)
        self._log.write(
            "return_advised",
            id=caller.request_id,
            route=route.name,
            group=caller.group,
            ready_in_s=round(outlook.ready_in_s, 3),
            pace_s=round(outlook.pace_s, 4),
            retry_after_s=round(retry_after_s, 3),
        )
        return retry_after_s

    def _outlook(self, service: str, route: RouteKey, now: float) -> ShardOutlook:
        """Return what is believed of the best target of a service."""
        choices = self._selector.rank(service, route, now)
        if not choices:
            warm_in_s = self._selector.warm_in_s(service, route, now)
            usual_s = self._selector.usual_s(route, far=False)
            return ShardOutlook(max(UNKNOWN_READY_S, warm_in_s), usual_s)
        outlooks = [
            ShardOutlook(
                max(0.0, choice.rests_until - now, choice.expected_s - choice.usual_s),
                choice.usual_s / max(1, self._selector.slots(choice.target, now)),
            )
            for choice in choices
        ]
        return min(outlooks)
