"""One owner for each target against seven gateways that go to it directly, in virtual time."""

from typing import NamedTuple

from bench.one_target import OneTarget, max_min_shares
from bench.report import Report, Series

GATEWAYS = 7
SERVICE_S = 0.01
SLOTS = 2
MOST_WAITING = 4
DEADLINE_S = 0.2
SECONDS = 30.0
SETTLE_S = 3.0
GROUPS = {"a": (1.5, 1.0), "b": (1.0, 3.0), "c": (0.5, 2.0)}
"""What groups ask for in parts of the capacity (three times it in all), and their shares."""
GATEWAYS_BY_GROUP = {"a": (0, 1, 2, 3, 4, 5, 6), "b": (0, 1), "c": (3,)}
"""Callers of a group do not come to all gateways alike."""


class _Outcome(NamedTuple):
    share_error: float
    p99_s: float
    shed_share: float
    used: float


def _run(lines: int, seconds: float) -> _Outcome:
    world = OneTarget(
        slots=SLOTS,
        claimed=SLOTS,
        service_s=SERVICE_S,
        lines=lines,
        most_waiting=MOST_WAITING,
    )
    capacity = SLOTS / SERVICE_S
    for group, (part, share) in GROUPS.items():
        where = GATEWAYS_BY_GROUP[group] if lines > 1 else (0,)
        world.arrivals(group, share, part * capacity, DEADLINE_S, 0.0, seconds, where)
    world.run(SETTLE_S)
    before = dict(world.slot_s_by_group)
    world.run(seconds)
    used = {group: world.slot_s_by_group[group] - before.get(group, 0.0) for group in GROUPS}
    total = sum(used.values())
    wanted = max_min_shares(1.0, GROUPS)
    error = max(abs(used[group] / total - wanted[group]) for group in GROUPS)
    latencies = sorted(value for values in world.latency_by_group.values() for value in values)
    p99 = latencies[int(0.99 * len(latencies))]
    sent = world.finished + world.shed_by_target
    return _Outcome(error, p99, world.shed_by_target / sent, total / (SLOTS * (seconds - SETTLE_S)))


def measure(long: bool) -> Report:
    """Run the same load through one owner and through seven gateways."""
    seconds = SECONDS * (3 if long else 1)
    owned, direct = _run(1, seconds), _run(GATEWAYS, seconds)
    rows = [
        (
            f"{label}: share error, p99, shed by the target, used",
            f"{o.share_error:.3f}, {o.p99_s * 1000:.0f} ms, {o.shed_share:.1%}, {o.used:.2f}",
        )
        for label, o in (("one owner", owned), ("seven gateways", direct))
    ]
    return Report(
        "owners",
        7,
        "seven gateways with the same adaptive limits, direct",
        {
            "fairness_ratio": owned.share_error / direct.share_error,
            "p99_ratio": owned.p99_s / direct.p99_s,
            "extra_ratio": (1 + owned.shed_share) / (1 + direct.shed_share),
            "share_error_owned": owned.share_error,
            "share_error_direct": direct.share_error,
        },
        {"seconds": int(seconds)},
        rows,
        [Series("share error", [0.0, 1.0], [owned.share_error, direct.share_error])],
        "0: one owner, 1: direct",
        "worst share error",
    )
