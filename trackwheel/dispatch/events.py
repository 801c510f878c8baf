"""Events that the dispatch task receives."""

from typing import NamedTuple

from trackwheel.dispatch.models import (
    ExecuteAsk,
    PermitReply,
    RequestEnded,
    Scatter,
    Withdraw,
    Work,
)
from trackwheel.files.models import InForce
from trackwheel.fleet.models import LeavingTarget


class GatewayMessage(NamedTuple):
    """Event: a message from a gateway arrived."""

    gateway: str
    message: Scatter | ExecuteAsk | Withdraw | PermitReply


class GatewayLost(NamedTuple):
    """Event: the last connection to a box was closed."""

    gateway: str


class HealthPageRead(NamedTuple):
    """Event: a health check finished, successfully or not."""

    target: str
    reachable: bool
    boot: str
    leaving: bool


class ExchangeEnded(NamedTuple):
    """Event: an exchange with a target ended; holds the answer for the gateway."""

    ended: RequestEnded
    work: Work
    body: bytes
    holds: list[int]
    retry_after_s: float


class InForceChanged(NamedTuple):
    """Event: the active configuration changed."""

    in_force: InForce


class LeavingReported(NamedTuple):
    """Event: other boxes reported that targets are leaving."""

    reports: tuple[LeavingTarget, ...]


Event = (
    GatewayMessage | GatewayLost | HealthPageRead | ExchangeEnded | InForceChanged | LeavingReported
)
