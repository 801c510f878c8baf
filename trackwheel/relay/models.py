"""What the decisions about one request take and give."""

from enum import StrEnum
from typing import Final, NamedTuple, Protocol

from trackwheel.http1.models import Headers, Request, Response


class Place(NamedTuple):
    """Say where a box or a target stands."""

    region: str
    failure_domain: str


class RouteKey(NamedTuple):
    """Say what the choice of a target must know of a route; its aim is in seconds.

    Its answers' pace is kept by its name. `homes` are the regions that alone may serve it; none are
    named where all may.
    """

    name: str
    aim_s: float
    homes: frozenset[str] = frozenset()

    def allows(self, region: str) -> bool:
        """Return whether a region may serve the route's requests."""
        return not self.homes or region in self.homes


Life = tuple[str, int]
"""A target's name and when it started (Unix milliseconds)."""


class Target(NamedTuple):
    """One target as the directory knows it; `cold_until` is monotonic seconds.

    One that is `barred` gets no new request: it is leaving, or its failure domain is evacuated.
    `born_ms` is when it started (Unix milliseconds).
    """

    instance: str
    service: str
    address: str
    place: Place
    slots: int
    barred: bool
    doubtful: bool
    cold_until: float
    born_ms: int = 0

    @property
    def life(self) -> Life:
        """Return what tells this target from an earlier one of the same name."""
        return self.instance, self.born_ms


class Load(NamedTuple):
    """What a target says of its load.

    `slowness` is how long work takes there now, 1 is as usual: its machine has other work too.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


class Outcome(StrEnum):
    """Say how one request to one target ended.

    `CLOSED` says that the target ended the connection under the request, without any answer: it may
    have ended itself.
    """

    OK = "ok"
    FAILED = "failed"
    NOT_RUN = "not_run"
    ELSEWHERE = "elsewhere"
    NOT_SENT = "not_sent"
    CLOSED = "closed"
    BROKEN = "broken"


NOTHING_RAN = frozenset({Outcome.NOT_RUN, Outcome.ELSEWHERE, Outcome.NOT_SENT})
"""Outcomes after which the target certainly has not run the request and never will."""


class Passage(StrEnum):
    """Say whether a request may go to targets: to any, to one first, perhaps soon, or to none."""

    OPEN = "open"
    ONE = "one"
    WAIT = "wait"
    SHUT = "shut"


class SendGate(Protocol):
    """Know whether one request may go to targets."""

    def passage(self, now: float) -> Passage:
        """Return whether it may be sent at a time (monotonic seconds)."""


class _OpenGate:
    """Let everything pass."""

    def passage(self, now: float) -> Passage:
        return Passage.OPEN


OPEN_GATE: Final[SendGate] = _OpenGate()


class TargetEnd(NamedTuple):
    """Tell how one request to one target ended; `cold_s` is how long it says that it stays cold."""

    outcome: Outcome
    answer: Response | None
    signature: bytes
    load: Load | None
    detail: str
    cold_s: float = 0.0


class CallerRequest(NamedTuple):
    """One request of a client in the product's terms (monotonic seconds).

    `fingerprint` is the same in each attempt at this request, at every box.
    """

    request_id: str
    host: str
    path: str
    deadline: float
    http: Request
    fingerprint: bytes


class Part(NamedTuple):
    """The answer of one shard: its signature and its greatest records."""

    signature: bytes
    records: list[bytes]


class Wire(Protocol):
    """Translate between the product's terms and the headers that clients and targets speak."""

    def read_request(self, request: Request) -> CallerRequest:
        """Return a client's request in the product's terms."""

    def target_request(self, request: CallerRequest, instance: str, now: float) -> Request:
        """Return what is sent to a target, with the time that is left."""

    def forwarded_headers(self, request: Request) -> Headers:
        """Return the headers of a client's request that targets get."""

    def check_answer(self, request_id: str, answer: Response) -> str:
        """Return why an answer does not belong to a request; an empty text when it does."""

    def read_end(self, answer: Response, single: bool) -> TargetEnd:
        """Return how a target answered; `single` asks for the answer of a whole request."""

    def single_answer(self, answer: Response) -> Response:
        """Return what the client gets of a target's answer."""

    def gathered_answer(
        self, request_id: str, signatures: list[bytes], missing: int, body: bytes
    ) -> Response:
        """Return the answer that is made of several parts."""

    def refusal(self, status: int, retry_after_s: float | None, reason: str) -> Response:
        """Return an answer of this box's own; `retry_after_s` says when to come back."""
