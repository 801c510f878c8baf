"""Events that the task of the dispatch decisions takes from others."""

from typing import NamedTuple

from trackwheel.dispatch.models import Ended, ExecuteAsk, PermitReply, Scatter, Withdraw, Work
from trackwheel.files.models import InForce
from trackwheel.fleet.models import LeavingTarget


class FromGateway(NamedTuple):
    """Event: a gateway's message arrived."""

    gateway: str
    message: Scatter | ExecuteAsk | Withdraw | PermitReply


class GatewayLost(NamedTuple):
    """Event: the last link to a box is gone."""

    gateway: str


class HealthRead(NamedTuple):
    """Event: a health page was read, or could not be."""

    target: str
    reachable: bool
    boot: str
    leaving: bool


class Exchanged(NamedTuple):
    """Event: an exchange with a target ended; the answer for the gateway goes with it."""

    ended: Ended
    work: Work
    body: bytes
    holds: list[int]
    retry_after_s: float


class InForceChanged(NamedTuple):
    """Event: other files are in force."""

    in_force: InForce


class NotesLearnt(NamedTuple):
    """Event: targets are leaving, another box says."""

    notes: tuple[LeavingTarget, ...]


Event = FromGateway | GatewayLost | HealthRead | Exchanged | InForceChanged | NotesLearnt
