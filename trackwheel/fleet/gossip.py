"""Updates that ride on other messages, each a bounded number of times."""

import math
from collections.abc import Hashable
from typing import Generic, TypeVar

from trackwheel.fleet.const import MAX_UPDATES_PER_MESSAGE

K = TypeVar("K", bound=Hashable)
V = TypeVar("V")


class GossipQueue(Generic[K, V]):
    """Keep the updates that are still to be sent, the least sent first."""

    def __init__(self, sends_per_doubling: int) -> None:
        self._sends_per_doubling = sends_per_doubling
        self._value_and_sends_by_key: dict[K, tuple[V, int]] = {}

    def __len__(self) -> int:
        return len(self._value_and_sends_by_key)

    def add(self, key: K, value: V) -> None:
        """Queue an update; it replaces an older one under the same key."""
        self._value_and_sends_by_key[key] = (value, 0)

    def take(self, fleet_size: int) -> list[V]:
        """Return the updates for the next message."""
        if not self._value_and_sends_by_key:
            return []
        limit = self._sends_per_doubling * max(1, math.ceil(math.log2(fleet_size + 1)))
        waiting = sorted(self._value_and_sends_by_key.items(), key=lambda item: item[1][1])
        chosen = waiting[:MAX_UPDATES_PER_MESSAGE]
        for key, (value, sends) in chosen:
            if sends + 1 >= limit:
                del self._value_and_sends_by_key[key]
            else:
                self._value_and_sends_by_key[key] = (value, sends + 1)
        return [value for _, (value, _) in chosen]
