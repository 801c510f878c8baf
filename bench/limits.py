"""What a counting box of a large fleet spends on the limits of groups: time, bytes and memory.

`python -m bench.limits` prints it for 254 boxes in a failure domain and 10,000 groups.
"""

import time
import tracemalloc
from typing import Final

from trackwheel.groups.models import GroupLimit
from trackwheel.limits.budget import LimitMargin, limit_budget
from trackwheel.limits.const import DELEGATION_PERIOD_S
from trackwheel.limits.counting_box import CountingBox
from trackwheel.limits.models import LIMIT_MESSAGES, Delegated, Delegation, Stamp, TokenAsk
from trackwheel.peers.codec import Codec

BOXES: Final = 3_300
DOMAINS: Final = 13
GROUPS: Final = 10_000
SECONDS: Final = 20


def measure() -> None:
    """Print the figures of one counting box."""
    per_domain = BOXES // DOMAINS + 1
    margin = LimitMargin(5.0, 0.1, 20.0)
    budgets = {
        f"group-{number}": limit_budget(GroupLimit(10.0, 5.0), margin) for number in range(GROUPS)
    }
    box = CountingBox(1, margin.window_s, DOMAINS, 0.0)
    box.set_limits(budgets, 0.0)
    codec = Codec(LIMIT_MESSAGES)
    rounds = int(SECONDS / DELEGATION_PERIOD_S)
    start = time.process_time()
    for step in range(rounds):
        now = 1.0 + step * DELEGATION_PERIOD_S
        for number in range(per_domain):
            box.delegate(f"10.0.0.{number}:82", Delegation(BOXES, Stamp(1, now), False, True), now)
    spent_s = time.process_time() - start
    print(f"delegations of {per_domain} boxes: {spent_s / SECONDS * 100:.2f}% of a core, no codec")
    messages = (Delegation(BOXES, Stamp(1, 1e5), False, True), Delegated(Stamp(1, 1e5), []))
    start = time.process_time()
    for _ in range(10_000):
        codec.decode(codec.encode([messages[0]]), "peer")
    each_s = (time.process_time() - start) / 10_000
    share = each_s * per_domain / DELEGATION_PERIOD_S
    print(f"codec, one delegation each way: {each_s * 1e6:.0f} us, {share * 100:.2f}% of a core")
    sizes = [len(codec.encode([message])) for message in messages]
    print(f"bytes of a delegation and its answer: {sizes[0]}, {sizes[1]}")
    tracemalloc.start()
    start = time.process_time()
    for number, group in enumerate(budgets):
        box.ask("10.0.0.1:82", TokenAsk(number, group, 1, 1.0), now)
    each_s = (time.process_time() - start) / GROUPS
    held = tracemalloc.get_traced_memory()[0] / GROUPS
    print(f"an ask: {each_s * 1e6:.0f} us (traced); a group that has asked: {held:.0f} bytes")


if __name__ == "__main__":
    measure()
