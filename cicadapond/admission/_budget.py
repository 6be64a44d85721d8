"""Retries as a share of successes, and jitter, so that retries cannot keep an overload alive."""

import datetime
import random
import typing

INITIAL_RETRIES = 10.0
MAX_SAVED_RETRIES = 100.0


class RetryBudget:
    """Allows this process's own retries, by pool.

    Each success earns a share of a retry; each retry spends one.  A new pool has a few retries,
    so that a failure at low load can be retried.

    Args:
      share: Returns the retries that one success earns, from the document in force.
    """

    def __init__(self, share: typing.Callable[[], float]):
        self._share = share
        self._saved: dict[str, float] = {}

    def allow(self, pool: str) -> bool:
        """Spends a retry; returns whether there was one."""
        saved = self._saved.get(pool, INITIAL_RETRIES)
        if saved < 1.0:
            return False
        self._saved[pool] = saved - 1.0
        return True

    def success(self, pool: str) -> None:
        """Counts a request that was answered."""
        saved = self._saved.get(pool, INITIAL_RETRIES)
        self._saved[pool] = min(MAX_SAVED_RETRIES, saved + self._share())

    def state(self) -> dict:
        """Returns the retries left by pool, for a dump."""
        return dict(self._saved)


def full_jitter(rng: random.Random, limit: datetime.timedelta) -> datetime.timedelta:
    """Returns a wait chosen evenly from nothing to `limit`."""
    return limit * rng.random()
