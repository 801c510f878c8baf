"""Load: callers compete, so that checks refuse requests, let them wait, or lose their clients.

Whatever the order, each ticket is released once and the request is decided once.
"""

from collections.abc import Sequence
from typing import Any

import pytest

from trackwheel.relay.entry_checks import Decide, EntryPassage, EntryRefusal, EntryRequest

REQUEST: Any = None
REFUSAL = EntryRefusal(429, "limit", "the group's limit is reached", 0.5)


class Ticket:
    """Records its release."""

    def __init__(self, name: str, events: list[str]) -> None:
        self._name = name
        self._events = events

    def withdraw(self) -> None:
        self._events.append(f"{self._name} withdrawn")

    def end(self, ran: bool) -> None:
        self._events.append(f"{self._name} ended{' ran' if ran else ''}")


class Check:
    """Decides as it is told: `pass` and `refuse` at once, `wait` when its `decide` is called."""

    def __init__(self, name: str, how: str, events: list[str]) -> None:
        self._name = name
        self._how = how
        self._events = events
        self.decide: Decide | None = None

    def start(self, request: EntryRequest, decide: Decide) -> Ticket:
        self.decide = decide
        if self._how != "wait":
            decide(REFUSAL if self._how == "refuse" else None)
        return Ticket(self._name, self._events)


class Passage:
    """A passage through checks, and all that happened."""

    def __init__(self, hows: Sequence[str]) -> None:
        self.events: list[str] = []
        self.checks = [Check(f"c{n}", how, self.events) for n, how in enumerate(hows)]
        self.passage = EntryPassage(self.checks, REQUEST, self._decided)
        self.passage.start()

    def _decided(self, refusal: EntryRefusal | None) -> None:
        self.events.append("passed" if refusal is None else "refused")

    def play(self, step: str) -> None:
        action, _, argument = step.partition(" ")
        if action == "withdraw":
            self.passage.withdraw()
        elif action == "end":
            self.passage.end(ran=argument == "ran")
        else:
            decide = self.checks[int(argument)].decide
            assert decide is not None, "the check has begun"
            decide(REFUSAL if action == "refuse" else None)


@pytest.mark.parametrize(
    ("hows", "steps", "events"),
    [
        pytest.param([], [], ["passed"], id="no-checks"),
        pytest.param([], ["end ran"], ["passed"], id="no-checks-ended"),
        pytest.param(["pass", "pass"], [], ["passed"], id="at-once"),
        pytest.param(["pass", "wait"], ["pass 1"], ["passed"], id="later"),
        pytest.param(["wait", "pass"], ["pass 0"], ["passed"], id="first-later"),
        pytest.param(
            ["pass", "wait"],
            ["pass 1", "end ran", "end", "withdraw"],
            ["passed", "c1 ended ran", "c0 ended ran"],
            id="ended-once",
        ),
        pytest.param(["pass"], ["end"], ["passed", "c0 ended"], id="ended-without-a-run"),
        pytest.param(["refuse"], ["end", "withdraw"], ["refused"], id="refused-at-once"),
        pytest.param(["pass", "refuse"], [], ["c0 ended", "refused"], id="second-refuses"),
        pytest.param(
            ["pass", "wait"], ["refuse 1", "end"], ["c0 ended", "refused"], id="refused-later"
        ),
        pytest.param(
            ["pass", "wait"],
            ["withdraw", "withdraw"],
            ["c1 withdrawn", "c0 ended"],
            id="withdrawn-while-it-waits",
        ),
        pytest.param(
            ["wait"],
            ["withdraw", "pass 0", "refuse 0"],
            ["c0 withdrawn"],
            id="decided-after-the-withdrawal",
        ),
        pytest.param(["pass"], ["withdraw"], ["passed", "c0 ended"], id="withdrawn-when-passed"),
        pytest.param(
            ["wait", "wait"],
            ["pass 0", "pass 0", "refuse 0", "refuse 1"],
            ["c0 ended", "refused"],
            id="decides-twice",
        ),
    ],
)
def test_each_ticket_is_released_once(hows: list[str], steps: list[str], events: list[str]) -> None:
    passage = Passage(hows)
    for step in steps:
        passage.play(step)
    assert passage.events == events


def test_ticket_of_a_request_withdrawn_during_the_check_is_released() -> None:
    events: list[str] = []
    passages: list[EntryPassage] = []

    class Withdraws:
        """Loses the client while it decides, as a check that writes to it does."""

        def start(self, request: EntryRequest, decide: Decide) -> Ticket:
            passages[0].withdraw()
            return Ticket("c0", events)

    passages.append(EntryPassage([Withdraws()], REQUEST, lambda refusal: events.append("decided")))
    passages[0].start()
    assert events == ["c0 withdrawn"]


def test_ticket_of_a_request_withdrawn_after_its_check_has_passed_is_ended() -> None:
    events: list[str] = []
    passages: list[EntryPassage] = []

    class Passes:
        """Passes the request and then loses its client, before the ticket is returned."""

        def start(self, request: EntryRequest, decide: Decide) -> Ticket:
            decide(None)
            passages[0].withdraw()
            return Ticket("c0", events)

    passages.append(EntryPassage([Passes()], REQUEST, lambda refusal: events.append("decided")))
    passages[0].start()
    assert events == ["c0 ended"]


def test_second_check_does_not_begin_before_the_first_has_passed() -> None:
    passage = Passage(["wait", "pass"])
    assert passage.checks[1].decide is None
    passage.play("pass 0")
    assert passage.checks[1].decide is not None
