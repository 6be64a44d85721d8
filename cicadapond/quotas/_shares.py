"""Shares of client accounts' quotas among the processes that admit requests; no I/O.

A quota bounds what one account may have begun in any window, over all processes.  Each process
counts what it admitted and tells the others its running totals.  What a process has not heard
of another for a while it replaces by that one's even share, and a process that hears few others
keeps to its own even share in turn; so the sum holds however the network is split.
"""

import collections
import datetime
import typing

import attrs

from cicadapond.gateway.data import ClientAccount
from cicadapond.kernel import Clock

ZERO = datetime.timedelta()
# Totals of another process older than this may hide a burst; its even share is taken instead.
HEARD_WITHIN = datetime.timedelta(seconds=3)


@attrs.define
class _Spending:
    """Running totals of one process and account over time, newest last."""

    samples: collections.deque = attrs.field(factory=collections.deque)

    def add(self, at, total, window):
        self.samples.append((at, total))
        while len(self.samples) > 1 and self.samples[1][0] <= at - window:
            self.samples.popleft()

    def within(self, now, window):
        if not self.samples:
            return 0.0
        start = 0.0
        for at, total in self.samples:
            if at > now - window:
                break
            start = total
        return self.samples[-1][1] - start


class QuotaShares:
    """Decides which requests are within their account's quota.

    Args:
      window: The length over which a quota is counted.
      clock: Gives the time.
    """

    def __init__(self, window: datetime.timedelta, clock: Clock):
        self._window = window
        self._clock = clock
        self._totals: dict[str, float] = {}
        self._own: dict[str, _Spending] = {}
        self._others: dict[str, dict[str, _Spending]] = {}
        self._heard: dict[str, datetime.timedelta] = {}

    def totals(self) -> dict[str, float]:
        """Returns the running totals that the other processes need, by account."""
        return dict(self._totals)

    def hear(self, process: str, totals: typing.Mapping[str, float]) -> None:
        """Takes the running totals of another process."""
        now = self._clock.monotonic()
        self._heard[process] = now
        known = self._others.setdefault(process, {})
        for account, total in totals.items():
            spending = known.setdefault(account, _Spending())
            if spending.samples and total < spending.samples[-1][1]:
                spending.samples.clear()  # the process has started anew
            if not spending.samples:
                spending.samples.append((now - self._window, 0.0))
            spending.add(now, total, self._window)

    def forget(self, process: str) -> None:
        """Drops a process that has left for good."""
        self._heard.pop(process, None)
        self._others.pop(process, None)

    def take(
        self, account: ClientAccount, units: float, processes: int
    ) -> datetime.timedelta | None:
        """Takes units from an account's quota.

        Args:
          account: The account.
          units: What the request counts.
          processes: How many processes admit requests, this one included.

        Returns:
          None if the request is within the quota, else how long until it may be.
        """
        if account.rate <= 0.0:
            return None
        now = self._clock.monotonic()
        limit = account.rate * self._window.total_seconds() + account.burst
        room = limit - self._spent(account, now, limit, processes)
        if units > room:
            return datetime.timedelta(seconds=min((units - room) / account.rate, 60.0))
        total = self._totals.get(account.name, 0.0) + units
        self._totals[account.name] = total
        own = self._own.setdefault(account.name, _Spending())
        if not own.samples:
            own.samples.append((now - self._window, 0.0))
        own.add(now, total, self._window)
        return None

    def give_back(self, account: ClientAccount, units: float) -> None:
        """Returns the units of a request that was not run after all."""
        if account.name in self._totals:
            self._totals[account.name] -= units
            samples = self._own[account.name].samples
            at, total = samples[-1]
            samples[-1] = (at, total - units)

    def _spent(self, account, now, limit, processes):
        even = limit / max(1, processes)
        own = self._own.get(account.name)
        spent = own.within(now, self._window) if own is not None else 0.0
        heard = 0
        for process, at in self._heard.items():
            if now - at > HEARD_WITHIN:
                continue
            heard += 1
            known = self._others[process].get(account.name)
            spent += known.within(now, self._window) if known is not None else 0.0
        unheard = max(0, processes - 1 - heard)
        return spent + unheard * even
