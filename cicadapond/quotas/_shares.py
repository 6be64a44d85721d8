"""Client account quotas shared among the processes that admit requests; no I/O.

A quota is a token bucket that all processes draw from: it fills at the account's rate up to its
burst.  Each process estimates the level from what it admitted itself and from the running totals
that the others report.  Spending that is reported late can make the level negative, and later
requests wait until it is positive again; so the total exceeds the quota only by what has not been
reported yet.

For each process that has not reported lately, an equal fraction of rate and burst is reserved,
and that process does the same; so the total also holds during a network partition.  A process
that restarts begins with a fraction of the burst only, as it does not know what was spent before.
"""

import datetime
import typing

import attrs

from cicadapond.gateway.data import ClientAccount
from cicadapond.kernel import Clock

ZERO = datetime.timedelta()
MAX_WAIT = datetime.timedelta(seconds=60)
# The initial level after a restart, as a fraction of the burst.
RESTART_LEVEL_FRACTION = 0.25
# What an older process first reports within this time of the start was spent before the start.
FIRST_TOTALS_PERIOD = datetime.timedelta(seconds=4)


@attrs.define
class _Bucket:
    rate: float
    burst: float
    level: float
    refilled_at: datetime.timedelta
    spent: float = 0.0

    def refill(self, now: datetime.timedelta, fraction: float) -> None:
        """Refills the bucket for the time until `now`, by a fraction of the rate and burst."""
        elapsed = max(0.0, (now - self.refilled_at).total_seconds())
        self.refilled_at = now
        if self.level < self.burst * fraction:
            self.level = min(self.burst * fraction, self.level + elapsed * self.rate * fraction)


class QuotaShares:
    """Decides which requests are within their account's quota.

    Args:
      clock: The clock.
      begins_full: Whether nothing can have been spent before, as at the first start of the system.
    """

    def __init__(self, clock: Clock, begins_full: bool):
        self._clock = clock
        self._begins_full = begins_full
        self._buckets: dict[str, _Bucket] = {}
        self._totals: dict[str, dict[str, float]] = {}
        self._started_at = clock.monotonic()

    def totals(self) -> dict[str, float]:
        """Returns this process's running totals by account, to report to the other processes."""
        return {name: round(bucket.spent) for name, bucket in self._buckets.items()}

    def level(self, account: str) -> float | None:
        """Returns the level of an account's bucket, negative if overdrawn; None if unknown."""
        bucket = self._buckets.get(account)
        return bucket.level if bucket is not None else None

    def apply_totals(
        self, process: str, totals: typing.Mapping[str, float], started_earlier: bool = True
    ) -> None:
        """Applies the running totals reported by another process.

        Args:
          process: The process's name.
          totals: The units that it has spent since its start, by account.
          started_earlier: Whether it started well before this process.
        """
        is_startup = self._clock.monotonic() - self._started_at < FIRST_TOTALS_PERIOD
        is_spent_before_start = is_startup and started_earlier
        known_totals = self._totals.setdefault(process, {})
        for account, total in totals.items():
            last_total = known_totals.get(account, total if is_spent_before_start else 0.0)
            # A lower total means that the process has restarted.
            spent = total - last_total if total >= last_total else total
            known_totals[account] = total
            if account in self._buckets:
                self._buckets[account].level -= spent

    def take(
        self, account: ClientAccount, units: float, fraction: float
    ) -> datetime.timedelta | None:
        """Takes units from an account's quota.

        Args:
          account: The account.
          units: The units that the request costs.
          fraction: The fraction of the quota that this process and those it receives reports from
            may spend: all of it, less an equal fraction for each process that does not report.

        Returns:
          None if the request is within the quota, else the time until it may be.
        """
        if account.rate <= 0.0:
            return None
        bucket = self._bucket(account, fraction)
        bucket.refill(self._clock.monotonic(), fraction)
        # A request that costs more than the bucket holds is admitted when the bucket is full.
        needed = min(units, bucket.burst * fraction)
        if bucket.level < needed:
            wait_seconds = (needed - bucket.level) / (bucket.rate * fraction)
            return min(datetime.timedelta(seconds=wait_seconds), MAX_WAIT)
        bucket.level -= units
        bucket.spent += units
        return None

    def _bucket(self, account, fraction):
        bucket = self._buckets.get(account.name)
        now = self._clock.monotonic()
        if bucket is None:
            level = account.burst * (1.0 if self._begins_full else RESTART_LEVEL_FRACTION)
            bucket = _Bucket(account.rate, account.burst, level, now)
            self._buckets[account.name] = bucket
        elif (bucket.rate, bucket.burst) != (account.rate, account.burst):
            bucket.refill(now, fraction)
            bucket.rate, bucket.burst = account.rate, account.burst
            bucket.level = min(bucket.level, account.burst)
        return bucket
