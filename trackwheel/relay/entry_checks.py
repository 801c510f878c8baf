"""The checks that a request passes at its entry box before any target is asked."""

from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from trackwheel.groups.models import Group
from trackwheel.relay.models import CallerRequest
from trackwheel.routing.models import Route


class EntryRequest(NamedTuple):
    """A client's request with its route and its group, if it has one."""

    caller: CallerRequest
    route: Route
    group: Group | None


class EntryRefusal(NamedTuple):
    """Refusal of a request that no target has run; `cause` is its name in counters and logs."""

    status: int
    cause: str
    reason: str
    retry_after_s: float | None = None


Decide = Callable[[EntryRefusal | None], None]
"""Receives the decision of a check: a refusal, or None if the request may go on."""


class EntryTicket(Protocol):
    """What a check keeps of one request until the request has ended."""

    def withdraw(self) -> None:
        """Release what is kept of a request that ends before the check has decided."""

    def end(self, ran: bool) -> None:
        """Release what is kept of a request that passed; `ran`: a target may have run it."""


class EntryCheck(Protocol):
    """Decides whether a request may go on to targets."""

    def start(self, request: EntryRequest, decide: Decide) -> EntryTicket:
        """Check a request; `decide` is called once, during this call or later.

        A check keeps nothing of a request that it refuses: that ticket is not called again.
        """


class EntryPassage:
    """Runs the checks of one request one after the other and releases what they keep."""

    def __init__(self, checks: Sequence[EntryCheck], request: EntryRequest, decide: Decide) -> None:
        self._checks = iter(checks)
        self._request = request
        self._decide = decide
        self._passed: list[EntryTicket] = []
        self._pending: EntryTicket | None = None
        self._ended = False

    def start(self) -> None:
        """Run the first check."""
        self._run_next()

    def withdraw(self) -> None:
        """Withdraw a request that no target has been asked for: the client is gone."""
        if self._pending is not None:
            self._pending.withdraw()
            self._pending = None
        self.end(ran=False)

    def end(self, ran: bool) -> None:
        """Release what the checks keep; `ran` tells whether a target may have run the request."""
        self._ended = True
        # The decision refers to the request, and the request's end refers to this passage.
        self._decide = _drop_decision
        passed, self._passed = self._passed, []
        for ticket in reversed(passed):
            ticket.end(ran)

    def _run_next(self) -> None:
        check = next(self._checks, None)
        if check is None:
            self._decide(None)
            return
        decided = refused = False

        def decide(refusal: EntryRefusal | None) -> None:
            nonlocal decided, refused
            # A second decision must not count as that of the next check.
            if self._ended or decided:
                return
            decided = True
            if refusal is not None:
                refused = True
                self._pending = None
                refuse = self._decide
                self.end(ran=False)
                refuse(refusal)
            elif self._pending is not None:
                self._pass_pending()

        ticket = check.start(self._request, decide)
        if refused:
            return
        if self._ended:
            if decided:
                ticket.end(ran=False)
            else:
                ticket.withdraw()
            return
        self._pending = ticket
        if decided:
            self._pass_pending()

    def _pass_pending(self) -> None:
        assert self._pending is not None, "a check passes only once it has begun"
        self._passed.append(self._pending)
        self._pending = None
        self._run_next()


def _drop_decision(refusal: EntryRefusal | None) -> None:
    """Ignore the decision on a request that has ended."""
