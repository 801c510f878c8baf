"""The budget that limits all extra load on targets: hedges, retries and resends."""

from trackwheel.gateway.const import BUDGET_INITIAL, BUDGET_MAX, BUDGET_MAX_DEBT


class RetryBudget:
    """Token bucket that allows extra sub-requests in proportion to first attempts."""

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._tokens = BUDGET_INITIAL if ratio > 0 else 0.0
        self.first_attempts = 0
        self.extras = 0
        self.denied = 0

    @property
    def balance(self) -> float:
        """Return the number of available tokens; negative while in debt."""
        return self._tokens

    def record_first_attempts(self, count: int) -> None:
        """Count first attempts and add their tokens."""
        self.first_attempts += count
        self._tokens = min(BUDGET_MAX, self._tokens + count * self.ratio)

    def try_spend(self, mandatory: bool = False) -> bool:
        """Spend a token on one extra sub-request; return False if none is left.

        A mandatory one, which the consistency of an answer requires, is always allowed and runs
        into debt. The debt is bounded: a version switch causes thousands of mandatory
        sub-requests, which must not block hedges and retries for a minute afterwards.
        """
        if self._tokens < 1.0 and not mandatory:
            self.denied += 1
            return False
        self._tokens = max(-BUDGET_MAX_DEBT, self._tokens - 1.0)
        self.extras += 1
        return True
