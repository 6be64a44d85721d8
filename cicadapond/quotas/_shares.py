"""Shares of client accounts' quotas among the processes that admit requests; no I/O.

A quota is a bucket that all processes draw from: it fills at the account's rate up to its burst.
Each process keeps its own reckoning of the bucket from what it admitted and from the running
totals that the others tell.  What was spent elsewhere before it was heard makes the bucket go
into debt, which later requests wait for; so the sum stays within the quota but for what is on
its way.

For a process that has not been heard of lately its even part of rate and burst is set aside, and
it reckons in the same way; so the sum holds however the network is split.  A process that starts
again begins with a part of the burst only, as it does not know what was spent before.
"""

import datetime
import typing

import attrs

from cicadapond.gateway.data import ClientAccount
from cicadapond.kernel import Clock

ZERO = datetime.timedelta()
LONGEST_WAIT = datetime.timedelta(seconds=60)
# The part of a burst that a process reckons with when it starts again.
RESTART_PART = 0.25
# Totals of older processes that are first heard of so soon were spent before this one started.
FIRST_TOTALS_TERM = datetime.timedelta(seconds=4)


@attrs.define
class _Bucket:
    rate: float
    burst: float
    level: float
    at: datetime.timedelta
    spent: float = 0.0

    def refill(self, now: datetime.timedelta, part: float) -> None:
        """Fills up to an instant with a part of the rate, up to that part of the burst."""
        elapsed = max(0.0, (now - self.at).total_seconds())
        self.at = now
        if self.level < self.burst * part:
            self.level = min(self.burst * part, self.level + elapsed * self.rate * part)


class QuotaShares:
    """Decides which requests are within their account's quota.

    Args:
      clock: Gives the time.
      begins_full: Whether nothing can have been spent before, as at the system's first start.
    """

    def __init__(self, clock: Clock, begins_full: bool):
        self._clock = clock
        self._begins_full = begins_full
        self._buckets: dict[str, _Bucket] = {}
        self._totals: dict[str, dict[str, float]] = {}
        self._started = clock.monotonic()

    def totals(self) -> dict[str, float]:
        """Returns the running totals that the other processes need, by account."""
        return {name: round(bucket.spent) for name, bucket in self._buckets.items()}

    def level(self, account: str) -> float | None:
        """Returns what an account's bucket holds, below zero for a debt; None if unknown."""
        bucket = self._buckets.get(account)
        return bucket.level if bucket is not None else None

    def hear(
        self, process: str, totals: typing.Mapping[str, float], started_earlier: bool = True
    ) -> None:
        """Takes the running totals of another process.

        Args:
          process: The process's name.
          totals: What it has spent since its start, by account.
          started_earlier: Whether it started well before this process.
        """
        is_first = self._clock.monotonic() - self._started < FIRST_TOTALS_TERM
        is_old = is_first and started_earlier
        known = self._totals.setdefault(process, {})
        for account, total in totals.items():
            last = known.get(account, total if is_old else 0.0)
            # A lower total is of a process that has started anew.
            spent = total - last if total >= last else total
            known[account] = total
            if account in self._buckets:
                self._buckets[account].level -= spent

    def take(self, account: ClientAccount, units: float, part: float) -> datetime.timedelta | None:
        """Takes units from an account's quota.

        Args:
          account: The account.
          units: What the request counts.
          part: The part of the quota that this process and those it hears of may spend: all of
            it, less an even part for each process that it does not hear.

        Returns:
          None if the request is within the quota, else how long until it may be.
        """
        if account.rate <= 0.0:
            return None
        bucket = self._bucket(account, part)
        bucket.refill(self._clock.monotonic(), part)
        # A request larger than the whole bucket is let through when the bucket is full.
        needed = min(units, bucket.burst * part)
        if bucket.level < needed:
            seconds = (needed - bucket.level) / (bucket.rate * part)
            return min(datetime.timedelta(seconds=seconds), LONGEST_WAIT)
        bucket.level -= units
        bucket.spent += units
        return None

    def _bucket(self, account, part):
        bucket = self._buckets.get(account.name)
        now = self._clock.monotonic()
        if bucket is None:
            level = account.burst * (1.0 if self._begins_full else RESTART_PART)
            bucket = _Bucket(account.rate, account.burst, level, now)
            self._buckets[account.name] = bucket
        elif (bucket.rate, bucket.burst) != (account.rate, account.burst):
            bucket.refill(now, part)
            bucket.rate, bucket.burst = account.rate, account.burst
            bucket.level = min(bucket.level, account.burst)
        return bucket
