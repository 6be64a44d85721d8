"""Limits retries to a share of successes, so that they cannot sustain an overload.

Also computes the jitter of waits before retries.
"""

import datetime
import random
import typing

INITIAL_RETRIES = 10.0
# Limits the burst of retries after a long time without failures.
MAX_RETRY_BALANCE = 100.0


class RetryBudget:
    """Limits this process's own retries, by pool.

    Each success earns a share of a retry; each retry spends one.  A new pool starts with a few, so
    that a failure at low load can be retried.

    Args:
      share: Returns the retries that one success earns, from the document in force.
    """

    def __init__(self, share: typing.Callable[[], float]):
        self._share = share
        self._balances: dict[str, float] = {}

    def allow(self, pool: str) -> bool:
        """Spends a retry; returns whether one was available."""
        balance = self._balances.get(pool, INITIAL_RETRIES)
        if balance < 1.0:
            return False
        self._balances[pool] = balance - 1.0
        return True

    def success(self, pool: str) -> None:
        """Counts a request that was answered."""
        balance = self._balances.get(pool, INITIAL_RETRIES)
        self._balances[pool] = min(MAX_RETRY_BALANCE, balance + self._share())

    def state(self) -> dict:
        """Returns the retries left by pool, for a dump."""
        return dict(self._balances)


def full_jitter(rng: random.Random, limit: datetime.timedelta) -> datetime.timedelta:
    """Returns a wait drawn uniformly from zero to `limit`."""
    return limit * rng.random()
