"""Data types of the decision logic for one request."""

from enum import StrEnum
from typing import Final, NamedTuple, Protocol

from trackwheel.groups.models import NO_PRECEDENCE, Precedence
from trackwheel.http1.models import Headers, Request, Response


class Place(NamedTuple):
    """Location of a box or a target."""

    region: str
    failure_domain: str


class RouteKey(NamedTuple):
    """The properties of a route that affect the choice of a target.

    Response times are kept by route name; `aim_s` is the target latency. `homes` are the regions
    that may serve the route; empty means all.
    """

    name: str
    aim_s: float
    homes: frozenset[str] = frozenset()

    def allows(self, region: str) -> bool:
        """Return whether a region may serve the route's requests."""
        return not self.homes or region in self.homes


Incarnation = tuple[str, int]
"""One incarnation of a target: its name and start time (Unix milliseconds)."""


class Target(NamedTuple):
    """One target as the directory knows it; `cold_until` is monotonic seconds.

    An `excluded` target gets no new requests: it is leaving, or its failure domain is evacuated. A
    `presumed_gone` one, whose entry was removed and is not expected back, is a last resort.
    `born_ms` is its start time (Unix milliseconds).
    """

    instance: str
    service: str
    address: str
    place: Place
    slots: int
    excluded: bool
    presumed_gone: bool
    cold_until: float
    born_ms: int = 0

    @property
    def incarnation(self) -> Incarnation:
        """Return the identity that differs between restarts under the same name."""
        return self.instance, self.born_ms


class Load(NamedTuple):
    """Load reported by a target.

    `slowness` is the ratio of the current to the usual duration of work, 1 if normal; it rises when
    other work competes for the target's machine.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


class Outcome(StrEnum):
    """How one request to one target ended.

    `CLOSED`: the target closed the connection during the request without any answer, possibly
    because it crashed. `ELSEWHERE`: another target answered at the address. `OVERSIZED`: it sent
    more bytes than an answer may have.
    """

    OK = "ok"
    FAILED = "failed"
    NOT_RUN = "not_run"
    ELSEWHERE = "elsewhere"
    NOT_SENT = "not_sent"
    CLOSED = "closed"
    BROKEN = "broken"
    OVERSIZED = "oversized"


NOTHING_RAN = frozenset({Outcome.NOT_RUN, Outcome.ELSEWHERE, Outcome.NOT_SENT})
"""Outcomes that guarantee that the target has not run the request and never will."""


class SendPermission(StrEnum):
    """Whether a request may be sent: to any target, to one as a trial, not yet, or not at all."""

    OPEN = "open"
    ONE = "one"
    WAIT = "wait"
    SHUT = "shut"


class SendGate(Protocol):
    """Decides whether one request may be sent to targets."""

    def permission(self, now: float) -> SendPermission:
        """Return whether it may be sent at `now` (monotonic seconds)."""


class _OpenGate:
    """Lets every request pass."""

    def permission(self, now: float) -> SendPermission:
        return SendPermission.OPEN


OPEN_GATE: Final[SendGate] = _OpenGate()


class TargetResult(NamedTuple):
    """Result of one request to one target; `cold_s` is its reported remaining warm-up time."""

    outcome: Outcome
    answer: Response | None
    signature: bytes
    load: Load | None
    detail: str
    cold_s: float = 0.0


class CallerRequest(NamedTuple):
    """One decoded request of a client; `deadline` is monotonic seconds.

    `fingerprint` is the same for each attempt at this request, at every box. `group` is the name of
    the group that it belongs to; empty where requests need no key.
    """

    request_id: str
    host: str
    path: str
    deadline: float
    http: Request
    fingerprint: bytes
    group: str = ""
    precedence: Precedence = NO_PRECEDENCE


class Part(NamedTuple):
    """The answer of one shard: its signature and its top records."""

    signature: bytes
    records: list[bytes]


class Wire(Protocol):
    """Translates between internal types and the HTTP requests of clients and targets."""

    def read_request(self, request: Request) -> CallerRequest:
        """Decode a client's request."""

    def read_key(self, request: Request) -> bytes | None:
        """Return the key that a client's request carries; None if there is not exactly one."""

    def with_group(
        self, request: CallerRequest, group: str, precedence: Precedence
    ) -> CallerRequest:
        """Return a request as its group's, without its key and what it says about its group."""

    def target_request(self, request: CallerRequest, instance: str, now: float) -> Request:
        """Return the request for a target, with the remaining time."""

    def forwarded_headers(self, request: Request) -> Headers:
        """Return the headers of a client's request that are forwarded to targets."""

    def check_answer(self, request_id: str, answer: Response) -> str:
        """Return why an answer does not belong to a request; an empty text when it does."""

    def read_result(self, answer: Response, single: bool) -> TargetResult:
        """Return the result of a target's answer; `single` means it answers the whole request."""

    def single_answer(self, answer: Response) -> Response:
        """Return the client's answer for a target's answer."""

    def gathered_answer(
        self, request_id: str, signatures: list[bytes], missing: int, body: bytes
    ) -> Response:
        """Return the client's answer for the merged parts of several shards."""

    def refusal(self, status: int, retry_after_s: float | None, reason: str) -> Response:
        """Return an error response of this box; `retry_after_s` becomes its Retry-After header."""
