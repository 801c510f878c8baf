"""Search of the orders of messages between two counting boxes and those that delegate to them.

Load: two boxes and two views of who counts; each message is delivered at any time, lost, or
delivered twice; a counting box or a delegating box restarts. The part of a box must never count
at two counting boxes, and never more than its own.
"""

import copy
from collections import Counter, deque
from random import Random
from typing import Final

import pytest

from trackwheel.limits.const import DELEGATION_VALID_S, SETTLE_S, YOUNG_S
from trackwheel.limits.delegator import PartDelegator
from trackwheel.limits.models import Delegated, Delegation, SendLimit
from trackwheel.limits.shares import DelegatedParts

STEP_S: Final = 0.7
MEMBERS: Final = 2
COUNTERS: Final = ("a", "b")
MAX_STATES: Final = 300
WALKS: Final = 400
WALK_STEPS: Final = 40


class State:
    """One box that delegates, two counting boxes, and the messages on their way."""

    def __init__(self) -> None:
        self.now = 0.0
        self.box = PartDelegator(1, 0.0)
        self.box.set_members({"d": MEMBERS}, "a", 0.0)
        self.lives = {"a": 1, "b": 2}
        self.parts = {name: DelegatedParts(self.lives[name], 0.0) for name in COUNTERS}
        self.messages: list[tuple[str, str, Delegation | Delegated]] = []
        self.trace: tuple[str, ...] = ()
        self.now = SETTLE_S
        self.wake()

    def wake(self) -> None:
        self.send(self.box.tick(self.now))

    def send(self, commands: list[SendLimit]) -> None:
        for address, message in commands:
            assert isinstance(message, Delegation)
            self.messages.append(("box", address, message))

    def advance(self) -> None:
        self.now += STEP_S
        self.wake()

    def view(self, counter: str) -> None:
        self.box.set_members({"d": MEMBERS}, counter, self.now)
        self.wake()

    def deliver(self, index: int, keeps: bool) -> None:
        sender, address, message = self.messages[index]
        if not keeps:
            del self.messages[index]
        if isinstance(message, Delegation):
            parts = self.parts[address]
            parts.delegate("box", message, self.now)
            self.messages.append((address, "box", Delegated(parts.stamp(self.now), [])))
        else:
            self.send(self.box.receive(sender, message, self.now))

    def restart_counter(self, name: str) -> None:
        self.lives[name] += 2
        self.parts[name] = DelegatedParts(self.lives[name], self.now)

    def restart_box(self) -> None:
        self.box = PartDelegator(1, self.now)
        self.box.set_members({"d": MEMBERS}, "b", self.now)

    def counted(self) -> float:
        for parts in self.parts.values():
            parts.advance(self.now)
        return sum(parts.sum for parts in self.parts.values())


def actions(state: State) -> list[str]:
    found = ["advance", "view a", "view b", "restart a", "restart box"]
    for index in range(min(3, len(state.messages))):
        found += [f"deliver {index}", f"lose {index}", f"twice {index}"]
    return found


def act(state: State, action: str) -> None:
    state.trace = (*state.trace, action)
    match action.split():
        case ["advance"]:
            state.advance()
        case ["view", counter]:
            state.view(counter)
        case ["restart", "box"]:
            state.restart_box()
        case ["restart", counter]:
            state.restart_counter(counter)
        case ["lose", index]:
            del state.messages[int(index)]
        case ["deliver", index]:
            state.deliver(int(index), keeps=False)
        case ["twice", index]:
            state.deliver(int(index), keeps=True)


def assert_counted_once(state: State) -> None:
    assert state.counted() <= 1.0 / MEMBERS + 1e-9, state.trace


def counted_start(delay_steps: int) -> State:
    """Return a state in which the part counts at one counting box, and a late message is left."""
    state = State()
    state.deliver(0, keeps=True)
    state.deliver(len(state.messages) - 1, keeps=False)
    state.deliver(len(state.messages) - 1, keeps=True)
    for _ in range(delay_steps):
        state.advance()
    return state


@pytest.mark.parametrize("delay_steps", [0, 1, 2, 3])
def test_a_part_never_counts_twice(delay_steps: int) -> None:
    """Breadth first over all orders of a small scope."""
    queue = deque([counted_start(delay_steps)])
    for _ in range(MAX_STATES):
        state = queue.popleft()
        for action in actions(state):
            after = copy.deepcopy(state)
            act(after, action)
            assert_counted_once(after)
            queue.append(after)


@pytest.mark.parametrize("seed", range(4))
def test_a_part_never_counts_twice_in_long_orders(seed: int) -> None:
    """Random orders, deeper than the search reaches."""
    random = Random(seed)
    counted = Counter[float]()
    for _ in range(WALKS):
        state = counted_start(0)
        for _ in range(WALK_STEPS):
            act(state, random.choice(actions(state)))
            assert_counted_once(state)
            counted[state.counted()] += 1
    assert counted[1.0 / MEMBERS] > 0


def test_a_part_counts_at_the_next_counting_box_once_the_promise_has_lapsed() -> None:
    state = counted_start(0)
    state.view("b")
    assert state.parts["b"].sum == 0.0
    state.messages.clear()
    state.now += DELEGATION_VALID_S + 0.01
    state.wake()
    state.deliver(0, keeps=False)
    state.deliver(0, keeps=False)
    state.deliver(0, keeps=False)
    assert state.parts["b"].sum == 1.0 / MEMBERS
    assert state.counted() == 1.0 / MEMBERS


def test_a_young_box_waits_until_promises_of_its_last_life_have_lapsed() -> None:
    box = PartDelegator(1, 0.0)
    box.set_members({"d": MEMBERS}, "a", 0.0)
    assert box.tick(YOUNG_S - 0.01) == []
    assert box.tick(YOUNG_S) != []
    assert YOUNG_S >= DELEGATION_VALID_S
