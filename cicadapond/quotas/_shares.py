"""Client account quotas shared among the processes that admit requests; no I/O.

A quota is a token bucket that all processes draw from: it fills at the account's rate up to its
burst.  One process, its coordinator, grants what is taken from it, so that the total is bounded
whatever the others have not heard of yet; the quota of a large account in a large deployment is
divided into parts with a coordinator each.  A new coordinator begins with an empty bucket, as it
does not know what the one before granted.

Besides, each process estimates the level from what it spent itself and from what the others
spent, which is reported by data centre and by short windows of UTC time.  A coordinator grants
nothing that this level does not cover: processes of earlier builds, or two coordinators after a
partition, spend what it has not granted, and each process spends a little without a grant while the
account is far below its quota.  The spending of one window only grows, so that reports
may be lost, repeated, or come from another process than before.

For each process that has not reported lately, an equal fraction of rate and burst is reserved,
and that process does the same; so the total also holds during a network partition.  A process
that restarts begins with a fraction of the burst only, as it does not know what was spent before.

The deployment may tolerate some more than the quota.  Half of it is kept for requests that continue
a stream, which would otherwise be lost after its beginning was paid for; they are charged like all
others, so that new requests make up for them.
"""

import collections
import datetime
import enum
import typing

import attrs

from cicadapond.kernel import Clock
from cicadapond.serving import ClientAccount, QuotaOverage
from cicadapond.usage import UsageWindows

ZERO = datetime.timedelta()
NO_OVERAGE = QuotaOverage()
MAX_WAIT = datetime.timedelta(seconds=60)
# The initial level after a restart, as a fraction of the burst.
RESTART_LEVEL_FRACTION = 0.25
# The length of the windows in which spending is reported.
SPENDING_WINDOW = datetime.timedelta(seconds=1)
# How many windows a process reports.
REPORTED_WINDOWS = 8
# Spending reported in older windows is ignored, as it was applied before.
MAX_SPENDING_AGE = datetime.timedelta(seconds=12)
# The rest of what is tolerated allows for two coordinators that do not know of each other.
CONTINUING_SHARE_OF_OVERAGE = 0.5
# What all processes may together spend of an account without a grant, until they hear of it: a
# share of the burst and one of what is tolerated.
DIRECT_SHARE_OF_BURST = 0.25
DIRECT_SHARE_OF_OVERAGE = 0.25
# A process remembers its own spending for longer than anybody else reports it.
OWN_WINDOWS = 24


@attrs.define
class _Bucket:
    rate: float
    burst: float
    level: float
    refilled_at: datetime.timedelta

    def refill(self, now: datetime.timedelta, fraction: float) -> None:
        """Refills the bucket for the time until `now`, by a fraction of the rate and burst."""
        elapsed = max(0.0, (now - self.refilled_at).total_seconds())
        self.refilled_at = now
        if self.level < self.burst * fraction:
            self.level = min(self.burst * fraction, self.level + elapsed * self.rate * fraction)

    def limit_to(self, account: ClientAccount) -> None:
        """Applies the account's present rate and burst."""
        self.rate, self.burst = account.rate, account.burst
        self.level = min(self.level, account.burst)


@attrs.frozen
class GrantPart:
    """One of the equal parts of an account's quota, each of which one process grants."""

    number: int = 0
    parts: int = 1


WHOLE = GrantPart()


class Use(enum.Enum):
    """What units of a quota are granted for; the values are used between processes.

    A request that continues a stream may overdraw the bucket as soon as there is something in it:
    small new requests would otherwise keep it below what large streams need, until their callers
    give up.
    """

    BEGIN = 0
    CONTINUE = 1


