"""The faults of one run, drawn from its seed."""

from collections.abc import Sequence
from enum import StrEnum
from random import Random
from typing import Final, NamedTuple

from soak.const import (
    ENDLESS_SHARE,
    FAULTS_PER_S,
    FIRST_FAULT_S,
    LONGEST_FAULT_S,
    SET_BACK_SHARE,
    SETTLE_S,
    SHORTEST_FAULT_S,
    STOP_MANY_SHARE,
)


class Kind(StrEnum):
    """Name a kind of fault."""

    BOX_KILL = "box-kill"
    BOX_STOP = "box-stop"
    BOX_FREEZE = "box-freeze"
    BOX_RELOAD = "box-reload"
    STORE_DOWN = "store-down"
    STORE_SILENT = "store-silent"
    STORE_FORGETS = "store-forgets"
    STORE_SET_BACK = "store-set-back"
    LINK_DELAY = "link-delay"
    LINK_RESET = "link-reset"
    LINK_SILENT = "link-silent"
    LINK_ONE_WAY = "link-one-way"
    TARGET_SHEDS = "target-sheds"
    TARGET_FAILS = "target-fails"
    TARGET_RESETS = "target-resets"
    TARGET_SLOW = "target-slow"
    TARGET_LEAVES = "target-leaves"
    ROUTES = "routes"
    STOP_MANY = "stop-many"
    TARGETS_ENDLESS = "targets-endless"


OF_BOX: Final = (Kind.BOX_KILL, Kind.BOX_STOP, Kind.BOX_FREEZE, Kind.BOX_RELOAD)
OF_STORE: Final = (Kind.STORE_DOWN, Kind.STORE_SILENT, Kind.STORE_FORGETS)
"""Faults of the store that excuse late news; one that is set back excuses nothing."""
OF_LINK: Final = (Kind.LINK_DELAY, Kind.LINK_RESET, Kind.LINK_SILENT, Kind.LINK_ONE_WAY)
OF_TARGET: Final = (
    Kind.TARGET_SHEDS,
    Kind.TARGET_FAILS,
    Kind.TARGET_RESETS,
    Kind.TARGET_SLOW,
    Kind.TARGET_LEAVES,
)


class Fault(NamedTuple):
    """Disturb a subject from a moment on, for a while (seconds from the start of load)."""

    at: float
    for_s: float
    kind: Kind
    subject: str


def draw_faults(
    seed: int, seconds: float, boxes: Sequence[str], links: Sequence[str], targets: Sequence[str]
) -> list[Fault]:
    """Return the faults of a run in order of time; the same seed gives the same ones."""
    random = Random(seed)
    last = max(FIRST_FAULT_S, seconds - SETTLE_S - LONGEST_FAULT_S)
    faults: list[Fault] = []
    once = (Kind.STORE_SET_BACK, Kind.STOP_MANY, Kind.TARGETS_ENDLESS)
    kinds = [kind for kind in Kind if kind not in once]
    for _ in range(int(FAULTS_PER_S * seconds)):
        kind = random.choice(kinds)
        subject = ""
        if kind in OF_BOX:
            subject = random.choice(boxes)
        elif kind in OF_LINK:
            subject = random.choice(links)
        elif kind in OF_TARGET:
            subject = random.choice(targets)
        at = random.uniform(FIRST_FAULT_S, last)
        faults.append(Fault(at, random.uniform(SHORTEST_FAULT_S, LONGEST_FAULT_S), kind, subject))
    if random.random() < SET_BACK_SHARE:
        at = random.uniform(FIRST_FAULT_S, last)
        lost_s = random.uniform(SHORTEST_FAULT_S, LONGEST_FAULT_S)
        faults.append(Fault(at, lost_s, Kind.STORE_SET_BACK, ""))
    if random.random() < STOP_MANY_SHARE:
        at = random.uniform(FIRST_FAULT_S, last)
        faults.append(Fault(at, SHORTEST_FAULT_S, Kind.STOP_MANY, ""))
    if random.random() < ENDLESS_SHARE:
        at = random.uniform(FIRST_FAULT_S, last)
        faults.append(Fault(at, LONGEST_FAULT_S, Kind.TARGETS_ENDLESS, ""))
    return sorted(faults)
