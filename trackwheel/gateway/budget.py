"""The one budget from which all extra load on targets is paid."""

from trackwheel.gateway.const import BUDGET_INITIAL, BUDGET_MAX, BUDGET_MAX_DEBT


class Budget:
    """Allow extra sub-requests as a part of the first tries."""

    def __init__(self, part: float) -> None:
        self.part = part
        self._tokens = BUDGET_INITIAL if part > 0 else 0.0
        self.first_tries = 0
        self.extras = 0
        self.denied = 0

    @property
    def balance(self) -> float:
        """Return how many extra sub-requests may be sent now; negative while in debt."""
        return self._tokens

    def first(self, count: int) -> None:
        """Count first tries."""
        self.first_tries += count
        self._tokens = min(BUDGET_MAX, self._tokens + count * self.part)

    def take(self, owed: bool = False) -> bool:
        """Pay for one extra sub-request; return False when the budget is used up.

        One that is owed to an answer's truth is allowed all the same and paid for later, as far
        as the debt goes: thousands are owed when an index flips, and hedges and retries must not
        stay away for a minute after it.
        """
        if self._tokens < 1.0 and not owed:
            self.denied += 1
            return False
        self._tokens = max(-BUDGET_MAX_DEBT, self._tokens - 1.0)
        self.extras += 1
        return True