class QuotaShares:
    """Decides which requests are within their account's quota.

    Args:
      clock: The clock.
      begins_full: Whether nothing can have been spent before, as at the first start of the system.
      overage: What is kept for requests that continue a stream.
    """

    def __init__(self, clock: Clock, begins_full: bool, overage: QuotaOverage = NO_OVERAGE):
        self._overage = overage
        # When and how much of the overage this process used in the last window, by account.
        self._used_overage: dict[str, collections.deque[tuple[datetime.timedelta, float]]] = {}
        self._clock = clock
        self._begins_full = begins_full
        self._buckets: dict[str, _Bucket] = {}
        self._granted: dict[tuple[str, GrantPart], _Bucket] = {}
        self._own = UsageWindows(SPENDING_WINDOW, OWN_WINDOWS)
        self._others: dict[int, dict[tuple[str, str], float]] = {}
        self._started_at = clock.monotonic()

    def spending(self) -> dict[int, dict[str, int]]:
        """Returns what this process spent in the newest windows, by account, to be reported."""
        return dict(sorted(self._own.counts().items())[-REPORTED_WINDOWS:])

    def level(self, account: str) -> float | None:
        """Returns the level of an account's bucket, without a refill since its last use.

        It is negative if the bucket is overdrawn, None if the account was not used.
        """
        bucket = self._buckets.get(account)
        return bucket.level if bucket is not None else None

    def levels(self) -> dict[str, dict[str, int]]:
        """Returns the levels of all buckets in units by account, for a dump.

        "heard" is what follows from reports, the others are the parts that this process grants.
        """
        found = {name: {"heard": round(bucket.level)} for name, bucket in self._buckets.items()}
        for (name, part), bucket in self._granted.items():
            found.setdefault(name, {})[f"{part.number} of {part.parts}"] = round(bucket.level)
        return found

    def apply_spending(
        self,
        source: str,
        windows: typing.Mapping[int, typing.Mapping[str, float]],
        includes_own: bool,
    ) -> None:
        """Applies reported spending; what was spent before this process started is ignored.

        Args:
          source: Whose spending it is: a process or a data centre.
          windows: The units spent by window and account.
          includes_own: Whether this process's own spending, as far as it is known there, is part of
            it.
        """
        own = self._own.counts()
        # Derived each time, as the wall clock may have been corrected since the start.
        running = self._clock.monotonic() - self._started_at
        oldest = self._own.number(self._clock.now() - min(running, MAX_SPENDING_AGE))
        for number, spending in windows.items():
            if number < oldest:
                continue
            known = self._others.setdefault(number, {})
            own_spending = own.get(number, {}) if includes_own else {}
            for account, units in spending.items():
                others = units - own_spending.get(account, 0)
                increase = others - known.get((source, account), 0.0)
                if increase <= 0:
                    continue
                known[source, account] = others
                if account in self._buckets:
                    self._buckets[account].level -= increase
        self._forget_old_windows()

    def take(
        self, account: ClientAccount, units: float, fraction: float, continues: bool = False
    ) -> datetime.timedelta | None:
        """Takes units from an account's quota, where no other process grants any.

        `continues` tells whether the request continues a stream; the other arguments and the result
        are those of `grant`.
        """
        wait = self.grant(account, units, fraction, Use.CONTINUE if continues else Use.BEGIN)
        if wait is None:
            self.spend(account, units, fraction)
        return wait

    def grant(
        self,
        account: ClientAccount,
        units: float,
        fraction: float,
        use: Use = Use.BEGIN,
        part: GrantPart = WHOLE,
        tenure: datetime.timedelta | None = None,
    ) -> datetime.timedelta | None:
        """Grants units of an account's quota to a request, at whichever process it is.

        Args:
          account: The account.
          units: What the request costs, in the units of the account's burst and rate per second.
          fraction: The fraction of the quota that this process and those it receives reports from
            may spend: all of it, less an equal fraction for each process that does not report.
          use: What the units are for.
          part: Which part of the quota this process grants.
          tenure: For how long it is known that only this process granted that part, if it is used
            for the first time; None if there is no other process.

        Returns:
          None if the request is within the quota, else the time until it may be.
        """
        if account.rate <= 0.0:
            return None
        now = self._clock.monotonic()
        heard = self._bucket(account, fraction)
        heard.refill(now, fraction)
        bucket = self._grant_bucket(account, fraction / part.parts, part, tenure, heard.level)
        # A request that costs more than the bucket holds is admitted when the bucket is full.
        depth = account.burst * fraction / part.parts
        match use:
            case Use.BEGIN:
                needed = min(units, depth)
            case Use.CONTINUE:
                needed = 1.0
        # What others spent without a grant of this process shows in their reports only.
        wait_seconds = max(
            (needed - bucket.level) / (account.rate * fraction / part.parts),
            (needed - heard.level) / (account.rate * fraction),
        )
        if wait_seconds > 0.0:
            return min(datetime.timedelta(seconds=wait_seconds), MAX_WAIT)
        bucket.level -= units
        return None

    def spend(self, account: ClientAccount, units: float, fraction: float) -> None:
        """Records units that this process spent of what was granted to it; arguments as above."""
        if account.rate > 0.0:
            bucket = self._bucket(account, fraction)
            bucket.refill(self._clock.monotonic(), fraction)
            self._spend(bucket, account, units)

    def withdraw(self, keeps: typing.Callable[[str, GrantPart], bool]) -> None:
        """Forgets what was granted of the parts that others grant now.

        Args:
          keeps: Returns whether this process still grants a part of an account's quota.
        """
        for name, part in list(self._granted):
            if not keeps(name, part):
                del self._granted[name, part]

    def take_to_continue(self, account: ClientAccount, units: float, fraction: float) -> bool:
        """Takes units for a request that continues a stream and is over its account's quota.

        Args:
          account: The account.
          units: What the request costs.
          fraction: The fraction of the overage that this process alone may use.

        Returns:
          Whether the overage suffices.
        """
        now = self._clock.monotonic()
        if not self._begins_full and now - self._started_at < self._overage.window:
            return False  # the run before may have used all of it
        used = self._used_overage.setdefault(account.name, collections.deque())
        while used and now - used[0][0] >= self._overage.window:
            used.popleft()
        limit = CONTINUING_SHARE_OF_OVERAGE * self._tolerated(account) * fraction
        if sum(each for _, each in used) + units > limit:
            return False
        used.append((now, units))
        self._spend(self._bucket(account, fraction), account, units)
        return True

    def heard_level(self, account: ClientAccount) -> float:
        """Returns the level of an account's bucket now, as reports tell it."""
        bucket = self._bucket(account, 1.0)
        bucket.refill(self._clock.monotonic(), 1.0)
        return bucket.level

    def direct_limit(self, account: ClientAccount) -> float:
        """Returns how many units all processes may spend without a grant before they hear of it."""
        tolerated = DIRECT_SHARE_OF_OVERAGE * self._tolerated(account)
        return DIRECT_SHARE_OF_BURST * account.burst + tolerated

    def _tolerated(self, account):
        """Returns how many units may be admitted in a window in addition to the quota."""
        admitted = account.rate * self._overage.window.total_seconds() + account.burst
        return self._overage.share * admitted + self._overage.tolerance

    def _grant_bucket(self, account, fraction, part, tenure, heard):
        """Returns the bucket of one part of an account's quota, which only grants of it empty."""
        now, depth = self._clock.monotonic(), account.burst * fraction
        bucket = self._granted.get((account.name, part))
        if bucket is None:
            # The process that granted this part before may have emptied it.
            level = min(heard, depth)
            if tenure is not None:
                level = min(level, account.rate * fraction * tenure.total_seconds())
            bucket = _Bucket(account.rate, account.burst, level, now)
            self._granted[account.name, part] = bucket
        bucket.refill(now, fraction)
        bucket.limit_to(account)
        return bucket

    def _spend(self, bucket, account, units):
        bucket.level -= units
        self._own.count(account.name, self._clock.now(), round(units))

    def _bucket(self, account, fraction):
        bucket = self._buckets.get(account.name)
        now = self._clock.monotonic()
        if bucket is None:
            level = self._level_before_first_use(account, fraction)
            bucket = _Bucket(account.rate, account.burst, level, now)
            self._buckets[account.name] = bucket
        elif (bucket.rate, bucket.burst) != (account.rate, account.burst):
            bucket.refill(now, fraction)
            bucket.limit_to(account)
        return bucket

    def _level_before_first_use(self, account, fraction):
        """Returns the level of a bucket that others have drawn from but not yet this process."""
        initial = 1.0 if self._begins_full else RESTART_LEVEL_FRACTION
        level = account.burst * fraction * initial
        newest = self._own.number(self._clock.now())
        oldest = min(self._others, default=newest)
        for number in range(oldest, newest + 1):
            if number > oldest and level < account.burst * fraction:
                refilled = level + account.rate * fraction * SPENDING_WINDOW.total_seconds()
                level = min(account.burst * fraction, refilled)
            spending = self._others.get(number, {})
            level -= sum(units for (_, name), units in spending.items() if name == account.name)
        return level

    def _forget_old_windows(self):
        oldest = self._own.number(self._clock.now() - MAX_SPENDING_AGE)
        for number in [number for number in self._others if number < oldest]:
            del self._others[number]
